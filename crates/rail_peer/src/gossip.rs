//! Exchanges heartbeats with peers at a fixed interval.

use crate::{
    client::PeerClient,
    message::{PeerReply, PeerRequest},
};
use rail_member::{Freshness, FreshnessState, Heartbeat, Members, PeerReport, Role};
use rail_runtime::MonotonicClock;
use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::Notify;

/// Age above which heartbeats are neither passed on nor used for peers and leaving upstreams.
const MAX_RELAYED_AGE: Duration = Duration::from_secs(10);
/// One round in this many requests all heartbeats that one peer has.
const ROUNDS_PER_RELAY: usize = 2;
/// Age of the platform's confirmation above which a process contacts every peer itself.
const MAX_CONFIRMED_AGE: Duration = Duration::from_secs(2);
/// Time within which a peer must reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Table of known processes, kept current by exchanges with peers; clones share it.
#[derive(Debug, Clone)]
pub struct Gossip {
    clock: MonotonicClock,
    own: Arc<Mutex<Heartbeat>>,
    members: Arc<Mutex<Members>>,
    peers: Arc<Mutex<Peers>>,
    freshness: Arc<Mutex<Freshness>>,
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Peers {
    /// Configured peers. They stay in use when the platform or heartbeats name further peers.
    seeds: Vec<SocketAddr>,
    /// Peers that the platform lists.
    listed: Vec<SocketAddr>,
}

impl Gossip {
    /// Starts exchanging this heartbeat with peers at each interval.
    pub fn spawn(client: PeerClient, own: Heartbeat, interval: Duration) -> Self {
        let own_ip = own.address.map_or(IpAddr::from([0, 0, 0, 0]), |address| address.ip());
        let gossip = Self {
            clock: MonotonicClock::start(),
            own: Arc::new(Mutex::new(own)),
            members: Arc::default(),
            peers: Arc::default(),
            freshness: Arc::new(Mutex::new(Freshness::new(own_ip))),
            changed: Arc::default(),
        };
        let task = gossip.clone();
        tokio::spawn(async move {
            let mut has_changed = true;
            for round in 0_usize.. {
                for (peer, is_relay) in task.choose_targets(round, has_changed) {
                    tokio::spawn(exchange(task.clone(), client.clone(), peer, is_relay));
                }
                // A change of the leaving flags starts the next round at once.
                let changed = tokio::time::timeout(interval, task.changed.notified()).await;
                has_changed = changed.is_ok();
            }
        });
        gossip
    }

    /// Sets the configured peers. They stay in use when the platform or heartbeats name further
    /// peers.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        lock(&self.peers).seeds = seeds;
    }

    /// Sets the addresses of the peers that the platform lists.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        lock(&self.peers).listed = peers;
    }

    /// Lists the peers for exchanges: seeds, peers that the platform lists, and schedulers with a
    /// recent heartbeat.
    pub fn peers(&self) -> BTreeSet<SocketAddr> {
        let now = self.clock.now();
        let members = lock(&self.members);
        let recent = members.recent(now, MAX_RELAYED_AGE).map(|member| &member.heartbeat);
        let schedulers = recent.filter(|h| h.role == Role::Scheduler && !h.leaving);
        let peers = lock(&self.peers);
        let known = peers.seeds.iter().chain(&peers.listed).copied();
        let all: BTreeSet<_> = known.chain(schedulers.filter_map(|h| h.address)).collect();
        let own = lock(&self.own).address;
        all.into_iter().filter(|peer| Some(*peer) != own).collect()
    }

    /// Chooses the peers of one round. The flag marks the relay, the peer that returns all
    /// heartbeats that it has; only one round in [`ROUNDS_PER_RELAY`] has a relay.
    ///
    /// Schedulers contact each other in every round. A gateway or admin contacts only the scheduler
    /// of its host while the platform confirms the configuration to it. It contacts every peer when
    /// the platform does not, or when its leaving flags have changed.
    fn choose_targets(&self, round: usize, has_changed: bool) -> Vec<(SocketAddr, bool)> {
        let peers: Vec<SocketAddr> = self.peers().into_iter().collect();
        let own = lock(&self.own);
        let (own_ip, is_scheduler) = (own.address.map(|a| a.ip()), own.role == Role::Scheduler);
        drop(own);
        let confirmed_age = lock(&self.freshness).confirmed_age(self.clock.now());
        let is_confirmed = confirmed_age.is_some_and(|age| age <= MAX_CONFIRMED_AGE);
        let contacts_all = is_scheduler || has_changed || !is_confirmed;
        let is_relay_round = round.is_multiple_of(ROUNDS_PER_RELAY);
        let next_in_turn = round / ROUNDS_PER_RELAY % peers.len().max(1);
        // The relay is the scheduler of this host if it is known. In every fourth relay round it is
        // chosen by the round number instead, in case that scheduler has failed.
        let local = peers.iter().position(|peer| Some(peer.ip()) == own_ip);
        let relay =
            local.filter(|_| !round.is_multiple_of(4 * ROUNDS_PER_RELAY)).unwrap_or(next_in_turn);
        let targets = peers.into_iter().enumerate();
        targets
            .map(|(index, peer)| (peer, is_relay_round && index == relay))
            .filter(|(_, is_relay)| contacts_all || *is_relay)
            .collect()
    }

    /// Changes the heartbeat of this process. The next exchange sends it; it starts at once if the
    /// leaving flags have changed.
    pub fn update_own_heartbeat(&self, change: impl FnOnce(&mut Heartbeat)) {
        let mut own = lock(&self.own);
        let before = (own.leaving, own.leaving_upstreams.clone());
        change(&mut own);
        if (own.leaving, &own.leaving_upstreams) != (before.0, &before.1) {
            self.changed.notify_one();
        }
    }

    /// Records what this process knows of the configuration: the applied generation, the newest
    /// generation that the platform returned, and the time since the platform did so.
    pub fn record_config(&self, applied: u64, newest: u64, platform_age: Option<Duration>) {
        let now = self.clock.now();
        let peers = self.peers();
        let mut freshness = lock(&self.freshness);
        freshness.set_hosts(peers.iter().map(SocketAddr::ip));
        freshness.apply(applied);
        if let Some(at) = platform_age.and_then(|age| now.checked_sub(age)) {
            freshness.confirm_by_platform(newest, at);
        }
    }

    /// Returns whether new work may be accepted under the applied configuration.
    pub fn freshness_state(&self) -> FreshnessState {
        lock(&self.freshness).state(self.clock.now())
    }

    /// Lists the schedulers that have applied a newer generation than this process.
    pub fn peers_ahead(&self) -> Vec<SocketAddr> {
        let applied = lock(&self.own).generation;
        let members = lock(&self.members);
        let known = members.all().map(|member| &member.heartbeat);
        let ahead =
            known.filter(|h| h.role == Role::Scheduler && h.generation > applied && !h.leaving);
        ahead.filter_map(|h| h.address).collect()
    }

    /// Reports whether this process or a peer knows of a newer generation than the applied one.
    pub fn is_behind(&self) -> bool {
        lock(&self.freshness).missing_generation().is_some()
    }

    /// Lists the upstreams that this process or a peer with a recent heartbeat reports as leaving.
    pub fn leaving_upstreams(&self) -> BTreeSet<IpAddr> {
        let now = self.clock.now();
        let members = lock(&self.members);
        let own = lock(&self.own);
        let is_own = |h: &Heartbeat| (&h.host, h.role) == (&own.host, own.role);
        let recent = members.recent(now, MAX_RELAYED_AGE).map(|member| &member.heartbeat);
        let all = recent.filter(|h| !is_own(h)).chain([&*own]);
        all.flat_map(|heartbeat| heartbeat.leaving_upstreams.iter().copied()).collect()
    }

    /// Merges heartbeats from a peer; returns all recent heartbeats, with the own one last.
    pub fn merge_heartbeats(&self, heartbeats: Vec<Heartbeat>) -> Vec<Heartbeat> {
        let now = self.clock.now();
        let mut members = lock(&self.members);
        for heartbeat in heartbeats {
            members.observe(heartbeat, now);
        }
        let mut known: Vec<Heartbeat> =
            members.recent(now, MAX_RELAYED_AGE).map(|m| m.heartbeat.clone()).collect();
        known.push(self.next_own_heartbeat());
        known
    }

    /// Finds the address of the scheduler that reports that it owns an engine, among heartbeats of
    /// at most `max_age`.
    pub fn find_owner(&self, engine: &str, max_age: Duration) -> Option<SocketAddr> {
        let is_owner = |h: &Heartbeat| h.owned.iter().any(|owned| owned == engine);
        let members = self.members();
        let fresh = members.iter().filter(|(_, age)| *age <= max_age).map(|(h, _)| h);
        fresh.filter(|h| is_owner(h)).find_map(|h| h.address)
    }

    /// Merges the heartbeat of a peer; returns that of this host's gateway and the own one.
    ///
    /// A gateway contacts only the scheduler of its host, which therefore passes its heartbeat on.
    pub fn merge_heartbeat(&self, heartbeat: Heartbeat) -> Vec<Heartbeat> {
        let now = self.clock.now();
        let own = self.next_own_heartbeat();
        let mut members = lock(&self.members);
        members.observe(heartbeat, now);
        let fresh = members.recent(now, MAX_RELAYED_AGE).map(|member| &member.heartbeat);
        let gateway = fresh.filter(|h| h.host == own.host && h.role == Role::Gateway);
        let mut known: Vec<Heartbeat> = gateway.cloned().collect();
        known.push(own);
        known
    }

    /// Lists known processes, this one included, with the age of their heartbeats.
    pub fn members(&self) -> Vec<(Heartbeat, Duration)> {
        let now = self.clock.now();
        let mut known: Vec<_> = lock(&self.members)
            .all()
            .map(|m| (m.heartbeat.clone(), now.saturating_sub(m.received_at)))
            .collect();
        let own = lock(&self.own).clone();
        known.retain(|(h, _)| (&h.host, h.role) != (&own.host, own.role));
        known.push((own, Duration::ZERO));
        known
    }

    fn next_own_heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        let freshness = lock(&self.freshness);
        let (confirmed_age, sees_outage) =
            (freshness.confirmed_age(now), freshness.sees_outage(now));
        drop(freshness);
        let mut own = lock(&self.own);
        own.sequence += 1;
        own.confirmed_age = confirmed_age;
        own.sees_outage = sees_outage;
        own.clone()
    }

    /// Merges the reply of a peer to a request that was sent at `sent_at`.
    fn merge_reply(&self, peer: SocketAddr, known: Vec<Heartbeat>, sent_at: Duration) {
        // Of the heartbeats in a reply only the peer's own was created after the request was sent.
        let own = known.iter().rev().find(|heartbeat| heartbeat.address == Some(peer));
        if let Some(heartbeat) = own {
            let report = PeerReport {
                host: peer.ip(),
                generation: heartbeat.generation,
                confirmed_age: heartbeat.confirmed_age,
                sees_outage: heartbeat.sees_outage,
            };
            lock(&self.freshness).record_report(&report, sent_at);
        }
        self.merge_heartbeats(known);
    }
}

async fn exchange(gossip: Gossip, client: PeerClient, peer: SocketAddr, is_relay: bool) {
    let sent_at = gossip.clock.now();
    let own = gossip.next_own_heartbeat();
    let request =
        if is_relay { PeerRequest::Heartbeats(vec![own]) } else { PeerRequest::OwnHeartbeat(own) };
    let Ok(mut replies) = client.call(peer, &request).await else {
        return;
    };
    let reply = tokio::time::timeout(REPLY_TIMEOUT, replies.next()).await;
    if let Ok(Ok(Some(PeerReply::Heartbeats(known)))) = reply {
        gossip.merge_reply(peer, known, sent_at);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
