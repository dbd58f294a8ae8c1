//! Renews the lease of a host that owns engines, and acquires engines without an owner.

use crate::{
    events::Event,
    node::{OwnerRecord, SharedNode},
    registry::{OWNER_KIND, merge_owner},
    store_return,
};
use rail_lease::{
    OwnerCandidate, assign_engines,
    host_lease::{HostLeaseRecord, LeaseObserver, LeaseWrite},
};
use rail_member::HostHeartbeat;
use rail_revision::Era;
use rail_runtime::time_since_boot;
use rail_site::{Freshness, StoreError, StoredObject};
use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Kind of the lease records in the store.
const LEASE_KIND: &str = "rail-leases";
/// Time to live of a host's lease.
///
/// A restarted process continues under its host's lease, so the time to live delays only the
/// takeover of engines of a failed host. In return, ownership outlasts store outages of that
/// length.
const LEASE_TTL: Duration = Duration::from_secs(14);
/// Interval at which leases and owners are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of the checks during [`JOIN_PERIOD`].
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout of a store call.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff before the lease is read again after the first failure.
const RETRY_BACKOFF: Duration = Duration::from_millis(800);
/// Time after the start in which hosts discover each other before they acquire engines.
const JOIN_PERIOD: Duration = Duration::from_millis(1500);
/// Number of checks from one read of the silent hosts' leases to the next.
const CHECKS_PER_OBSERVATION: u32 = 8;
/// Number of checks from one exchange of confirmations of a return to the next.
const CHECKS_PER_CONFIRMATION: u32 = 3;

/// Spawns the task that renews the lease and acquires engines.
pub fn spawn(node: &SharedNode) {
    let keeper = LeaseKeeper {
        node: Rc::clone(node),
        observer: LeaseObserver::new(LEASE_TTL, node.bounds().order_handover_delay),
        check_count: 0,
        confirmed_era: None,
        noticed_era: None,
    };
    actix_rt::spawn(keeper.run());
}

/// Returns the time to live of a host's lease.
pub fn lease_ttl() -> Duration {
    LEASE_TTL
}

/// Renews the own lease, observes the leases of silent hosts and acquires engines.
struct LeaseKeeper {
    node: SharedNode,
    observer: LeaseObserver,
    check_count: u32,
    /// Newest era whose confirmation this process has stored.
    confirmed_era: Option<Era>,
    /// Newest era of which the store has the time at which this host noticed it.
    noticed_era: Option<Era>,
}

impl LeaseKeeper {
    async fn run(mut self) {
        loop {
            let has_joined = self.node.now() > JOIN_PERIOD;
            let assigned = if has_joined { self.assigned_engines() } else { Vec::new() };
            if !assigned.is_empty() || self.owns_engines() {
                self.renew().await;
                store_return::record_era(&self.node, self.node.store.era());
            }
            self.note_earlier_claims();
            if self.check_count.is_multiple_of(CHECKS_PER_CONFIRMATION) {
                store_return::exchange_confirmation(&self.node, &mut self.confirmed_era).await;
                store_return::exchange_notice(&self.node, &mut self.noticed_era).await;
            }
            if has_joined && !self.node.is_stopping.get() {
                self.observe_silent_hosts().await;
                self.acquire_engines(assigned).await;
            }
            self.check_count = self.check_count.wrapping_add(1);
            // Check often at first: after all hosts restarted at once, engines wait for their
            // owners' leases.
            let is_joining = self.node.now() < JOIN_PERIOD;
            tokio::time::sleep(if is_joining { STARTUP_CHECK_INTERVAL } else { CHECK_INTERVAL })
                .await;
        }
    }

    /// Reads or writes the own lease in the store if either is due.
    async fn renew(&self) {
        let node = &self.node;
        let host = &node.settings.host;
        if node.lease.borrow().needs_read(time_since_boot()) {
            match node.store.read(LEASE_KIND, host, Freshness::Latest, STORE_CALL_TIMEOUT).await {
                Ok(object) => {
                    let record = serde_json::from_value(object.value).ok();
                    let stored = record.map(|record| (record, object.revision));
                    node.lease.borrow_mut().record_read(stored);
                }
                Err(StoreError::NotFound) => node.lease.borrow_mut().record_read(None),
                Err(error) => return self.record_store_failure(&error),
            }
        }
        let sent_at = time_since_boot();
        let write = node.lease.borrow_mut().poll(sent_at);
        let Some(write) = write else { return };
        let (record, write_result) = match write {
            LeaseWrite::Create(record) => {
                let value = to_value(&record);
                (record, node.store.create(LEASE_KIND, host, value, STORE_CALL_TIMEOUT).await)
            }
            LeaseWrite::Replace(record, revision) => {
                let object =
                    StoredObject { name: host.clone(), revision, value: to_value(&record) };
                (record, node.store.replace(LEASE_KIND, object, STORE_CALL_TIMEOUT).await)
            }
        };
        match write_result {
            Ok(object) => {
                let previous_epoch = node.lease.borrow().epoch();
                let epoch = record.epoch;
                node.lease.borrow_mut().acknowledge(record, object.revision, sent_at);
                if previous_epoch != Some(epoch) {
                    let event = Event::Lease { state: "in_force", epoch, reason: "written" };
                    node.events.important(&event);
                }
            }
            Err(error) => self.record_store_failure(&error),
        }
    }

    fn record_store_failure(&self, error: &StoreError) {
        self.node.lease.borrow_mut().record_failure(time_since_boot(), RETRY_BACKOFF);
        let reason = error.to_string();
        self.node.metrics.store_calls.count(&reason);
        let epoch = self.node.lease.borrow().epoch().unwrap_or(0);
        self.node.events.important(&Event::Lease { state: "not_renewed", epoch, reason: &reason });
    }

    /// Reads the leases of owners without recent heartbeats, and revokes those that have expired.
    async fn observe_silent_hosts(&mut self) {
        if !self.check_count.is_multiple_of(CHECKS_PER_OBSERVATION) {
            return;
        }
        let node = Rc::clone(&self.node);
        let mut silent_owners: Vec<(String, u64, Era)> = {
            let (owners, hosts) = (node.owners.borrow(), node.hosts.borrow());
            let records = owners.values().map(|owner| &owner.record);
            let silent_owners = records.filter(|record| !hosts.is_live(&record.host, node.now()));
            silent_owners.map(|record| (record.host.clone(), record.epoch, record.era)).collect()
        };
        silent_owners.sort_unstable();
        silent_owners.dedup();
        for (host, epoch, claimed_in) in silent_owners {
            if host == node.settings.host || self.observer.has_ended(&host, epoch, claimed_in) {
                continue;
            }
            let read_result =
                node.store.read(LEASE_KIND, &host, Freshness::Latest, STORE_CALL_TIMEOUT);
            let Ok(object) = read_result.await else { continue };
            let Ok(record) = serde_json::from_value::<HostLeaseRecord>(object.value) else {
                continue;
            };
            self.observer.observe(&host, record, object.revision, time_since_boot());
            self.revoke(&host).await;
        }
    }

    /// Revokes the lease of a host if it has expired, so that its engines can be taken over.
    async fn revoke(&mut self, host: &str) {
        let Some((record, revision)) = self.observer.revocation(host, time_since_boot()) else {
            return;
        };
        let epoch = record.epoch;
        let object = StoredObject { name: host.to_owned(), revision, value: to_value(&record) };
        if let Ok(object) = self.node.store.replace(LEASE_KIND, object, STORE_CALL_TIMEOUT).await {
            self.observer.observe(host, record, object.revision, time_since_boot());
            self.node.events.important(&Event::Revoked { host, epoch });
        }
    }

    /// Acquires the engines assigned to this host that have no owner with a valid lease.
    async fn acquire_engines(&self, assigned: Vec<String>) {
        let node = &self.node;
        let Some(epoch) = node.lease.borrow().epoch() else { return };
        for engine in self.engines_to_acquire(assigned, epoch) {
            let current = node.owners.borrow().get(&engine).cloned();
            if !node.return_guard.borrow().may_claim(&engine, time_since_boot()) {
                continue;
            }
            let era = node.return_guard.borrow().era();
            let record = OwnerRecord { host: node.settings.host.clone(), epoch, era };
            let write_result = match current {
                None => {
                    let value = to_value(&record);
                    node.store.create(OWNER_KIND, &engine, value, STORE_CALL_TIMEOUT).await
                }
                Some(owner) if self.can_take_over(&owner.record, epoch, era) => {
                    let object = StoredObject {
                        name: engine.clone(),
                        revision: owner.revision,
                        value: to_value(&record),
                    };
                    node.store.replace(OWNER_KIND, object, STORE_CALL_TIMEOUT).await
                }
                Some(_) => continue,
            };
            match write_result {
                Ok(object) => merge_owner(node, &engine, record, object.revision),
                Err(StoreError::Conflict(Some(object))) => {
                    if let Ok(record) = serde_json::from_value(object.value) {
                        merge_owner(node, &engine, record, object.revision);
                    }
                }
                Err(error) => node.metrics.store_calls.count(&error.to_string()),
            }
        }
    }

    /// Returns whether the ownership in a record is not valid any more.
    fn can_take_over(&self, record: &OwnerRecord, own_epoch: u64, era: Era) -> bool {
        if record.host == self.node.settings.host {
            return record.epoch < own_epoch || record.era < era;
        }
        self.observer.has_ended(&record.host, record.epoch, record.era)
    }

    /// Records what owner records say about earlier epochs of this host and earlier eras.
    fn note_earlier_claims(&self) {
        let node = &self.node;
        let owners = node.owners.borrow();
        let era = node.return_guard.borrow().era();
        for owner in owners.values().filter(|owner| owner.record.host == node.settings.host) {
            node.lease.borrow_mut().record_epoch(owner.record.epoch);
        }
        if owners.values().any(|owner| owner.record.era < era) {
            node.return_guard.borrow_mut().record_earlier_claim(time_since_boot());
        }
        if node.peers.have_all_read_owners(&node.hosts.borrow(), era) {
            node.return_guard.borrow_mut().record_known_hosts_noticed(time_since_boot());
        }
    }

    /// Returns the engines assigned to this host, and those that it owned under an earlier epoch or
    /// in an earlier era: no other host acquires these while this host is alive.
    fn engines_to_acquire(&self, assigned: Vec<String>, epoch: u64) -> Vec<String> {
        let mut engines = assigned;
        let owners = self.node.owners.borrow();
        let era = self.node.return_guard.borrow().era();
        let is_former = |record: &OwnerRecord| {
            let is_earlier = record.epoch < epoch || record.era < era;
            record.host == self.node.settings.host && is_earlier
        };
        let former = owners.iter().filter(|(_, owner)| is_former(&owner.record));
        engines.extend(former.map(|(engine, _)| engine.clone()));
        engines.sort_unstable();
        engines.dedup();
        engines
    }

    /// Returns the engines that the assignment among live hosts gives to this host.
    fn assigned_engines(&self) -> Vec<String> {
        let node = &self.node;
        let candidates: Vec<OwnerCandidate> = {
            let hosts = node.hosts.borrow();
            let candidate = |heartbeat: &HostHeartbeat| OwnerCandidate {
                host: heartbeat.host.clone(),
                zone: heartbeat.zone.clone(),
                capacity: heartbeat.capacity_milli,
            };
            hosts.live(node.now()).map(candidate).collect()
        };
        let engines = self.ownable_engines(&candidates);
        let own = &node.settings.host;
        let assignment = assign_engines(&candidates, &engines);
        assignment.into_iter().filter(|(_, host)| host == own).map(|(engine, _)| engine).collect()
    }

    /// Returns the engines that this host may own, with their zones: those of its own zone and of
    /// zones without live hosts.
    fn ownable_engines(&self, candidates: &[OwnerCandidate]) -> BTreeMap<String, String> {
        let node = &self.node;
        let (routes, upstreams) = (node.routes.borrow(), node.upstreams.borrow());
        let Some(routes) = routes.as_ref() else { return BTreeMap::new() };
        let own_zone = &node.settings.zone;
        let is_ownable_zone = |zone: &str| {
            zone == own_zone || candidates.iter().all(|candidate| candidate.zone != zone)
        };
        let is_engine = |service: &str| {
            routes.services.get(service).is_some_and(|service| service.engine.is_some())
        };
        let engines = upstreams.iter().filter(|upstream| is_ownable_zone(&upstream.zone));
        let engines = engines.filter(|upstream| is_engine(&upstream.service));
        engines.map(|upstream| (upstream.id.clone(), upstream.zone.clone())).collect()
    }

    /// Returns whether this host owns any engine.
    fn owns_engines(&self) -> bool {
        let owners = self.node.owners.borrow();
        owners.values().any(|owner| owner.record.host == self.node.settings.host)
    }
}

fn to_value(record: &impl serde::Serialize) -> serde_json::Value {
    serde_json::to_value(record).unwrap_or_default()
}
