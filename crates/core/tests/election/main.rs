//! Guards against two primaries in one term, loss of confirmed entries, and elections that never
//! end.

mod checks;
mod model;
mod scenarios;
mod simulation;
