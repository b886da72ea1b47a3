//! Names of the object kinds.

pub const CONTRACT: &str = "contract";
pub const ROUTE: &str = "route";
pub const DATABASE: &str = "database";
pub const PLACEMENT: &str = "placement";
pub const SEATS: &str = "seats";
pub const HOST: &str = "host";
pub const PRIMARY: &str = "primary";
pub const SECRET: &str = "secret";

/// Name of the only object of kind `seats`.
pub const SEATS_NAME: &str = "all";
/// Name of the secret that signs session tokens.
pub const TOKEN_SECRET_NAME: &str = "token";

/// All kinds that a configuration view contains.
pub const ALL: [&str; 8] = [
    CONTRACT, ROUTE, DATABASE, PLACEMENT, SEATS, HOST, PRIMARY, SECRET,
];
