//! Exit codes of all binaries.

/// Success.
pub const OK: u8 = 0;
/// Failure at run time.
pub const FAILURE: u8 = 1;
/// Bad usage of the command line or a settings file that is not valid.
pub const USAGE: u8 = 2;
/// A conditional update met a newer version.
pub const CONFLICT: u8 = 3;
/// The platform's store is unavailable.
pub const STORE_UNAVAILABLE: u8 = 4;
/// The change was refused because it cannot be met or is not valid.
pub const REFUSED: u8 = 5;
