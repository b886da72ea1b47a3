//! Fault-injecting proxy.

fn main() {}
