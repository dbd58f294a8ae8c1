//! Notices that the store has returned from an older copy of itself.

use crate::{events::Event, node::SharedNode, registry};
use rail_revision::Era;
use rail_runtime::time_since_boot;
use rail_site::{Freshness, StoreError, StoredObject};
use serde::{Deserialize, Serialize};
use std::{net::IpAddr, rc::Rc, time::Duration};

/// Kind and name of the record that confirms a return.
const RETURN_KIND: &str = "rail-returns";
const RETURN_NAME: &str = "confirmed";
/// File that identifies the start of a machine's system.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// Kind of the records that contain when each host noticed a return.
const NOTICE_KIND: &str = "rail-notices";
/// Timeout of a store call.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Tells hosts that started after a return what only those of before can know.
#[derive(Debug, Serialize, Deserialize)]
struct ReturnRecord {
    /// Era of which every host has read the ownership records.
    confirmed_era: Era,
}

/// Tells a host that starts again when it noticed a return.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct NoticeRecord {
    /// Era that began with the return.
    era: Era,
    /// Time on the machine's boot clock.
    noticed_boot_ms: u64,
    /// Machine that the clock belongs to.
    ip: IpAddr,
    /// Start of its system; empty if the system doesn't name it.
    boot_id: String,
}

/// Records each new era before the response of the store that names it is used: a lease that has
/// lapsed must not look valid by a renewal that the returned store accepts, since that store may
/// have lost its revocation.
pub fn follow_eras(node: &SharedNode) {
    let weak_node = Rc::downgrade(node);
    node.store.set_era_listener(move |era| {
        if let Some(node) = weak_node.upgrade() {
            record_era(&node, era);
        }
    });
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

/// Keeps in the store when this host noticed a return, so that it need not wait anew if it
/// restarts. `stored` is the newest era whose record is known to be in the store.
pub async fn exchange_notice(node: &SharedNode, stored: &mut Option<Era>) {
    let noticed = node.return_guard.borrow().noticed(time_since_boot());
    let Some((era, noticed_at)) = noticed.filter(|(era, _)| *stored < Some(*era)) else { return };
    let boot_id = std::fs::read_to_string(BOOT_ID_PATH).unwrap_or_default();
    let boot_id = boot_id.trim().to_owned();
    let noticed_boot_ms = noticed_at.as_millis() as u64;
    let record = NoticeRecord { era, noticed_boot_ms, ip: node.settings.ip, boot_id };
    let name = &node.settings.host;
    let value = serde_json::to_value(&record).unwrap_or_default();
    let created = node.store.create(NOTICE_KIND, name, value.clone(), STORE_CALL_TIMEOUT).await;
    let object = match created {
        Ok(_) => {
            *stored = Some(era);
            return;
        }
        Err(StoreError::Conflict(Some(object))) => *object,
        Err(_) => return,
    };
    let known = serde_json::from_value::<NoticeRecord>(object.value.clone()).ok();
    let is_of_same_start = |known: &NoticeRecord| {
        let is_named = !known.boot_id.is_empty();
        known.era == era && known.ip == record.ip && is_named && known.boot_id == record.boot_id
    };
    if let Some(known) = known.filter(is_of_same_start) {
        let noticed_at = Duration::from_millis(known.noticed_boot_ms);
        node.return_guard.borrow_mut().record_noticed(era, noticed_at);
        *stored = Some(era);
        return;
    }
    let object = StoredObject { value, ..object };
    if node.store.replace(NOTICE_KIND, object, STORE_CALL_TIMEOUT).await.is_ok() {
        *stored = Some(era);
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
