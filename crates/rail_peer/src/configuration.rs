//! Passes configuration and leaving marks between processes.

use crate::{
    client::PeerClient,
    error::{Error, Result},
    gossip::Gossip,
    message::{PeerReply, PeerRequest},
    server::ReplySender,
};
use rail_config::Head;
use rail_lease::SessionRecord;
use rail_platform::{ConfigFollower, HostList, RecordCache, WatchCache, config::Snapshot};
use std::{net::SocketAddr, time::Duration};

/// Interval between looks at peers' marks and host list.
const INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which marks of the host list are passed on.
const MAX_HOST_LIST_AGE: Duration = Duration::from_secs(10);
/// Time in which a peer must send a generation.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Keeps configuration, freshness and leaving marks of this process current; never ends.
///
/// A generation that a peer has and this process lacks is read from the platform, or from
/// that peer when the platform does not give it.
pub async fn follow_configuration(
    config: ConfigFollower,
    hosts: HostList,
    gossip: Gossip,
    client: PeerClient,
) {
    let mut changes = config.subscribe();
    loop {
        observe(&config, &hosts, &gossip);
        if gossip.is_behind() && !is_refreshed(&config, &gossip).await {
            for peer in gossip.peers_ahead() {
                match fetch(&config, &client, peer).await {
                    Ok(()) => break,
                    Err(error) => log::debug!("no configuration from {peer}: {error}"),
                }
            }
        }
        // The sender lives as long as `config`, so only a change ends the wait early.
        let _changed = tokio::time::timeout(INTERVAL, changes.changed()).await;
    }
}

/// Keeps the peers of this process to the schedulers that have a session, while these are watched.
pub async fn follow_sessions(sessions: WatchCache, gossip: Gossip) {
    let mut changes = sessions.subscribe();
    let mut records = RecordCache::<SessionRecord>::new(sessions);
    loop {
        records.refresh();
        let live = records.iter().map(|(record, _)| record).filter(|record| !record.revoked);
        gossip.set_peers(live.map(|record| record.address).collect());
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Answers [`PeerRequest::Configuration`].
///
/// # Errors
/// Fails when the peer is gone or a head can't be written as JSON.
pub async fn send_configuration(
    config: &ConfigFollower,
    above: u64,
    known_segments: &[String],
    mut replies: ReplySender,
) -> Result<()> {
    if let Some(snapshot) = config.snapshot(above, known_segments) {
        let head = serde_json::to_string(&snapshot.head).map_err(|_error| Error::Unreadable)?;
        replies.send(&PeerReply::ConfigurationHead(head)).await?;
        for (name, text) in snapshot.segments {
            replies.send(&PeerReply::ConfigurationSegment { name, text }).await?;
        }
    }
    replies.finish();
    Ok(())
}

fn observe(config: &ConfigFollower, hosts: &HostList, gossip: &Gossip) {
    let in_force = config.applied().generation;
    let own_marks = if hosts.age().is_some_and(|age| age <= MAX_HOST_LIST_AGE) {
        hosts.leaving()
    } else {
        Vec::new()
    };
    gossip.update_own(|own| {
        own.generation = in_force;
        own.leaving_upstreams = own_marks;
    });
    gossip.record_config(in_force, config.newest_generation(), config.age());
    let mut leaving = gossip.leaving_upstreams();
    leaving.extend(hosts.leaving());
    config.set_leaving(leaving);
}

/// Reads the head from the platform; returns whether nothing greater is known any more.
async fn is_refreshed(config: &ConfigFollower, gossip: &Gossip) -> bool {
    let is_reached = config.refresh().await.is_ok();
    let in_force = config.applied().generation;
    gossip.record_config(in_force, 0, None);
    gossip.update_own(|own| own.generation = in_force);
    is_reached && !gossip.is_behind()
}

async fn fetch(config: &ConfigFollower, client: &PeerClient, peer: SocketAddr) -> Result<()> {
    let request = PeerRequest::Configuration {
        above: config.applied().generation,
        known_segments: config.segment_names(),
    };
    let snapshot = tokio::time::timeout(FETCH_TIMEOUT, receive(client, peer, &request))
        .await
        .map_err(|_elapsed| Error::Lost)??;
    config.apply_snapshot(snapshot).map_err(|_error| Error::Unreadable)
}

async fn receive(client: &PeerClient, peer: SocketAddr, request: &PeerRequest) -> Result<Snapshot> {
    let mut replies = client.call(peer, request).await?;
    let mut snapshot = Snapshot::default();
    while let Some(reply) = replies.next().await? {
        match reply {
            PeerReply::ConfigurationHead(text) => {
                snapshot.head =
                    serde_json::from_str::<Head>(&text).map_err(|_error| Error::Unreadable)?;
            }
            PeerReply::ConfigurationSegment { name, text } => {
                snapshot.segments.insert(name, text);
            }
            PeerReply::Heartbeats(_)
            | PeerReply::Work(_)
            | PeerReply::LoadPermit(_)
            | PeerReply::Witness(_)
            | PeerReply::HeartbeatUpdates(..)
            | PeerReply::Feed(_)
            | PeerReply::Grant(_) => {
                return Err(Error::Unreadable);
            }
        }
    }
    Ok(snapshot)
}
