//! Control messages between daemons: QUIC with mutual TLS, one frame per message.

pub mod announcement;
mod dialer;
pub mod event;
pub mod frame;
mod handle;
pub mod mesh_error;
mod outbound;
pub mod peer_report;
mod receive;
pub mod settings;
pub mod stats;
mod tls;

pub use handle::Mesh;
pub use handle::Reports;
