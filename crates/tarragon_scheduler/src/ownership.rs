//! Follows the stored owners of engines, and fences an engine before its first order.

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

/// Adapter that no engine holds: unloading it has no effect but to show the fencing number.
const FENCE_ADAPTER: &str = "tarragonrail-fence";
/// Pause before an engine that can't be reached is fenced again.
const FENCE_RETRY: Duration = Duration::from_millis(100);

/// Owner records by resource, with their versions.
type OwnerRecords = BTreeMap<ResourceId, (OwnershipRecord, ObjectVersion)>;

/// Stored owners, read again only after a change.
#[derive(Debug)]
pub(crate) struct StoredOwners {
    records: RecordCache<OwnershipRecord>,
    by_resource: Rc<OwnerRecords>,
}

impl StoredOwners {
    /// Starts with nothing read.
    pub(crate) fn new(owners: WatchCache) -> Self {
        Self { records: RecordCache::new(owners), by_resource: Rc::default() }
    }

    /// Gives the owners as the local copy holds them.
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

/// An engine whose record names this session.
#[derive(Debug)]
pub(crate) struct Owned {
    pub record: OwnershipRecord,
    pub version: String,
    pub state: OwnershipState,
    /// Runs from the moment that the engine has met the fencing number.
    pub engine: Option<Addr<EngineActor>>,
}

impl Session {
    /// Starts engines that were taken and drops those that were lost.
    pub(crate) fn follow_owners(&self) {
        let me = self.state().holder.borrow().record().session_id;
        let stored = self.state().stored_owners.borrow_mut().read();
        self.drop_lost(&stored, me);
        let fleet = self.state().config.applied();
        for (resource, (record, version)) in stored.iter() {
            let is_known = self.state().owned.borrow().contains_key(resource);
            if is_known || record.session_id != me || record.released || self.is_leaving() {
                continue;
            }
            if let Some(upstream) = fleet.upstreams.get(resource) {
                let client = EngineClient::open(upstream.address);
                self.spawn_fencing(client, resource.clone(), record.fence);
                let state = self.step(ownership_chart().initial(), OwnershipEvent::Taken);
                let (record, version) = (record.clone(), version.clone());
                let owned = Owned { record, version, state, engine: None };
                self.state().owned.borrow_mut().insert(resource.clone(), owned);
            }
        }
        self.publish_owned(fleet.generation);
    }

    /// Marks every ownership as being handed over; gives the engines that run.
    pub(crate) fn begin_handover(&self) -> Vec<Addr<EngineActor>> {
        let mut owned = self.state().owned.borrow_mut();
        for entry in owned.values_mut() {
            entry.state = self.step(entry.state, OwnershipEvent::Leaving);
        }
        owned.values().filter_map(|entry| entry.engine.clone()).collect()
    }

    fn drop_lost(&self, stored: &OwnerRecords, me: u64) {
        self.state().owned.borrow_mut().retain(|resource, entry| {
            let is_mine = stored.get(resource).is_some_and(|(record, _)| {
                record.session_id == me && record.fence == entry.record.fence && !record.released
            });
            if !is_mine {
                self.step(entry.state, OwnershipEvent::Lost);
                if let Some(engine) = &entry.engine {
                    engine.do_send(Stop);
                }
            }
            is_mine
        });
    }

    fn publish_owned(&self, generation: u64) {
        let owned = self.state().owned.borrow();
        let held = owned.iter().filter(|(_, entry)| entry.engine.is_some());
        let names: Vec<String> = held.map(|(resource, _)| resource.clone()).collect();
        self.state().metrics.owned_engines.set(names.len() as i64);
        self.state().gossip.update_own_heartbeat(|own| {
            own.owned = names;
            own.generation = generation;
        });
    }

    /// Shows an engine the new fencing number before any other order, until it answers.
    fn spawn_fencing(&self, client: EngineClient, resource: ResourceId, fence: FenceNumber) {
        let session = self.clone();
        actix_rt::spawn(async move {
            loop {
                let is_owned = session.is_owned(&resource, fence);
                if !is_owned {
                    return;
                }
                if session.is_in_force() {
                    match client.unload_adapter(FENCE_ADAPTER, fence).await {
                        Ok(()) | Err(Error::Refused(404)) => break,
                        Err(Error::StaleFence) => {
                            session.state().metrics.session_events.count("stale_fence");
                            return;
                        }
                        Err(_) => session.state().metrics.session_events.count("fence_retry"),
                    }
                }
                actix_rt::time::sleep(FENCE_RETRY).await;
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

    /// Gives the next state; an event that the chart does not define is counted and ignored.
    fn step(&self, state: OwnershipState, event: OwnershipEvent) -> OwnershipState {
        ownership_chart().step(state, event).unwrap_or_else(|_undefined| {
            self.state().metrics.session_events.count("undefined_step");
            state
        })
    }
}
