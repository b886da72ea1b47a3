//! Guards against two primaries in a term, lost confirmed entries and elections that never end.

mod checks;
mod model;
mod scenarios;
mod world;
