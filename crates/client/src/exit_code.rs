//! Exit codes of all binaries.

/// Success.
pub const OK: u8 = 0;
/// Runtime failure.
pub const FAILURE: u8 = 1;
/// Invalid command line or invalid settings file.
pub const USAGE: u8 = 2;
/// A conditional update failed because the object has another version.
pub const CONFLICT: u8 = 3;
/// The platform's store is unavailable.
pub const STORE_UNAVAILABLE: u8 = 4;
/// The change was refused because it is invalid or cannot be fulfilled.
pub const REFUSED: u8 = 5;
