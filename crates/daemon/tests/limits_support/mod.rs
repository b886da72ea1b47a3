//! Test doubles and helpers for tests of limits and mesh.
// Each test binary compiles this module but uses only parts of it.
#![allow(dead_code, unreachable_pub)]

pub mod certificates;
pub mod fleet;
pub mod node;
pub mod store;

use std::time::Duration;
use std::time::Instant;

/// Waits until a condition holds; panics after 40 s.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let limit = Instant::now() + Duration::from_secs(40);
    while !holds() {
        assert!(Instant::now() < limit, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
