//! TLS keys of a process and the TLS configurations built from them.

use crate::{metrics::ReasonCounters, verifier::CountingVerifier};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig, crypto::ring, server::WebPkiClientVerifier,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use std::{fmt, path::Path, sync::Arc};

/// Server name in each host certificate; TLS checks it because peers are reached by IP address.
pub const FLEET_SERVER_NAME: &str = "fleet.tarragonrail.internal";

/// Result of loading, checking or issuing keys.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to load, check or issue keys.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A key file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the key file.
        path: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The PEM text contains no usable certificate or key.
    #[error("not valid PEM: {0}")]
    Pem(#[from] rustls_pki_types::pem::Error),
    /// The TLS library rejected the certificate chain or key.
    #[error("refused by TLS: {0}")]
    Tls(#[from] rustls::Error),
    /// No client verifier can be built from the authority certificates.
    #[error("authority is not usable: {0}")]
    Verifier(#[from] rustls::server::VerifierBuilderError),
    /// The text is not the name of a [`KeyRole`](crate::KeyRole).
    #[error("no role is named {0:?}: expected host, operator or read-only")]
    UnknownRole(String),
    /// A key or certificate cannot be created or parsed.
    #[error("cannot create or parse a key or certificate: {0}")]
    Generate(#[from] rcgen::Error),
}

/// Certificates and private key of a process, in PEM.
///
/// The `Debug` output omits them.
#[derive(Clone)]
pub struct Keys {
    /// Authority certificates that the process trusts.
    pub ca_pem: String,
    /// Certificate chain that the process presents.
    pub cert_pem: String,
    /// Private key of the certificate.
    pub key_pem: String,
    /// Counts refused client certificates; `None` counts nothing.
    refusals: Option<ReasonCounters>,
}

impl PartialEq for Keys {
    fn eq(&self, other: &Self) -> bool {
        let pem_texts =
            |keys: &Self| (keys.ca_pem.clone(), keys.cert_pem.clone(), keys.key_pem.clone());
        pem_texts(self) == pem_texts(other)
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").finish_non_exhaustive()
    }
}

impl Keys {
    /// Loads keys; each argument is the path of a PEM file or PEM text.
    ///
    /// # Errors
    /// Returns [`Error::Read`] if a file cannot be read.
    pub fn load(ca: &str, cert: &str, key: &str) -> Result<Self> {
        Ok(Self::from_pem(read_pem(ca)?, read_pem(cert)?, read_pem(key)?))
    }

    /// Creates keys from PEM texts, which are checked when a TLS configuration is built.
    pub fn from_pem(ca_pem: String, cert_pem: String, key_pem: String) -> Self {
        Self { ca_pem, cert_pem, key_pem, refusals: None }
    }

    /// Sets the counters of client certificates that are refused.
    pub fn with_refusal_counters(mut self, refusals: ReasonCounters) -> Self {
        self.refusals = Some(refusals);
        self
    }

    /// Counts a certificate that TLS accepted but whose role does not permit the connection.
    pub fn count_refusal(&self, reason: &str) {
        if let Some(refusals) = &self.refusals {
            refusals.count(reason);
        }
    }

    /// Builds a TLS server configuration that requires a client certificate.
    ///
    /// # Errors
    /// Returns an error if the PEM text or the keys are not usable.
    pub fn server_config(&self, protocols: &[&[u8]]) -> Result<ServerConfig> {
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.trusted_roots()?),
            Arc::clone(&provider),
        )
        .build()?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(Arc::new(CountingVerifier::new(
                verifier,
                self.refusals.clone(),
            )))
            .with_single_cert(self.certificate_chain()?, self.private_key()?)?;
        config.alpn_protocols = protocols.iter().map(|protocol| protocol.to_vec()).collect();
        Ok(config)
    }

    /// Builds a TLS client configuration that presents this certificate.
    ///
    /// # Errors
    /// Returns an error if the PEM text or the keys are not usable.
    pub fn client_config(&self, protocols: &[&[u8]]) -> Result<ClientConfig> {
        let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()?
            .with_root_certificates(self.trusted_roots()?)
            .with_client_auth_cert(self.certificate_chain()?, self.private_key()?)?;
        config.alpn_protocols = protocols.iter().map(|protocol| protocol.to_vec()).collect();
        Ok(config)
    }

    fn trusted_roots(&self) -> Result<RootCertStore> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(self.ca_pem.as_bytes()) {
            roots.add(certificate?)?;
        }
        Ok(roots)
    }

    fn certificate_chain(&self) -> Result<Vec<CertificateDer<'static>>> {
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
