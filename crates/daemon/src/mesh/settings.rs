//! Settings of the control mesh.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

/// Address and certificate files. The certificate must contain the host's name as a DNS name, since
/// peers accept frames only from the host that the certificate names.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    pub listen: SocketAddr,
    /// PEM file with this host's certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key of the certificate.
    pub key: PathBuf,
    /// PEM file with the certificate authorities that sign the hosts' certificates.
    pub authority: PathBuf,
}
