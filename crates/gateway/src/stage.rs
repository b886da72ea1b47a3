//! How far a host's stop has come.

/// Stages of a host, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    #[default]
    Serving,
    /// It takes no new clients; those that are there are still served.
    Leaving,
    /// No operation begins.
    Closing,
    /// Open transactions are rolled back.
    Ending,
}
