//! Client certificate verifier that counts refusals and hides their reason from the client.

use crate::metrics::ReasonCounters;
use rustls::{
    CertificateError, DigitallySignedStruct, DistinguishedName, Error, SignatureScheme,
    client::danger::HandshakeSignatureValid,
    server::danger::{ClientCertVerified, ClientCertVerifier},
};
use rustls_pki_types::{CertificateDer, UnixTime};
use std::sync::Arc;

/// Wraps a client certificate verifier.
///
/// Counts each refusal under its reason and returns the same error for all of them, so that the
/// client cannot learn the reason.
#[derive(Debug)]
pub(crate) struct CountingVerifier {
    inner: Arc<dyn ClientCertVerifier>,
    refusals: Option<ReasonCounters>,
}

impl CountingVerifier {
    pub(crate) fn new(
        inner: Arc<dyn ClientCertVerifier>,
        refusals: Option<ReasonCounters>,
    ) -> Self {
        Self { inner, refusals }
    }

    fn refuse(&self, error: &Error) -> Error {
        if let Some(refusals) = &self.refusals {
            refusals.count(refusal_reason(error));
        }
        Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure)
    }
}

fn refusal_reason(error: &Error) -> &'static str {
    match error {
        Error::InvalidCertificate(error) => match error {
            CertificateError::Expired | CertificateError::ExpiredContext { .. } => "expired",
            CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                "not_valid_yet"
            }
            // An authority with the same name but another key fails the signature check.
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
        // Hints would disclose the names of the accepted authorities to any client.
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
