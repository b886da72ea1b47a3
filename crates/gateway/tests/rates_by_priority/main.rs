//! Tests of an organisation's rate that is shared out by the priorities of its operations.

mod bucket;
mod fleet;
mod hosts;
mod loads;
