//! Failures of the control mesh.

use std::path::PathBuf;

use rustls_pki_types::pem;
use thiserror::Error;

use crate::mesh::frame::FrameError;

/// Why the mesh could not start, or why a connection to a peer failed.
#[derive(Debug, Error)]
pub enum MeshError {
    #[error("{}: cannot read PEM data: {source}", path.display())]
    Pem { path: PathBuf, source: pem::Error },
    #[error("{}: contains no certificate", .0.display())]
    Empty(PathBuf),
    #[error("the certificate or key cannot be used: {0}")]
    Tls(#[from] rustls::Error),
    #[error("the authority file cannot be used: {0}")]
    Authority(#[from] rustls::server::VerifierBuilderError),
    #[error("the TLS settings lack a cipher that QUIC needs: {0}")]
    Cipher(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
    #[error("the control address cannot be bound: {0}")]
    Bind(#[source] std::io::Error),
    #[error("connection failed: {0}")]
    Connect(#[from] quinn::ConnectError),
    #[error("connection lost: {0}")]
    Connection(#[from] quinn::ConnectionError),
    #[error("cannot send frame: {0}")]
    Write(#[from] quinn::WriteError),
    #[error("cannot send frame: {0}")]
    Datagram(#[from] quinn::SendDatagramError),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the peer's certificate does not name the host {0}")]
    Name(String),
}
