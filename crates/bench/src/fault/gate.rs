//! Treatment of traffic in one direction of one connection.

/// Treatment of traffic in one direction of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    Pass,
    Discard,
    Hold,
}
