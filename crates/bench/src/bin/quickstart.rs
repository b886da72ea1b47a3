//! Runs the whole path as separate processes for a few seconds and prints a report.

fn main() {}
