//! Selection and weights of entry hosts.

use rail_member::{Heartbeat, Role, entry::MAX_HEARTBEAT_AGE, list_entry_hosts};
use std::{net::SocketAddr, time::Duration};

fn gateway(host: &str, zone: &str, in_flight: u32) -> (Heartbeat, Duration) {
    let mut heartbeat = Heartbeat::start(host, zone, Role::Gateway);
    heartbeat.address = Some(SocketAddr::from(([127, 0, 0, 1], 8080)));
    heartbeat.in_flight = in_flight;
    heartbeat.generation = 1;
    (heartbeat, Duration::ZERO)
}

#[test]
fn idle_hosts_and_hosts_of_the_callers_zone_weigh_more() {
    let members = [gateway("h1", "z1", 0), gateway("h2", "z2", 0), gateway("h3", "z1", 16)];
    let weights: Vec<_> = list_entry_hosts(&members, Some("z1"))
        .into_iter()
        .map(|entry| (entry.host, entry.weight))
        .collect();
    let expected = [("h1", 4000), ("h3", 2000), ("h2", 1000)];
    assert_eq!(weights, expected.map(|(host, weight)| (host.to_owned(), weight)));
}

#[test]
fn leaving_silent_and_starting_gateways_and_other_roles_are_omitted() {
    let mut members = vec![gateway("h1", "z1", u32::MAX)];
    let mut leaving = gateway("h2", "z1", 0);
    leaving.0.leaving = true;
    let mut silent = gateway("h3", "z1", 0);
    silent.1 = MAX_HEARTBEAT_AGE + Duration::from_millis(1);
    let mut starting = gateway("h5", "z1", 0);
    starting.0.generation = 0;
    let mut scheduler = gateway("h4", "z1", 0);
    scheduler.0.role = Role::Scheduler;
    members.extend([leaving, silent, starting, scheduler]);
    let hosts = list_entry_hosts(&members, None);
    assert_eq!(hosts.len(), 1);
    assert_eq!((hosts[0].host.as_str(), hosts[0].weight), ("h1", 1));
}
