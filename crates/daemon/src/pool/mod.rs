//! Pooled connections to endpoints.
