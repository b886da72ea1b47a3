//! Control messages between daemons.
