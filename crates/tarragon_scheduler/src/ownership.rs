//! Runs the engines that stored ownership records assign to this session, and fences each engine
//! before its first order.

use crate::{
    engine::{EngineActor, Stop},
    session::Session,
};
use actix::{Actor, Addr};
use rail_lease::{
    FenceNumber, OwnershipEvent, OwnershipRecord, OwnershipState, ResourceId, ownership_chart,
};
use rail_platform::{ObjectVersion, RecordCache, WatchCache};
use rail_upstream::{EngineClient, Error};
use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Adapter that no engine has loaded: an order to unload it only delivers the fencing number.
const FENCE_ADAPTER: &str = "tarragonrail-fence";
/// Delay before the next attempt to fence an engine that can't be reached.
const FENCE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Owner records by resource, with their versions.
type OwnerRecords = BTreeMap<ResourceId, (OwnershipRecord, ObjectVersion)>;

/// Stored owners, decoded again only after a change.
#[derive(Debug)]
pub(crate) struct StoredOwners {
    records: RecordCache<OwnershipRecord>,
    by_resource: Rc<OwnerRecords>,
}

impl StoredOwners {
    /// Creates an empty set, which is filled by the first [`read`](Self::read).
    pub(crate) fn new(owners: WatchCache) -> Self {
        Self { records: RecordCache::new(owners), by_resource: Rc::default() }
    }

    /// Returns the owners in the local copy of the records.
    pub(crate) fn read(&mut self) -> Rc<OwnerRecords> {
        if self.records.refresh() {
            let records = self.records.iter();
            let by_resource = records.map(|(record, version)| {
                (record.resource.clone(), (record.clone(), version.clone()))
            });
            self.by_resource = Rc::new(by_resource.collect());
        }
        Rc::clone(&self.by_resource)
    }
}

/// An engine whose ownership record names this session.
#[derive(Debug)]
pub(crate) struct OwnedEngine {
    pub record: OwnershipRecord,
    pub version: String,
    pub state: OwnershipState,
    /// Set once the engine has received the fencing number.
    pub engine: Option<Addr<EngineActor>>,
}

impl Session {
    /// Starts newly acquired engines and stops those whose ownership was lost.
    pub(crate) fn reconcile_owned_engines(&self) {
        let own_id = self.state().holder.borrow().record().session_id;
        let stored = self.state().stored_owners.borrow_mut().read();
        self.remove_lost(&stored, own_id);
        let fleet = self.state().config.applied();
        for (resource, (record, version)) in stored.iter() {
            let is_known = self.state().owned.borrow().contains_key(resource);
            if is_known || record.session_id != own_id || record.released || self.is_leaving() {
                continue;
            }
            if let Some(upstream) = fleet.upstreams.get(resource) {
                let client = EngineClient::open(upstream.address);
                self.spawn_fencing(client, resource.clone(), record.fence);
                let state = self.step(ownership_chart().initial(), OwnershipEvent::Taken);
                let (record, version) = (record.clone(), version.clone());
                let owned = OwnedEngine { record, version, state, engine: None };
                self.state().owned.borrow_mut().insert(resource.clone(), owned);
            }
        }
        self.publish_owned_engines(fleet.generation);
    }

    /// Marks every ownership as being handed over; returns the running engines.
    pub(crate) fn begin_handover(&self) -> Vec<Addr<EngineActor>> {
        let mut owned = self.state().owned.borrow_mut();
        for entry in owned.values_mut() {
            entry.state = self.step(entry.state, OwnershipEvent::Leaving);
        }
        owned.values().filter_map(|entry| entry.engine.clone()).collect()
    }

    fn remove_lost(&self, stored: &OwnerRecords, own_id: u64) {
        self.state().owned.borrow_mut().retain(|resource, entry| {
            let is_own = stored.get(resource).is_some_and(|(record, _)| {
                record.session_id == own_id
                    && record.fence == entry.record.fence
                    && !record.released
            });
            if !is_own {
                self.step(entry.state, OwnershipEvent::Lost);
                if let Some(engine) = &entry.engine {
                    engine.do_send(Stop);
                }
            }
            is_own
        });
    }

    fn publish_owned_engines(&self, generation: u64) {
        let owned = self.state().owned.borrow();
        let running = owned.iter().filter(|(_, entry)| entry.engine.is_some());
        let names: Vec<String> = running.map(|(resource, _)| resource.clone()).collect();
        self.state().metrics.owned_engines.set(names.len() as i64);
        self.state().gossip.update_own_heartbeat(|own| {
            own.owned = names;
            own.generation = generation;
        });
    }

    /// Starts a task that sends an engine the new fencing number until it responds, and then starts
    /// the engine. No other order may precede this: it makes the engine refuse the previous owner.
    fn spawn_fencing(&self, client: EngineClient, resource: ResourceId, fence: FenceNumber) {
        let session = self.clone();
        actix_rt::spawn(async move {
            loop {
                let is_owned = session.is_owned(&resource, fence);
                if !is_owned {
                    return;
                }
                if session.is_valid() {
                    match client.unload_adapter(FENCE_ADAPTER, fence).await {
                        Ok(()) | Err(Error::Refused(404)) => break,
                        Err(Error::StaleFence) => {
                            session.state().metrics.session_events.count("stale_fence");
                            return;
                        }
                        Err(_) => session.state().metrics.session_events.count("fence_retry"),
                    }
                }
                actix_rt::time::sleep(FENCE_RETRY_DELAY).await;
            }
            session.start_engine(&resource, fence);
        });
    }

    fn is_owned(&self, resource: &str, fence: FenceNumber) -> bool {
        let owned = self.state().owned.borrow();
        owned.get(resource).is_some_and(|entry| entry.record.fence == fence)
    }

    fn start_engine(&self, resource: &str, fence: FenceNumber) {
        let fleet = self.state().config.applied();
        let mut owned = self.state().owned.borrow_mut();
        let entry = owned.get_mut(resource).filter(|entry| entry.record.fence == fence);
        let (Some(entry), Some(upstream)) = (entry, fleet.upstreams.get(resource)) else {
            return;
        };
        entry.state = self.step(entry.state, OwnershipEvent::Fenced);
        if entry.state != OwnershipState::Held {
            return;
        }
        let engine = EngineActor::new(
            upstream,
            fence,
            self.clone(),
            self.state().config.clone(),
            self.state().clock,
            self.state().metrics.clone(),
        );
        entry.engine = Some(engine.start());
    }

    /// Returns the next state; an event that the chart does not define is counted and ignored.
    fn step(&self, state: OwnershipState, event: OwnershipEvent) -> OwnershipState {
        ownership_chart().step(state, event).unwrap_or_else(|_undefined| {
            self.state().metrics.session_events.count("undefined_step");
            state
        })
    }
}
