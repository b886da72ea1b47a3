//! Tests of the duty of sending usage reports.

mod counted;
mod fleet;
mod interleavings;
mod platform;
mod steps;
