//! Origins of streams in the store, from which hosts that were all killed at once learn them.
//!
//! While a service has several software versions, the first keeper of its streams writes them
//! behind their start. What it has not written yet is unknown after such a kill.

use crate::node::{Node, SharedNode};
use rail_origin::{
    OriginJournal, OriginKnowledge, Slot, StoredOrigins, StreamKey, StreamsByVersion,
};
use rail_site::{Freshness, StoreError, StoredObject};
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::{Mutex, Notify};

/// Kind of the store's records of the origins of streams.
const STORE_KIND: &str = "rail-streams";
/// Shortest time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a failed write.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Timeout of a store call.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a listing serves further questions.
const LISTING_TIME: Duration = Duration::from_millis(200);

/// Origins that this host stores, and those that it has read.
#[derive(Debug, Default)]
pub struct StreamStore {
    journal: RefCell<OriginJournal>,
    is_write_due: Notify,
    /// Objects as this process last wrote them, by name.
    written: RefCell<HashMap<String, StoredObject>>,
    /// The last listing, with its time. The lock lets questions wait for one that is under way.
    listing: Mutex<Option<(Duration, Vec<StoredOrigins>)>>,
}

impl StreamStore {
    /// Queues streams of a service to be stored.
    pub fn add(&self, service: &str, streams: StreamsByVersion) {
        self.journal.borrow_mut().add(Slot::at(since_epoch()), service, streams);
        self.is_write_due.notify_one();
    }
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Writes changed slots to the store, at a bounded rate.
pub async fn write_changed(node: SharedNode) {
    let streams = &node.stream_origins.store;
    loop {
        let changed = streams.journal.borrow_mut().take_changed();
        let Some((slot, origins)) = changed else {
            streams.is_write_due.notified().await;
            continue;
        };
        let pause = match write(&node, slot, &origins).await {
            Ok(()) => WRITE_INTERVAL,
            Err(error) => {
                node.metrics.store_calls.count(&error.to_string());
                streams.journal.borrow_mut().put_back(slot);
                FAILURE_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Writes a slot over the object of an earlier slot. What an earlier process of this host has
/// stored in the same slot is kept.
async fn write(node: &Node, slot: Slot, origins: &StoredOrigins) -> Result<(), StoreError> {
    let streams = &node.stream_origins.store;
    let name = slot.object_name(&node.settings.host);
    let value = serde_json::to_value(origins).unwrap_or_default();
    let written = streams.written.borrow_mut().remove(&name);
    let result = match written {
        Some(object) => {
            let object = StoredObject { value, ..object };
            node.store.replace(STORE_KIND, object, STORE_CALL_TIMEOUT).await
        }
        None => node.store.create(STORE_KIND, &name, value, STORE_CALL_TIMEOUT).await,
    };
    match result {
        Ok(object) => {
            streams.written.borrow_mut().insert(name, object);
            Ok(())
        }
        Err(StoreError::Conflict(Some(object))) => {
            if let Ok(stored) = serde_json::from_value::<StoredOrigins>(object.value.clone()) {
                streams.journal.borrow_mut().merge_stored(stored);
            }
            streams.written.borrow_mut().insert(name, *object);
            streams.journal.borrow_mut().put_back(slot);
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// Returns what the store knows of a stream, or `None` if it does not answer.
pub async fn read(
    node: &SharedNode,
    service: &str,
    stream: Option<StreamKey>,
) -> Option<OriginKnowledge> {
    let node = Rc::clone(node);
    let mut listing = node.stream_origins.store.listing.lock().await;
    let now = node.now();
    let is_recent = |(read_at, _): &(Duration, Vec<StoredOrigins>)| *read_at + LISTING_TIME >= now;
    if !listing.as_ref().is_some_and(is_recent) {
        let listed = node.store.list(STORE_KIND, Freshness::Latest, STORE_CALL_TIMEOUT).await;
        // What an incomplete listing leaves out may be the origin of the stream.
        let listed = listed.ok().filter(|listed| listed.is_complete)?;
        let decode = |object: StoredObject| serde_json::from_value(object.value).ok();
        *listing = Some((now, listed.objects.into_iter().filter_map(decode).collect()));
    }
    let (_, origins) = listing.as_ref()?;
    let today = since_epoch();
    let knowledge = origins.iter().map(|stored| stored.knowledge(service, stream, today));
    Some(knowledge.fold(OriginKnowledge::Unaware, OriginKnowledge::combine))
}
