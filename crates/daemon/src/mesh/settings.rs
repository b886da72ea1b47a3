//! Settings of the control mesh.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

/// Address and certificate files. The certificate must name the host as a DNS name, since peers
/// accept a frame only from the host that the certificate names.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    pub listen: SocketAddr,
    /// PEM file with this host's certificate chain.
    pub certificate: PathBuf,
    /// PEM file with its private key.
    pub key: PathBuf,
    /// PEM file with the authorities that sign the hosts' certificates.
    pub authority: PathBuf,
}
