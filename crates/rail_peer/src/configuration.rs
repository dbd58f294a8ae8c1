//! Shares the configuration and the set of leaving upstreams between processes.

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

/// Interval between updates from gossip and the host list.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the host list above which its leaving upstreams are not passed on.
const MAX_HOST_LIST_AGE: Duration = Duration::from_secs(10);
/// Time within which a peer must send a whole generation.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Keeps the configuration, its freshness and the set of leaving upstreams current; never returns.
///
/// A generation that a peer has applied and this process has not is read from the platform, or
/// from that peer if the platform does not return it.
pub async fn follow_configuration(
    config: ConfigFollower,
    hosts: HostList,
    gossip: Gossip,
    client: PeerClient,
) {
    let mut changes = config.subscribe();
    loop {
        sync_with_gossip(&config, &hosts, &gossip);
        if gossip.is_behind() && !refresh_from_platform(&config, &gossip).await {
            for peer in gossip.peers_ahead() {
                match fetch_generation(&config, &client, peer).await {
                    Ok(()) => break,
                    Err(error) => log::debug!("no configuration from {peer}: {error}"),
                }
            }
        }
        // The sender lives as long as `config`, so the wait ends early only on a change.
        let _changed = tokio::time::timeout(POLL_INTERVAL, changes.changed()).await;
    }
}

/// Sets the peers of this process to the schedulers with a live session; returns when the watch
/// ends.
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

/// Replies to [`PeerRequest::Configuration`]; sends nothing if no newer generation is applied.
///
/// # Errors
/// Fails when the link is lost, the peer has cancelled the call, or the head can't be encoded.
pub async fn send_configuration(
    config: &ConfigFollower,
    above: u64,
    known_segments: &[String],
    mut replies: ReplySender,
) -> Result<()> {
    if let Some(snapshot) = config.snapshot(above, known_segments) {
        let head = serde_json::to_string(&snapshot.head).map_err(|_error| Error::InvalidMessage)?;
        replies.send(&PeerReply::ConfigurationHead(head)).await?;
        for (name, text) in snapshot.segments {
            replies.send(&PeerReply::ConfigurationSegment { name, text }).await?;
        }
    }
    replies.finish();
    Ok(())
}

fn sync_with_gossip(config: &ConfigFollower, hosts: &HostList, gossip: &Gossip) {
    let applied = config.applied().generation;
    let own_leaving = if hosts.age().is_some_and(|age| age <= MAX_HOST_LIST_AGE) {
        hosts.leaving()
    } else {
        Vec::new()
    };
    gossip.update_own_heartbeat(|own| {
        own.generation = applied;
        own.leaving_upstreams = own_leaving;
    });
    gossip.record_config(applied, config.newest_generation(), config.age());
    let mut leaving = gossip.leaving_upstreams();
    leaving.extend(hosts.leaving());
    config.set_leaving(leaving);
}

/// Reads the head from the platform; returns whether the newest known generation is applied now.
async fn refresh_from_platform(config: &ConfigFollower, gossip: &Gossip) -> bool {
    let is_reached = config.refresh().await.is_ok();
    let applied = config.applied().generation;
    gossip.record_config(applied, 0, None);
    gossip.update_own_heartbeat(|own| own.generation = applied);
    is_reached && !gossip.is_behind()
}

async fn fetch_generation(
    config: &ConfigFollower,
    client: &PeerClient,
    peer: SocketAddr,
) -> Result<()> {
    let request = PeerRequest::Configuration {
        above: config.applied().generation,
        known_segments: config.segment_names(),
    };
    let snapshot = tokio::time::timeout(FETCH_TIMEOUT, receive_snapshot(client, peer, &request))
        .await
        .map_err(|_elapsed| Error::Lost)??;
    config.apply_snapshot(snapshot).map_err(|_error| Error::InvalidMessage)
}

async fn receive_snapshot(
    client: &PeerClient,
    peer: SocketAddr,
    request: &PeerRequest,
) -> Result<Snapshot> {
    let mut replies = client.call(peer, request).await?;
    let mut snapshot = Snapshot::default();
    while let Some(reply) = replies.next().await? {
        match reply {
            PeerReply::ConfigurationHead(text) => {
                snapshot.head =
                    serde_json::from_str::<Head>(&text).map_err(|_error| Error::InvalidMessage)?;
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
            | PeerReply::Grant(_)
            | PeerReply::Quarantine(_)
            | PeerReply::Trial(_)
            | PeerReply::SendPermit(_)
            | PeerReply::StreamStarts
            | PeerReply::StreamOrigin(_)
            | PeerReply::Dispatch(_)
            | PeerReply::Quota(_) => {
                return Err(Error::InvalidMessage);
            }
        }
    }
    Ok(snapshot)
}
