//! Database groups in use: their pools, monitors and watchers.

pub mod database;
pub mod directory;
pub mod gate;
mod leaving;
