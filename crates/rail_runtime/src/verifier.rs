//! Client certificate check that counts refusals and tells the client no reason.

use crate::metrics::ReasonCounters;
use rustls::{
    CertificateError, DigitallySignedStruct, DistinguishedName, Error, SignatureScheme,
    client::danger::HandshakeSignatureValid,
    server::danger::{ClientCertVerified, ClientCertVerifier},
};
use rustls_pki_types::{CertificateDer, UnixTime};
use std::sync::Arc;

/// Wraps a verifier; every refusal looks the same to the client.
#[derive(Debug)]
pub(crate) struct CountingVerifier {
    inner: Arc<dyn ClientCertVerifier>,
    refused: Option<ReasonCounters>,
}

impl CountingVerifier {
    pub(crate) fn new(inner: Arc<dyn ClientCertVerifier>, refused: Option<ReasonCounters>) -> Self {
        Self { inner, refused }
    }

    fn refuse(&self, error: &Error) -> Error {
        if let Some(refused) = &self.refused {
            refused.count(reason(error));
        }
        Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure)
    }
}

fn reason(error: &Error) -> &'static str {
    match error {
        Error::InvalidCertificate(error) => match error {
            CertificateError::Expired | CertificateError::ExpiredContext { .. } => "expired",
            CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                "not_valid_yet"
            }
            // An authority of the same name with another key fails by its signature.
            CertificateError::UnknownIssuer | CertificateError::BadSignature => "foreign_authority",
            CertificateError::InvalidPurpose | CertificateError::InvalidPurposeContext { .. } => {
                "invalid_purpose"
            }
            CertificateError::BadEncoding => "bad_encoding",
            _ => "other_certificate_error",
        },
        _ => "other_error",
    }
}

impl ClientCertVerifier for CountingVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        // Naming the accepted authorities would tell a foreign client about the fleet.
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        let verified = self.inner.verify_client_cert(end_entity, intermediates, now);
        verified.map_err(|error| self.refuse(&error))
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let verified = self.inner.verify_tls12_signature(message, cert, signature);
        verified.map_err(|error| self.refuse(&error))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let verified = self.inner.verify_tls13_signature(message, cert, signature);
        verified.map_err(|error| self.refuse(&error))
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.inner.supported_verify_schemes()
    }
}
