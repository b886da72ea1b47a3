//! Accepts callers and serves their sessions.
