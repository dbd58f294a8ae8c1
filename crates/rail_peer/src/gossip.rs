//! Exchanges heartbeats with peers at a fixed interval.

use crate::{
    client::PeerClient,
    message::{PeerReply, PeerRequest},
};
use rail_member::{Heartbeat, Members};
use rail_runtime::MonotonicClock;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Heartbeats older than this are not passed on.
const MAX_RELAYED_AGE: Duration = Duration::from_secs(10);

/// Table of known processes; clones share it.
#[derive(Debug, Clone)]
pub struct Gossip {
    clock: MonotonicClock,
    own: Arc<Mutex<Heartbeat>>,
    members: Arc<Mutex<Members>>,
    peers: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Gossip {
    /// Starts exchanging this heartbeat with peers at each interval.
    pub fn spawn(client: PeerClient, own: Heartbeat, interval: Duration) -> Self {
        let gossip = Self {
            clock: MonotonicClock::start(),
            own: Arc::new(Mutex::new(own)),
            members: Arc::default(),
            peers: Arc::default(),
        };
        let task = gossip.clone();
        tokio::spawn(async move {
            loop {
                let peers = lock(&task.peers).clone();
                for peer in peers {
                    tokio::spawn(exchange(task.clone(), client.clone(), peer));
                }
                tokio::time::sleep(interval).await;
            }
        });
        gossip
    }

    /// Sets the addresses of the peers to exchange with.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        *lock(&self.peers) = peers;
    }

    /// Changes the own heartbeat from the next exchange on.
    pub fn update_own(&self, change: impl FnOnce(&mut Heartbeat)) {
        change(&mut lock(&self.own));
    }

    /// Takes in heartbeats of a peer and gives those known here.
    pub fn take_in(&self, heartbeats: Vec<Heartbeat>) -> Vec<Heartbeat> {
        let now = self.clock.now();
        let mut members = lock(&self.members);
        for heartbeat in heartbeats {
            members.observe(heartbeat, now);
        }
        let mut known: Vec<Heartbeat> =
            members.fresh(now, MAX_RELAYED_AGE).map(|m| m.heartbeat.clone()).collect();
        known.push(self.next_own());
        known
    }

    /// Lists known processes with the time since they were heard, this one included.
    pub fn members(&self) -> Vec<(Heartbeat, Duration)> {
        let now = self.clock.now();
        let mut known: Vec<_> = lock(&self.members)
            .all()
            .map(|m| (m.heartbeat.clone(), now.saturating_sub(m.heard_at)))
            .collect();
        let own = lock(&self.own).clone();
        known.retain(|(h, _)| (&h.host, h.role) != (&own.host, own.role));
        known.push((own, Duration::ZERO));
        known
    }

    fn next_own(&self) -> Heartbeat {
        let mut own = lock(&self.own);
        own.sequence += 1;
        own.clone()
    }
}

async fn exchange(gossip: Gossip, client: PeerClient, peer: SocketAddr) {
    let request = PeerRequest::Heartbeats(vec![gossip.next_own()]);
    let Ok(mut replies) = client.call(peer, &request).await else {
        return;
    };
    if let Ok(Some(PeerReply::Heartbeats(known))) = replies.next().await {
        gossip.take_in(known);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
