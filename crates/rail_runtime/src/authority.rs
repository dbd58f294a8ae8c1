//! Certificate authority of a fleet: issues the keys of hosts and operators.

use crate::keys::{Error, FLEET_SERVER_NAME, Keys, Result};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls_pki_types::CertificateDer;
use std::{str::FromStr, time::Duration};
use time::OffsetDateTime;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Validity of certificates issued by [`Authority::issue`]: 365 days.
pub const DEFAULT_VALIDITY: Duration = Duration::from_secs(365 * 24 * 3600);
/// Time before their issue from which certificates are valid, so that hosts whose clock runs
/// behind accept them.
const CLOCK_SKEW_ALLOWANCE: Duration = Duration::from_secs(3600);

/// Rights of the holder of a certificate; stored as its organizational unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRole {
    /// Runs the daemons and calls the peer endpoints of other hosts.
    Host,
    /// Reads and changes the configuration.
    Operator,
    /// Reads the configuration and the status.
    ReadOnly,
}

impl KeyRole {
    /// Returns the name of the role as stored in certificates.
    pub fn name(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Operator => "operator",
            Self::ReadOnly => "read-only",
        }
    }

    /// Returns the role in a certificate that TLS has verified, or `None` if it has no valid role.
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Option<Self> {
        let (_rest, parsed) = X509Certificate::from_der(certificate).ok()?;
        let mut units = parsed.subject().iter_organizational_unit();
        let role = units.next()?.as_str().ok()?.parse().ok()?;
        // A second unit would make the role ambiguous.
        if units.next().is_some() { None } else { Some(role) }
    }
}

impl FromStr for KeyRole {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        match s {
            "host" => Ok(Self::Host),
            "operator" => Ok(Self::Operator),
            "read-only" => Ok(Self::ReadOnly),
            _ => Err(Error::UnknownRole(s.to_owned())),
        }
    }
}

/// Key pair that signs the certificates of a fleet, and the certificates that the fleet trusts.
#[derive(Debug)]
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    ca_pem: String,
    key_pem: String,
}

impl Authority {
    /// Creates an authority with a new key pair.
    ///
    /// # Errors
    /// Returns [`Error::Generate`] if the key or its certificate cannot be created.
    pub fn generate() -> Result<Self> {
        let key = KeyPair::generate()?;
        let params = authority_params();
        let ca_pem = params.self_signed(&key)?.pem();
        let key_pem = key.serialize_pem();
        Ok(Self { issuer: Issuer::new(params, key), ca_pem, key_pem })
    }

    /// Creates an authority from its trusted certificates and private key in PEM.
    ///
    /// # Errors
    /// Returns [`Error::Generate`] if the key is not valid.
    pub fn from_pem(ca_pem: String, key_pem: String) -> Result<Self> {
        let key = KeyPair::from_pem(&key_pem)?;
        Ok(Self { issuer: Issuer::new(authority_params(), key), ca_pem, key_pem })
    }

    /// Adds the certificate of an older authority to the trusted ones, so that its certificates
    /// stay valid until all of them are replaced.
    pub fn add_trusted_authority(&mut self, ca_pem: &str) {
        self.ca_pem.push_str(ca_pem);
    }

    /// Returns the authority certificates that the fleet trusts, in PEM.
    pub fn ca_pem(&self) -> &str {
        &self.ca_pem
    }

    /// Returns the private key in PEM, which only the issuing operator stores.
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }

    /// Issues keys with the role [`KeyRole::Host`], valid for [`DEFAULT_VALIDITY`].
    ///
    /// # Errors
    /// Returns [`Error::Generate`] if the key or its certificate cannot be created.
    pub fn issue(&self, common_name: &str) -> Result<Keys> {
        self.issue_as(KeyRole::Host, common_name, DEFAULT_VALIDITY)
    }

    /// Issues keys with the given role and common name, valid for `validity` from now.
    ///
    /// # Errors
    /// Returns [`Error::Generate`] if the key or its certificate cannot be created.
    pub fn issue_as(&self, role: KeyRole, common_name: &str, validity: Duration) -> Result<Keys> {
        let is_host = role == KeyRole::Host;
        let names = if is_host { vec![FLEET_SERVER_NAME.to_owned()] } else { Vec::new() };
        let mut params = CertificateParams::new(names)?;
        params.distinguished_name.push(DnType::CommonName, common_name);
        params.distinguished_name.push(DnType::OrganizationalUnitName, role.name());
        params.extended_key_usages.push(ExtendedKeyUsagePurpose::ClientAuth);
        if is_host {
            params.extended_key_usages.push(ExtendedKeyUsagePurpose::ServerAuth);
        }
        let now = OffsetDateTime::now_utc();
        params.not_before = now - CLOCK_SKEW_ALLOWANCE;
        params.not_after = now + validity;
        let key = KeyPair::generate()?;
        let cert_pem = params.signed_by(&key, &self.issuer)?.pem();
        Ok(Keys::from_pem(self.ca_pem.clone(), cert_pem, key.serialize_pem()))
    }
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, "tarragonrail fleet authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}
