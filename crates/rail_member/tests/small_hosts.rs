//! Many small hosts: pulses, sources and copies of the store's records.

use rail_member::{
    HostHeartbeat, HostView, RecordText, Replica, Source, SourceChooser,
    host_heartbeat::SUSPECT_AFTER,
    packed::UnpackError,
    replica::PutOutcome,
    source::{MAX_FEEDS_PER_HOST, SourceCandidate},
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn beat(host: &str, zone: &str, count: u64) -> HostHeartbeat {
    HostHeartbeat {
        host: host.to_owned(),
        zone: zone.to_owned(),
        caller_address: "127.0.0.1:80".parse().expect("an address"),
        peer_address: "127.0.0.1:81".parse().expect("an address"),
        started_unix_ms: 1,
        count,
        is_ready: true,
        in_flight: 0,
        capacity_milli: 250,
        config_version: 0,
        is_fresh: false,
    }
}

fn candidate(host: &str, is_fresh: bool) -> SourceCandidate {
    SourceCandidate { host: host.to_owned(), zone: "z".to_owned(), is_fresh }
}

#[test]
fn a_host_whose_pulse_stops_growing_is_suspect_whoever_passes_it_on() {
    let mut view = HostView::default();
    view.record(beat("a", "z", 1), ms(0));
    let old = view.updates(ms(0));
    view.apply_update(&old[0], ms(2000));
    assert!(view.is_live("a", ms(2400)));
    assert!(!view.is_live("a", SUSPECT_AFTER));
    let grown = rail_member::HeartbeatUpdate { count: 2, ..old[0] };
    view.apply_update(&grown, ms(2600));
    assert!(view.is_live("a", ms(2700)));
}

#[test]
fn a_pulse_of_an_unknown_host_asks_for_its_beat() {
    let (mut first, mut second) = (HostView::default(), HostView::default());
    first.record(beat("a", "z", 1), ms(0));
    second.record(beat("b", "z", 1), ms(0));
    assert!(!second.apply_update(&first.updates(ms(0))[0], ms(1)));
    let missing = first.missing_from(&second.updates(ms(1)), ms(1));
    assert_eq!(missing.iter().map(|beat| beat.host.as_str()).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn entry_answers_name_near_ready_hosts_first() {
    let mut view = HostView::default();
    view.record(beat("far", "z2", 1), ms(0));
    view.record(
        HostHeartbeat {
            caller_address: "127.0.0.2:80".parse().expect("an address"),
            ..beat("near", "z1", 1)
        },
        ms(0),
    );
    view.record(HostHeartbeat { is_ready: false, ..beat("stopping", "z1", 1) }, ms(0));
    let addresses = view.entry_addresses(Some("z1"), 64, &BTreeMap::new(), ms(1));
    assert_eq!(addresses.len(), 2);
    assert_eq!(addresses[0].ip().to_string(), "127.0.0.2");
}

#[test]
fn after_a_common_restart_callers_are_spread_over_hosts_that_were_not_heard_of_yet() {
    let address = |n: usize| SocketAddr::from(([127, 0, 0, n as u8], 80));
    let own_beat =
        |n: usize| HostHeartbeat { caller_address: address(n), ..beat(&format!("h{n}"), "z", 1) };
    let registered: BTreeMap<String, SocketAddr> =
        (1..=10).map(|n| (format!("h{n}"), address(n))).collect();
    let mut view = HostView::default();
    assert!(
        view.entry_addresses(None, 64, &registered, ms(0)).is_empty(),
        "nobody is known to be up"
    );
    view.record(own_beat(1), ms(0));
    view.record(HostHeartbeat { is_ready: false, ..own_beat(2) }, ms(0));
    let addresses = view.entry_addresses(Some("z"), 64, &registered, ms(1));
    assert_eq!(addresses.len(), 9, "all but the one that says that it is not ready");
    assert!(!addresses.contains(&address(2)));
    assert_eq!(view.entry_addresses(Some("z"), 4, &registered, ms(1)).len(), 4);
    for n in 3..=6 {
        view.record(own_beat(n), ms(1));
    }
    let addresses = view.entry_addresses(Some("z"), 64, &registered, ms(2));
    assert_eq!(addresses.len(), 5, "most were heard of: the others are down");
}

fn text(text: &str) -> RecordText {
    RecordText::Plain(text.to_owned())
}

#[test]
fn a_record_that_is_gone_does_not_come_back_through_a_source_that_is_behind() {
    let mut replica = Replica::default();
    assert_eq!(replica.put("u", 40, text("old")), PutOutcome::Changed);
    assert!(replica.remove_unlisted(&["u".to_owned()], 50).is_empty());
    assert_eq!(replica.put("u", 60, text("new")), PutOutcome::Changed);
    assert_eq!(
        replica.put("u", 40, text("old")),
        PutOutcome::Stale,
        "an earlier revision is no news"
    );
    replica.advance(90);
    assert!(replica.remove("u"));
    assert_eq!(
        replica.put("u", 60, text("new")),
        PutOutcome::Stale,
        "it was removed after that revision"
    );
    assert_eq!(replica.put("u", 95, text("again")), PutOutcome::Changed);
}

#[test]
fn a_record_that_only_moves_its_revision_is_not_passed_on_and_not_removed() {
    let mut replica = Replica::default();
    replica.put("u", 40, text("ready"));
    assert_eq!(replica.put("u", 70, text("ready")), PutOutcome::Unchanged);
    assert_eq!(
        replica.put("u", 60, text("draining")),
        PutOutcome::Stale,
        "a later revision is known"
    );
    assert!(replica.remove_unlisted(&[], 65).is_empty(), "it changed after that revision");
}

#[test]
fn a_source_that_is_behind_removes_nothing() {
    let mut replica = Replica::default();
    replica.put("u", 40, text("text"));
    replica.advance(50);
    assert!(replica.remove_unlisted(&[], 45).is_empty());
    assert_eq!(replica.remove_unlisted(&[], 55), ["u"]);
}

/// Hosts spread over zones.
fn fleet(zones: usize, hosts_per_zone: usize) -> Vec<SourceCandidate> {
    let host = |n: usize| SourceCandidate {
        host: format!("h{n}"),
        zone: format!("z{}", n % zones),
        is_fresh: true,
    };
    (0..zones * hosts_per_zone).map(host).collect()
}

/// Gives the source of each host.
fn sources(live: &[SourceCandidate]) -> HashMap<String, Source> {
    let choose =
        |c: &SourceCandidate| SourceChooser::new(&c.host, &c.zone).choose(live, false, ms(0));
    live.iter().map(|c| (c.host.clone(), choose(c))).collect()
}

#[test]
fn few_hosts_follow_the_store_and_the_others_follow_them() {
    for (zones, hosts_per_zone, roots) in
        [(1, 1, 1), (1, 20, 3), (3, 3, 3), (4, 20, 4), (3, 25, 3), (16, 24, 16), (2, 40, 4)]
    {
        let live = fleet(zones, hosts_per_zone);
        let sources = sources(&live);
        let from_store = sources.values().filter(|source| **source == Source::Store).count();
        assert_eq!(from_store, roots.min(live.len()), "{zones} zones of {hosts_per_zone}");
        for c in &live {
            // Every host is fed from a root of its own zone over few steps.
            let (mut host, mut steps) = (c.host.clone(), 0);
            while let Source::Host(above) = &sources[&host] {
                let zone_of = |host: &str| live.iter().find(|c| c.host == host).map(|c| &c.zone);
                assert_eq!(zone_of(above), Some(&c.zone));
                host.clone_from(above);
                steps += 1;
                assert!(steps <= 3, "{zones} zones of {hosts_per_zone}: a long way for {}", c.host);
            }
        }
    }
}

#[test]
fn no_host_feeds_more_than_a_few_however_many_there_are() {
    for (zones, hosts_per_zone) in [(1, 9), (4, 20), (3, 27), (16, 24), (2, 190)] {
        let live = fleet(zones, hosts_per_zone);
        let mut fed = HashMap::<String, usize>::new();
        for source in sources(&live).into_values() {
            if let Source::Host(above) = source {
                *fed.entry(above).or_default() += 1;
            }
        }
        assert!(fed.values().all(|count| *count <= MAX_FEEDS_PER_HOST), "{fed:?}");
    }
}

#[test]
fn long_records_travel_packed_and_come_out_as_they_were() {
    let route =
        |n: u32| format!(r#"{{"Name":"r-{n}","Host":"kara{n}.example","TimeoutMs":2000}},"#);
    let text: String = (0..2000).map(route).collect();
    let packed = RecordText::pack(&text);
    assert!(packed.len() * 5 < text.len(), "{} of {} bytes", packed.len(), text.len());
    assert_eq!(packed.unpack().expect("packed text"), text);
    assert_eq!(RecordText::pack("short"), RecordText::Plain("short".to_owned()));
    RecordText::Packed(vec![7; 40]).unpack().expect_err("that is not packed text");
}

#[test]
fn a_packed_record_that_never_ends_is_refused() {
    let zeros = "0".repeat(9 << 20);
    assert!(matches!(RecordText::pack(&zeros).unpack(), Err(UnpackError::TooLong)));
}

#[test]
fn a_follower_cut_off_from_the_store_learns_from_another() {
    let live = [candidate("a", false), candidate("b", true)];
    let mut chooser = SourceChooser::new("a", "z");
    assert_eq!(chooser.choose(&live, false, ms(0)), Source::Store);
    assert_eq!(chooser.choose(&live, true, ms(0)), Source::Host("b".to_owned()));
    chooser.avoid("b", ms(0));
    assert_eq!(chooser.choose(&live, true, ms(1)), Source::Store, "nobody else serves");
}
