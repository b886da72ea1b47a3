//! Fault-injecting proxy for TCP and UDP links.
