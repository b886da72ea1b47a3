//! The stages of a host's shutdown.

/// How far the shutdown of a host has come, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    #[default]
    Serving,
    /// The host takes no new clients but still serves the connected ones.
    Leaving,
    /// No new operation begins.
    Closing,
    /// Open transactions are rolled back.
    RollingBack,
}
