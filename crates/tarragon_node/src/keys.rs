//! Keys for the encrypted links between hosts.
//!
//! The certificate authority of the fleet is kept in the store, so every host can issue its own
//! certificate and trusts exactly the hosts of its fleet. A store that returns from an older copy
//! may have lost it, so each host checks it again in each era of the store: it writes the one that
//! it uses, or uses the one that another host has written.

use crate::{events::Event, node::SharedNode, peers};
use rail_revision::Era;
use rail_runtime::{Authority, Keys};
use rail_site::{Freshness, MetadataStore, StoreError};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Kind and name of the record that contains the certificate authority.
const AUTHORITY_KIND: &str = "rail-keys";
const AUTHORITY_NAME: &str = "fleet";
/// Timeout of a store call.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two calls to the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which a new era of the store is looked for.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The certificate authority of a fleet, as the store keeps it.
#[derive(PartialEq, Eq, Serialize, Deserialize)]
pub struct AuthorityRecord {
    ca_pem: String,
    key_pem: String,
}

impl AuthorityRecord {
    /// Issues keys for a host.
    ///
    /// # Errors
    /// Fails if the authority is not valid.
    pub fn issue(&self, host: &str) -> rail_runtime::keys::Result<Keys> {
        Authority::from_pem(self.ca_pem.clone(), self.key_pem.clone())?.issue(host)
    }
}

/// Waits until the certificate authority is available; creates it if the store has none.
///
/// # Errors
/// Fails if no authority can be generated.
pub async fn fetch_authority(store: &MetadataStore) -> rail_runtime::keys::Result<AuthorityRecord> {
    // The authority rarely changes, so a stale read suffices; only if it is missing, the latest
    // state is read.
    let mut freshness = Freshness::MayBeStale;
    loop {
        match store.read(AUTHORITY_KIND, AUTHORITY_NAME, freshness, STORE_CALL_TIMEOUT).await {
            Ok(object) => {
                if let Ok(record) = serde_json::from_value(object.value) {
                    return Ok(record);
                }
            }
            Err(StoreError::NotFound) if freshness == Freshness::MayBeStale => {
                freshness = Freshness::Latest;
                continue;
            }
            Err(StoreError::NotFound) => write_authority(store, &generate_authority()?).await,
            Err(_) => store.close_idle(),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Keeps the authority in use the same as the stored one, in each era of the store.
pub async fn maintain_authority(node: SharedNode, mut authority: AuthorityRecord) {
    let mut checked_era = Era::default();
    loop {
        tokio::time::sleep(ERA_CHECK_INTERVAL).await;
        let era = node.store.era();
        if era == checked_era {
            continue;
        }
        let read_result = node
            .store
            .read(AUTHORITY_KIND, AUTHORITY_NAME, Freshness::Latest, STORE_CALL_TIMEOUT)
            .await;
        match read_result {
            Ok(object) => {
                // A record that can't be read is reported once and not replaced.
                checked_era = era;
                let record = serde_json::from_value::<AuthorityRecord>(object.value);
                match record.map_err(|error| error.to_string()) {
                    Ok(record) if record == authority => {}
                    Ok(record) => match adopt(&node, &record) {
                        Ok(()) => authority = record,
                        Err(reason) => report(&node, reason),
                    },
                    Err(reason) => report(&node, reason),
                }
            }
            // It is read again after this, since another host may have written one first.
            Err(StoreError::NotFound) => write_authority(&node.store, &authority).await,
            Err(_unavailable) => {}
        }
    }
}

/// Uses the keys of another authority for new links.
fn adopt(node: &SharedNode, authority: &AuthorityRecord) -> Result<(), String> {
    let keys = authority.issue(&node.settings.host).map_err(|error| error.to_string())?;
    let Some(mesh) = node.peers.mesh() else { return Ok(()) };
    mesh.replace_keys(&keys).map_err(|error| error.to_string())?;
    node.events.important(&Event::AuthorityChanged { era: node.store.era() });
    peers::contact_registered_hosts(node);
    Ok(())
}

fn report(node: &SharedNode, reason: String) {
    let event = Event::BadRecord { kind: AUTHORITY_KIND, name: AUTHORITY_NAME, reason };
    node.events.important(&event);
}

fn generate_authority() -> rail_runtime::keys::Result<AuthorityRecord> {
    let authority = Authority::generate()?;
    let (ca_pem, key_pem) = (authority.ca_pem().to_owned(), authority.key_pem().to_owned());
    Ok(AuthorityRecord { ca_pem, key_pem })
}

async fn write_authority(store: &MetadataStore, authority: &AuthorityRecord) {
    let value = serde_json::to_value(authority).unwrap_or_default();
    // Another host may have created it first; the caller reads the stored authority in either case.
    let _read_next = store.create(AUTHORITY_KIND, AUTHORITY_NAME, value, STORE_CALL_TIMEOUT).await;
}
