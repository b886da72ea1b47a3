//! Entry daemon.

fn main() {}
