//! Renews the session of this process, revokes expired sessions of others and acquires engines.

use crate::{
    engine::{Drain, EngineActor, permit::LOAD_BUDGET},
    metrics::SchedulerMetrics,
    ownership::{OwnedEngine, StoredOwners},
};
use actix::Addr;
use rail_config::UpstreamKind;
use rail_lease::{
    CallEffect, HolderCommand, LeaseTimes, OwnershipCommand, OwnershipRecord, ResourceId,
    SessionHolder, SessionId, SessionObserver, SessionRecord, SessionWitness, choose_witnesses,
    plan_ownership,
};
use rail_peer::{Gossip, PeerClient};
use rail_platform::{ConfigFollower, Error, ObjectKind, PlatformClient, RecordCache, WatchCache};
use rail_runtime::MonotonicClock;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

/// Interval between attempts to renew, and between checks of sessions and ownership.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Age above which the local copies of sessions and owners are stale.
const MAX_COPY_AGE: Duration = Duration::from_secs(2);
/// Maximum time past the time to live for which witnesses keep a session valid.
const MAX_OUTAGE: Duration = Duration::from_secs(3600);
/// A gap between ticks longer than the time to live divided by this counts as a process pause.
const PAUSE_TTL_DIVISOR: u32 = 2;

/// The session of this process; clones share it.
#[derive(Debug, Clone)]
pub struct Session {
    state: Rc<State>,
}

/// A witness request without a reply so far; a second one of the same kind is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingWitnessRequest {
    /// Session that the request concerns.
    pub session_id: SessionId,
    /// Session of the peer that receives the request.
    pub witness: SessionId,
    /// Whether the request is for a promise; otherwise it checks whether an overdue holder still
    /// runs.
    pub is_promise: bool,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) clock: MonotonicClock,
    pub(crate) holder: RefCell<SessionHolder>,
    pub(crate) observer: RefCell<SessionObserver>,
    pub(crate) witness: RefCell<SessionWitness>,
    pub(crate) pending_witness_requests: RefCell<BTreeSet<PendingWitnessRequest>>,
    /// Time of the last response of the platform to a renewal; none before the first one.
    pub(crate) platform_responded_at: Cell<Option<Duration>>,
    /// Whether the own session is being ended and must not be renewed any more.
    is_ending: Cell<bool>,
    pub(crate) owned: RefCell<BTreeMap<ResourceId, OwnedEngine>>,
    /// Whether the process is shutting down.
    leaving: Cell<bool>,
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerClient,
    pub(crate) config: ConfigFollower,
    pub(crate) sessions: WatchCache,
    session_records: RefCell<RecordCache<SessionRecord>>,
    pub(crate) owners: WatchCache,
    pub(crate) stored_owners: RefCell<StoredOwners>,
    pub(crate) gossip: Gossip,
    pub(crate) metrics: SchedulerMetrics,
}

impl Session {
    /// Starts the tasks of the session on the current actix thread.
    pub fn spawn(
        record: SessionRecord,
        clock: MonotonicClock,
        platform: PlatformClient,
        peers: PeerClient,
        config: ConfigFollower,
        gossip: Gossip,
        metrics: SchedulerMetrics,
    ) -> Self {
        let times =
            LeaseTimes { pause_margin: record.ttl() / PAUSE_TTL_DIVISOR, max_outage: MAX_OUTAGE };
        let sessions = WatchCache::spawn(platform.clone(), ObjectKind::Session);
        let owners = WatchCache::spawn(platform.clone(), ObjectKind::Owner);
        let state = State {
            clock,
            holder: RefCell::new(SessionHolder::new(record, times)),
            observer: RefCell::new(SessionObserver::new(times)),
            witness: RefCell::default(),
            pending_witness_requests: RefCell::default(),
            platform_responded_at: Cell::new(None),
            is_ending: Cell::new(false),
            owned: RefCell::default(),
            leaving: Cell::new(false),
            session_records: RefCell::new(RecordCache::new(sessions.clone())),
            sessions,
            stored_owners: RefCell::new(StoredOwners::new(owners.clone())),
            owners,
            platform,
            peers,
            config,
            gossip,
            metrics,
        };
        let session = Self { state: Rc::new(state) };
        let renewal_task = session.clone();
        actix_rt::spawn(async move {
            loop {
                renewal_task.renew().await;
                actix_rt::time::sleep(TICK_INTERVAL).await;
            }
        });
        crate::witness::spawn(session.clone());
        let ownership_task = session.clone();
        actix_rt::spawn(async move {
            loop {
                ownership_task.tick().await;
                actix_rt::time::sleep(TICK_INTERVAL).await;
            }
        });
        session
    }

    /// Reports whether the session is valid, so that this process may send orders to engines.
    pub fn is_valid(&self) -> bool {
        self.state.holder.borrow().is_valid(self.state.clock.now())
    }

    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// Reports whether the process is shutting down and accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.state.leaving.get()
    }

    /// Finds a running engine that this process owns; none if the session is not valid.
    pub fn engine(&self, engine: &str) -> Option<Addr<EngineActor>> {
        if !self.is_valid() {
            return None;
        }
        self.state.owned.borrow().get(engine).and_then(|owned| owned.engine.clone())
    }

    /// Shuts down gracefully: finishes all work, releases the engines and ends the session.
    pub async fn shut_down(&self) {
        self.state.leaving.set(true);
        self.state.holder.borrow_mut().mark_leaving();
        let engines = self.begin_handover();
        for engine in engines {
            // Fails only if the engine has already stopped.
            let _drained = engine.send(Drain).await;
        }
        let owned = std::mem::take(&mut *self.state.owned.borrow_mut());
        for (resource, owned) in owned {
            let mut record = owned.record;
            record.released = true;
            let name = owner_name(&resource);
            let value = to_json(&record);
            let update =
                self.state.platform.update(ObjectKind::Owner, &name, &value, &owned.version);
            if let Err(error) = update.await {
                log::warn!("{resource} could not be released: {error}");
            }
        }
        self.revoke_own().await;
    }

    /// Revokes the own session in the platform, so that others need not wait for it to expire.
    async fn revoke_own(&self) {
        self.state.is_ending.set(true);
        let (mut record, version) = {
            let holder = self.state.holder.borrow();
            let Some(version) = holder.version() else {
                return;
            };
            (holder.record().clone(), version.to_owned())
        };
        record.revoked = true;
        let name = session_name(record.session_id);
        let value = to_json(&record);
        let update = self.state.platform.update(ObjectKind::Session, &name, &value, &version);
        if let Err(error) = update.await {
            log::warn!("session could not be ended and has to expire: {error}");
        }
    }

    async fn renew(&self) {
        if self.state.is_ending.get() {
            return;
        }
        let now = self.state.clock.now();
        let command = self.state.holder.borrow_mut().poll(now);
        let Some(command) = command else {
            return;
        };
        let (record, result) = match command {
            HolderCommand::Create(record) => {
                let name = session_name(record.session_id);
                let value = to_json(&record);
                let result = self.state.platform.create(ObjectKind::Session, &name, &value).await;
                (record, result)
            }
            HolderCommand::Renew { record, expected_version } => {
                let name = session_name(record.session_id);
                let value = to_json(&record);
                let update = self.state.platform.update(
                    ObjectKind::Session,
                    &name,
                    &value,
                    &expected_version,
                );
                (record, update.await)
            }
        };
        if result.as_ref().err().is_none_or(Error::is_answer) {
            self.state.platform_responded_at.set(Some(self.state.clock.now()));
        }
        let mut holder = self.state.holder.borrow_mut();
        match result {
            Ok(object) => holder.acknowledge(record, object.version),
            Err(Error::Conflict | Error::NotFound | Error::AlreadyExists) => {
                drop(holder);
                self.resolve_conflict().await;
            }
            Err(error) => {
                let is_unknown = error.is_effect_unknown();
                let effect = if is_unknown { CallEffect::Unknown } else { CallEffect::None };
                holder.record_failure(effect, self.state.clock.now());
                self.state.metrics.session_events.count(error.reason());
            }
        }
    }

    /// Reads the session record after a conflict, which either an own write with a lost response or
    /// a revocation by another process has caused.
    async fn resolve_conflict(&self) {
        if self.state.is_ending.get() {
            return;
        }
        let name = session_name(self.state.holder.borrow().record().session_id);
        let read = self.state.platform.get(&name).await;
        let mut holder = self.state.holder.borrow_mut();
        match read {
            Ok(object) => match serde_json::from_str::<SessionRecord>(&object.value) {
                Ok(record) if !record.revoked && !holder.is_recreated(&record, &object.version) => {
                    holder.acknowledge(record, object.version);
                }
                _ => holder.record_revocation(),
            },
            Err(Error::NotFound) => holder.record_revocation(),
            Err(_) => holder.record_failure(CallEffect::Unknown, self.state.clock.now()),
        }
        if holder.is_ended() {
            self.state.metrics.session_events.count("revoked");
            log::error!("session was revoked; the process ends");
            std::process::exit(1);
        }
    }

    async fn tick(&self) {
        let now = self.state.clock.now();
        if !self.has_current_copies() {
            self.state.observer.borrow_mut().restart_waits(now);
            return;
        }
        self.observe_sessions(now);
        self.query_overdue_holders(now);
        self.revoke_expired(now).await;
        if self.is_valid() && !self.is_leaving() {
            self.acquire_resources().await;
        }
        self.reconcile_owned_engines();
    }

    /// Reports whether the local copies of sessions and owners are up to date.
    pub(crate) fn has_current_copies(&self) -> bool {
        let is_current = |cache: &WatchCache| cache.age().is_some_and(|age| age < MAX_COPY_AGE);
        is_current(&self.state.sessions) && is_current(&self.state.owners)
    }

    fn observe_sessions(&self, now: Duration) {
        let mut observer = self.state.observer.borrow_mut();
        let mut records = self.state.session_records.borrow_mut();
        records.refresh();
        let mut known = Vec::new();
        for (record, version) in records.iter() {
            known.push(record.session_id);
            if !observer.has_version(record.session_id, version) {
                observer.observe(record.clone(), version.clone(), now);
            }
        }
        observer.retain(|id| known.contains(&id));
        let live: Vec<SessionRecord> = observer.live().cloned().collect();
        self.state.witness.borrow_mut().retain(|id| !observer.is_revoked(id));
        let mut holder = self.state.holder.borrow_mut();
        let witnesses = choose_witnesses(holder.record(), &live);
        holder.set_fleet(live.len(), witnesses);
        let peers = observer.live().map(|s| s.address).collect();
        self.state.gossip.set_peers(peers);
    }

    async fn revoke_expired(&self, now: Duration) {
        let own_id = self.state.holder.borrow().record().session_id;
        let expired = self.state.observer.borrow().revocable(now);
        for (mut record, version) in expired {
            if record.session_id == own_id {
                continue;
            }
            record.revoked = true;
            let name = session_name(record.session_id);
            let value = to_json(&record);
            let update = self.state.platform.update(ObjectKind::Session, &name, &value, &version);
            if let Ok(object) = update.await {
                log::info!("session of {} revoked", record.host);
                self.state.metrics.session_events.count("revoked_other");
                self.state.observer.borrow_mut().observe(record, object.version, now);
            }
        }
    }

    async fn acquire_resources(&self) {
        let own = self.state.holder.borrow().record().clone();
        let live: Vec<_> = self.state.observer.borrow().live().cloned().collect();
        let fleet = self.state.config.applied();
        let engines = fleet.upstreams.iter().filter(|(_, u)| u.kind == UpstreamKind::Engine);
        let mut resources: BTreeMap<_, _> =
            engines.map(|(name, u)| (name.clone(), u.zone.clone())).collect();
        resources.insert(LOAD_BUDGET.to_owned(), String::new());
        let owners = self.state.stored_owners.borrow_mut().read();
        for command in plan_ownership(&own, &live, &resources, &owners) {
            if !self.is_vacant(&command, &owners).await {
                continue;
            }
            let platform = &self.state.platform;
            // The watch delivers the result, also if the response is lost.
            let result = match command {
                OwnershipCommand::Create(record) => {
                    let name = owner_name(&record.resource);
                    platform.create(ObjectKind::Owner, &name, &to_json(&record)).await
                }
                OwnershipCommand::TakeOver { record, expected_version } => {
                    let name = owner_name(&record.resource);
                    let value = to_json(&record);
                    platform.update(ObjectKind::Owner, &name, &value, &expected_version).await
                }
            };
            if let Err(error) = result {
                self.state.metrics.session_events.count(error.reason());
            }
        }
    }

    /// Reports whether the resource of a command was released, or its owner's session has ended.
    ///
    /// A session that is missing from the local copy may be newer than the copy, so its record is
    /// read from the platform.
    async fn is_vacant(
        &self,
        command: &OwnershipCommand,
        owners: &BTreeMap<ResourceId, (OwnershipRecord, String)>,
    ) -> bool {
        let OwnershipCommand::TakeOver { record, .. } = command else {
            return true;
        };
        let Some((owner, _)) = owners.get(&record.resource) else {
            return true;
        };
        if owner.released || self.state.observer.borrow().is_revoked(owner.session_id) {
            return true;
        }
        match self.state.platform.get(&session_name(owner.session_id)).await {
            Ok(object) => serde_json::from_str::<SessionRecord>(&object.value)
                .is_ok_and(|session| session.revoked),
            Err(error) => matches!(error, Error::NotFound),
        }
    }

    /// Returns the stored owner of a resource; none if it has no owner or was released.
    pub fn resource_owner(&self, resource: &str) -> Option<OwnershipRecord> {
        let object = self.state.owners.find(&owner_name(resource))?;
        let record: OwnershipRecord = serde_json::from_str(&object.value).ok()?;
        (!record.released).then_some(record)
    }

    /// Reports whether an ownership record names this session.
    pub fn is_own(&self, record: &OwnershipRecord) -> bool {
        record.session_id == self.state.holder.borrow().record().session_id
    }

    /// Returns the number of live sessions, at least 1; they share the weight store's budget.
    pub fn live_session_count(&self) -> usize {
        self.state.observer.borrow().live().count().max(1)
    }
}

pub(crate) fn session_name(session_id: u64) -> String {
    format!("session-{session_id:016x}")
}

pub(crate) fn owner_name(resource: &str) -> String {
    format!("owner-{resource}")
}

/// Encodes a record as JSON; can't fail, as records contain only strings and numbers.
fn to_json(record: &impl serde::Serialize) -> String {
    serde_json::to_string(record).expect("records are plain data")
}
