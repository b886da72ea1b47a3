//! Probes the members of each database group.
