//! Operator's command line.

fn main() {}
