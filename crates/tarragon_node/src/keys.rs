//! Keys for the encrypted links between hosts.
//!
//! The certificate authority of the fleet is kept in the store, so every host can issue its own
//! certificate and trusts exactly the hosts of its fleet.

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

#[derive(Serialize, Deserialize)]
struct AuthorityRecord {
    ca_pem: String,
    key_pem: String,
}

/// Waits until the certificate authority is available, and issues keys for this host.
///
/// # Errors
/// Fails if keys can't be generated from the stored authority.
pub async fn fetch_keys(store: &MetadataStore, host: &str) -> rail_runtime::keys::Result<Keys> {
    // The authority never changes, so a stale read suffices; only if it is missing, the latest
    // state is read.
    let mut freshness = Freshness::MayBeStale;
    loop {
        match store.read(AUTHORITY_KIND, AUTHORITY_NAME, freshness, STORE_CALL_TIMEOUT).await {
            Ok(object) => {
                if let Ok(record) = serde_json::from_value::<AuthorityRecord>(object.value) {
                    return Authority::from_pem(record.ca_pem, record.key_pem)?.issue(host);
                }
            }
            Err(StoreError::NotFound) if freshness == Freshness::MayBeStale => {
                freshness = Freshness::Latest;
                continue;
            }
            Err(StoreError::NotFound) => create_authority(store).await?,
            Err(_) => store.close_idle(),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn create_authority(store: &MetadataStore) -> rail_runtime::keys::Result<()> {
    let authority = Authority::generate()?;
    let record = AuthorityRecord {
        ca_pem: authority.ca_pem().to_owned(),
        key_pem: authority.key_pem().to_owned(),
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    // Another host may have created it first; the caller reads the stored authority in either case.
    let _read_next = store.create(AUTHORITY_KIND, AUTHORITY_NAME, value, STORE_CALL_TIMEOUT).await;
    Ok(())
}
