//! Notices that the store has returned from an older copy of itself.

use crate::{events::Event, node::SharedNode, registry};
use rail_revision::Era;
use rail_runtime::time_since_boot;
use rail_site::{Freshness, StoreError, StoredObject};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Kind and name of the record that confirms a return.
const RETURN_KIND: &str = "rail-returns";
const RETURN_NAME: &str = "confirmed";
/// Timeout of a store call.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Tells hosts that started after a return what only those of before can know.
#[derive(Debug, Serialize, Deserialize)]
struct ReturnRecord {
    /// Era of which every host has read the ownership records.
    confirmed_era: Era,
}

/// Records the era of a record or of a response of the store. When the store has returned from an
/// older copy, watches start again, and engines that this host does not keep must be claimed anew.
pub fn record_era(node: &SharedNode, era: Era) {
    if node.return_guard.borrow().knows(era) {
        return;
    }
    let is_kept = |engine: &&String| node.current_fence(engine).is_some();
    let kept: Vec<String> = node.owners.borrow().keys().filter(is_kept).cloned().collect();
    let engines = kept.len();
    let is_return = node.return_guard.borrow_mut().record_era(era, kept, time_since_boot());
    if is_return {
        node.metrics.store_era.set(i64::from(era));
        registry::record_store_recovery(node, Duration::ZERO);
        node.store_health.restart_watches();
        node.events.important(&Event::StoreReturned { era, kept_engines: engines });
    }
}

/// Writes the confirmation of a return that this host knows, or reads the one that it awaits.
/// `stored` is the newest era whose confirmation is known to be in the store.
pub async fn exchange_confirmation(node: &SharedNode, stored: &mut Option<Era>) {
    let (known, is_awaited) = {
        let guard = node.return_guard.borrow();
        (guard.confirmed_era(), guard.awaits_confirmation(time_since_boot()))
    };
    if let Some(era) = known.filter(|era| *stored < Some(*era)) {
        if write_confirmation(node, era).await.is_ok() {
            *stored = Some(era);
        }
    } else if is_awaited
        && let Some(era) = read_confirmation(node).await
        && era >= node.store.era()
    {
        node.return_guard.borrow_mut().record_confirmation(era, time_since_boot());
    }
}

async fn read_confirmation(node: &SharedNode) -> Option<Era> {
    let read_result =
        node.store.read(RETURN_KIND, RETURN_NAME, Freshness::Latest, STORE_CALL_TIMEOUT).await;
    let record = serde_json::from_value::<ReturnRecord>(read_result.ok()?.value).ok()?;
    Some(record.confirmed_era)
}

async fn write_confirmation(node: &SharedNode, era: Era) -> Result<(), StoreError> {
    let value = serde_json::to_value(ReturnRecord { confirmed_era: era }).unwrap_or_default();
    let created =
        node.store.create(RETURN_KIND, RETURN_NAME, value.clone(), STORE_CALL_TIMEOUT).await;
    match created {
        Ok(_) => Ok(()),
        Err(StoreError::Conflict(Some(object))) => {
            let known = serde_json::from_value::<ReturnRecord>(object.value.clone()).ok();
            if known.is_some_and(|record| record.confirmed_era >= era) {
                return Ok(());
            }
            let object = StoredObject { value, ..*object };
            node.store.replace(RETURN_KIND, object, STORE_CALL_TIMEOUT).await.map(drop)
        }
        Err(error) => Err(error),
    }
}
