//! Choice of the hosts with which a host exchanges heartbeats.
//!
//! An exchange carries a row a host, so exchanges with random hosts of all zones fill the links
//! between zones as the fleet grows. Most exchanges stay within the zone; enough cross zones that
//! news of a host reaches all others as fast as with random ones.

use crate::host_heartbeat::{HostHeartbeat, HostView};
use rand::{Rng, seq::IteratorRandom};
use std::{net::SocketAddr, time::Duration};

/// Hosts with which a host exchanges heartbeats in one round.
const PARTNERS: usize = 2;
/// Hosts of the own zone up to which each round has an exchange with another zone: few hosts
/// would otherwise cross zones too rarely.
const SMALL_ZONE_HOSTS: usize = 12;
/// Share of the rounds of a host in a larger zone that have an exchange with another zone.
const CROSS_ZONE_SHARE: f64 = 0.5;

impl HostView {
    /// Chooses the hosts for one round of exchanges: one of the own zone, and one of another zone
    /// or a second one of the own. One of another zone comes first.
    pub fn choose_partners(
        &self,
        own: &str,
        zone: &str,
        now: Duration,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let others = || self.live(now).filter(|heartbeat| heartbeat.host != own);
        let in_zone = || others().filter(|heartbeat| heartbeat.zone == zone);
        let zone_size = in_zone().count() + 1;
        let crosses = zone_size <= SMALL_ZONE_HOSTS || random.random_bool(CROSS_ZONE_SHARE);
        let outside = others().filter(|heartbeat| heartbeat.zone != zone && crosses);
        let mut partners: Vec<&HostHeartbeat> = outside.choose(random).into_iter().collect();
        let own_zone_count = PARTNERS - partners.len();
        partners.extend(in_zone().choose_multiple(random, own_zone_count));
        if partners.len() < PARTNERS {
            // The own zone has no further host.
            let first = partners.first().map(|partner| partner.host.clone());
            let further = others().filter(|heartbeat| Some(&heartbeat.host) != first.as_ref());
            partners.extend(further.choose(random));
        }
        partners.into_iter().map(|partner| partner.peer_address).collect()
    }
}
