//! Counts the statements of each organisation and reports them to the platform.

pub mod holder;
pub mod receiver;
pub mod reference_clocks;
pub mod sender;
pub mod usage_state;
