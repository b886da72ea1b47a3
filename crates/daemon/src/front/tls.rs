//! TLS for client connections.

use std::path::PathBuf;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem;
use rustls_pki_types::pem::PemObject;
use thiserror::Error;
use tokio_rustls::TlsAcceptor;

use crate::settings::Tls;

/// Why TLS for client connections cannot be set up.
#[derive(Debug, Error)]
pub enum TlsError {
    #[error("{}: cannot read PEM file: {source}", path.display())]
    Pem { path: PathBuf, source: pem::Error },
    #[error("{}: cannot use the certificate: {source}", path.display())]
    Certificate {
        path: PathBuf,
        source: rustls::Error,
    },
}

/// Loads certificate and key and creates the acceptor.
pub(crate) fn acceptor(settings: &Tls) -> Result<TlsAcceptor, TlsError> {
    let pem = |path: &PathBuf, source| TlsError::Pem {
        path: path.clone(),
        source,
    };
    let chain = CertificateDer::pem_file_iter(&settings.cert)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|source| pem(&settings.cert, source))?;
    let key = PrivateKeyDer::from_pem_file(&settings.key).map_err(|e| pem(&settings.key, e))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map(|builder| builder.with_no_client_auth())
        .and_then(|builder| builder.with_single_cert(chain, key))
        .map_err(|source| TlsError::Certificate {
            path: settings.cert.clone(),
            source,
        })?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}
