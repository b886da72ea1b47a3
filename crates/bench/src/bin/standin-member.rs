//! Stand-in for a member of a database group.

fn main() {}
