//! History of concurrent operations and its checker.
