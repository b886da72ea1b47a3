//! Mutual TLS between daemons.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use quinn::ClientConfig;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::client::verify_server_name;
use rustls::crypto::ring;
use rustls::server::ParsedCertificate;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::ServerName;
use rustls_pki_types::pem::PemObject;

use crate::mesh::mesh_error::MeshError;
use crate::mesh::settings::MeshSettings;

/// ALPN protocol name. It does not change with the frame format, since frames carry their own
/// version.
const ALPN: &[u8] = b"magnoliahatch-mesh";
/// Time without packets after which a connection is closed and reopened. Heartbeats are sent every
/// second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Builds the server and client configurations from the files in the settings.
pub(crate) fn configs(settings: &MeshSettings) -> Result<(ServerConfig, ClientConfig), MeshError> {
    let chain = read_certificates(&settings.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&settings.key).map_err(|source| MeshError::Pem {
        path: settings.key.clone(),
        source,
    })?;
    let mut roots = RootCertStore::empty();
    for authority in read_certificates(&settings.authority)? {
        roots.add(authority)?;
    }
    let roots = Arc::new(roots);
    // rustls chooses no default provider if the build contains several.
    let provider = Arc::new(ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    client.alpn_protocols = vec![ALPN.to_vec()];
    let transport = Arc::new(transport());
    let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    server.transport_config(transport.clone());
    let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    client.transport_config(transport);
    Ok((server, client))
}

/// Whether a peer's certificate is valid for the name `host`.
pub(crate) fn certificate_names(certificate: &CertificateDer<'_>, host: &str) -> bool {
    let Ok(name) = ServerName::try_from(host) else {
        return false;
    };
    ParsedCertificate::try_from(certificate).is_ok_and(|c| verify_server_name(&c, &name).is_ok())
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    // Frames fit into the smallest datagram, so MTU discovery would only use bandwidth.
    transport.mtu_discovery_config(None);
    transport
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, MeshError> {
    let error = |source| MeshError::Pem {
        path: path.to_owned(),
        source,
    };
    let found: Vec<_> = CertificateDer::pem_file_iter(path)
        .map_err(error)?
        .collect::<Result<_, _>>()
        .map_err(error)?;
    if found.is_empty() {
        return Err(MeshError::Empty(path.to_owned()));
    }
    Ok(found)
}
