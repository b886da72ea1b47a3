//! Creates the TLS certificates of a test fleet.

use std::path::Path;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;

/// Writes the CA certificate `authority.pem`, and for each host `NAME.pem` and `NAME.key`.
pub fn write(folder: &Path, hosts: &[String]) {
    let key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = params.self_signed(&key).unwrap();
    std::fs::write(folder.join("authority.pem"), authority.pem()).unwrap();
    let issuer = Issuer::from_params(&params, &key);
    for host in hosts {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![host.clone()]).unwrap();
        let certificate = params.signed_by(&key, &issuer).unwrap();
        std::fs::write(folder.join(format!("{host}.pem")), certificate.pem()).unwrap();
        std::fs::write(folder.join(format!("{host}.key")), key.serialize_pem()).unwrap();
    }
}
