//! Certificates of the control traffic between daemons.

use std::path::Path;
use std::path::PathBuf;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;

use crate::harness::error::HarnessError;

/// A certificate authority for one experiment; its key is never written.
#[derive(Debug)]
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    folder: PathBuf,
    certificate: PathBuf,
}

/// Files of one host, in PEM.
#[derive(Debug, Clone)]
pub struct HostFiles {
    pub authority: PathBuf,
    pub certificate: PathBuf,
    pub key: PathBuf,
}

impl Authority {
    /// Makes an authority and writes its certificate to `folder`.
    pub fn create(folder: &Path) -> Result<Self, HarnessError> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "experiment");
        let key = KeyPair::generate()?;
        let certificate = folder.join("authority.pem");
        std::fs::write(&certificate, params.self_signed(&key)?.pem())?;
        Ok(Self {
            issuer: Issuer::new(params, key),
            folder: folder.to_owned(),
            certificate,
        })
    }

    /// Makes the certificate of one host, valid as server and client.
    pub fn issue(&self, host: &str) -> Result<HostFiles, HarnessError> {
        let names = vec![
            host.to_owned(),
            "localhost".to_owned(),
            "127.0.0.1".to_owned(),
        ];
        let mut params = CertificateParams::new(names)?;
        params.distinguished_name.push(DnType::CommonName, host);
        params.use_authority_key_identifier_extension = true;
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate()?;
        let files = HostFiles {
            authority: self.certificate.clone(),
            certificate: self.folder.join(format!("{host}.pem")),
            key: self.folder.join(format!("{host}.key")),
        };
        std::fs::write(
            &files.certificate,
            params.signed_by(&key, &self.issuer)?.pem(),
        )?;
        std::fs::write(&files.key, key.serialize_pem())?;
        Ok(files)
    }
}
