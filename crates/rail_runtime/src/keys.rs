//! TLS keys of one process.

use crate::{metrics::ReasonCounters, verifier::CountingVerifier};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig, crypto::ring, server::WebPkiClientVerifier,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use std::{fmt, path::Path, sync::Arc};

/// Server name in each host certificate; peers are dialled by IP address.
pub const FLEET_SERVER_NAME: &str = "fleet.tarragonrail.internal";

/// Result of reading or making keys.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons why keys are refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A key file can't be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path that was read.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The PEM text holds no usable certificate or key.
    #[error("not valid PEM: {0}")]
    Pem(#[from] rustls_pki_types::pem::Error),
    /// The certificate chain or key is refused by the TLS library.
    #[error("refused by TLS: {0}")]
    Tls(#[from] rustls::Error),
    /// The client verifier can't be built from the authority.
    #[error("authority is not usable: {0}")]
    Verifier(#[from] rustls::server::VerifierBuilderError),
    /// No role has this name.
    #[error("no role is named {0:?}: expected host, operator or read-only")]
    UnknownRole(String),
    /// A certificate can't be made.
    #[error("cannot make a certificate: {0}")]
    Generate(#[from] rcgen::Error),
}

/// PEM texts of one process.
#[derive(Clone)]
pub struct Keys {
    /// Authority certificate.
    pub ca_pem: String,
    /// Certificate chain of this process.
    pub cert_pem: String,
    /// Private key of this process.
    pub key_pem: String,
    refused: Option<ReasonCounters>,
}

impl PartialEq for Keys {
    fn eq(&self, other: &Self) -> bool {
        let texts =
            |keys: &Self| (keys.ca_pem.clone(), keys.cert_pem.clone(), keys.key_pem.clone());
        texts(self) == texts(other)
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").finish_non_exhaustive()
    }
}

impl Keys {
    /// Reads each part from a file, or takes it inline when it is PEM text itself.
    ///
    /// # Errors
    /// Fails when a file can't be read.
    pub fn load(ca: &str, cert: &str, key: &str) -> Result<Self> {
        Ok(Self::from_pem(read_pem(ca)?, read_pem(cert)?, read_pem(key)?))
    }

    /// Takes PEM texts.
    pub fn from_pem(ca_pem: String, cert_pem: String, key_pem: String) -> Self {
        Self { ca_pem, cert_pem, key_pem, refused: None }
    }

    /// Counts refused client certificates by reason.
    pub fn with_refusal_counters(mut self, refused: ReasonCounters) -> Self {
        self.refused = Some(refused);
        self
    }

    /// Counts a certificate that TLS took and that has no right to the connection.
    pub fn count_refusal(&self, reason: &str) {
        if let Some(refused) = &self.refused {
            refused.count(reason);
        }
    }

    /// Builds a TLS server configuration that demands a client certificate.
    ///
    /// # Errors
    /// Fails when the PEM text or the keys are refused.
    pub fn server_config(&self, alpn: &[u8]) -> Result<ServerConfig> {
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.roots()?),
            Arc::clone(&provider),
        )
        .build()?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(Arc::new(CountingVerifier::new(
                verifier,
                self.refused.clone(),
            )))
            .with_single_cert(self.chain()?, self.private_key()?)?;
        config.alpn_protocols = vec![alpn.to_vec()];
        Ok(config)
    }

    /// Builds a TLS client configuration that presents this certificate.
    ///
    /// # Errors
    /// Fails when the PEM text or the keys are refused.
    pub fn client_config(&self, alpn: &[u8]) -> Result<ClientConfig> {
        let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.private_key()?)?;
        config.alpn_protocols = vec![alpn.to_vec()];
        Ok(config)
    }

    fn roots(&self) -> Result<RootCertStore> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(self.ca_pem.as_bytes()) {
            roots.add(certificate?)?;
        }
        Ok(roots)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>> {
        let chain = CertificateDer::pem_slice_iter(self.cert_pem.as_bytes());
        Ok(chain.collect::<std::result::Result<_, _>>()?)
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>> {
        Ok(PrivateKeyDer::from_pem_slice(self.key_pem.as_bytes())?)
    }
}

fn read_pem(value: &str) -> Result<String> {
    if value.starts_with("-----BEGIN") {
        return Ok(value.to_owned());
    }
    std::fs::read_to_string(Path::new(value))
        .map_err(|source| Error::Read { path: value.to_owned(), source })
}
