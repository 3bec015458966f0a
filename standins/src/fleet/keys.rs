//! The authority of a fleet and the nodes' certificates.

use std::{
    fs,
    path::{Path, PathBuf},
};

use bulrushspread::{id::Vm, peer::transport::CERTIFICATE_NAME};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
};

use super::Result;

/// Signs the nodes' certificates.
pub(crate) struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    pub(crate) file: PathBuf,
}

/// The files of one node.
pub(crate) struct Files {
    pub(crate) certificate: PathBuf,
    pub(crate) key: PathBuf,
}

impl Authority {
    pub(crate) fn create(directory: &Path) -> Result<Authority> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        let file = directory.join("authorities.pem");
        fs::write(&file, issuer.pem())?;
        Ok(Authority { issuer, file })
    }

    /// Writes a certificate and its key for a node.
    pub(crate) fn issue(&self, directory: &Path, vm: &Vm) -> Result<Files> {
        let mut params = CertificateParams::new(vec![CERTIFICATE_NAME.to_string()])?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let pair = KeyPair::generate()?;
        let certificate = params.signed_by(&pair, &self.issuer)?;
        let files = Files {
            certificate: directory.join(format!("{vm}.pem")),
            key: directory.join(format!("{vm}.key")),
        };
        fs::write(&files.certificate, certificate.pem())?;
        fs::write(&files.key, pair.serialize_pem())?;
        Ok(files)
    }
}
