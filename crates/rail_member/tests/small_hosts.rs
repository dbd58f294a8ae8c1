//! Fleets of many small hosts: gossip, choice of sources, and replicas of the store's records.

use rail_member::{
    Confirmations, HostHeartbeat, HostView, RecordKind, RecordText, Replica, Source, SourceChooser,
    host_heartbeat::SUSPECT_AFTER,
    packed::UnpackError,
    replica::PutOutcome,
    source::{MAX_FEEDS_PER_HOST, SourceCandidate, StoreAccess},
};
use rail_revision::Revision;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn heartbeat(host: &str, zone: &str, count: u64) -> HostHeartbeat {
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
        owners_era: 0,
    }
}

fn candidate(host: &str, is_fresh: bool) -> SourceCandidate {
    SourceCandidate { host: host.to_owned(), zone: "z".to_owned(), is_fresh }
}

#[test]
fn a_host_whose_counter_stops_growing_is_suspect_whoever_forwards_it() {
    let mut view = HostView::default();
    view.record(heartbeat("a", "z", 1), ms(0));
    let stale_updates = view.updates(ms(0));
    view.apply_update(&stale_updates[0], ms(2000));
    assert!(view.is_live("a", ms(2400)));
    assert!(!view.is_live("a", SUSPECT_AFTER));
    let newer = rail_member::HeartbeatUpdate { count: 2, ..stale_updates[0] };
    view.apply_update(&newer, ms(2600));
    assert!(view.is_live("a", ms(2700)));
}

#[test]
fn an_update_of_an_unknown_host_leads_to_its_complete_heartbeat() {
    let (mut first, mut second) = (HostView::default(), HostView::default());
    first.record(heartbeat("a", "z", 1), ms(0));
    second.record(heartbeat("b", "z", 1), ms(0));
    assert!(!second.apply_update(&first.updates(ms(0))[0], ms(1)));
    let missing = first.missing_from(&second.updates(ms(1)), ms(1));
    assert_eq!(missing.iter().map(|heartbeat| heartbeat.host.as_str()).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn entry_addresses_list_ready_hosts_of_the_callers_zone_first() {
    let mut view = HostView::default();
    view.record(heartbeat("far", "z2", 1), ms(0));
    view.record(
        HostHeartbeat {
            caller_address: "127.0.0.2:80".parse().expect("an address"),
            ..heartbeat("near", "z1", 1)
        },
        ms(0),
    );
    view.record(HostHeartbeat { is_ready: false, ..heartbeat("stopping", "z1", 1) }, ms(0));
    let addresses = view.entry_addresses(Some("z1"), 64, &BTreeMap::new(), ms(1));
    assert_eq!(addresses.len(), 2);
    assert_eq!(addresses[0].ip().to_string(), "127.0.0.2");
}

#[test]
fn after_a_fleet_restart_callers_are_also_sent_to_hosts_that_are_not_known_yet() {
    let address = |n: usize| SocketAddr::from(([127, 0, 0, n as u8], 80));
    let heartbeat_of = |n: usize| HostHeartbeat {
        caller_address: address(n),
        ..heartbeat(&format!("h{n}"), "z", 1)
    };
    let registered: BTreeMap<String, SocketAddr> =
        (1..=10).map(|n| (format!("h{n}"), address(n))).collect();
    let mut view = HostView::default();
    assert!(
        view.entry_addresses(None, 64, &registered, ms(0)).is_empty(),
        "no host is known to be live"
    );
    view.record(heartbeat_of(1), ms(0));
    view.record(HostHeartbeat { is_ready: false, ..heartbeat_of(2) }, ms(0));
    let addresses = view.entry_addresses(Some("z"), 64, &registered, ms(1));
    assert_eq!(addresses.len(), 9, "all hosts except the one that reports that it is not ready");
    assert!(!addresses.contains(&address(2)));
    assert_eq!(view.entry_addresses(Some("z"), 4, &registered, ms(1)).len(), 4);
    for n in 3..=6 {
        view.record(heartbeat_of(n), ms(1));
    }
    let addresses = view.entry_addresses(Some("z"), 64, &registered, ms(2));
    assert_eq!(addresses.len(), 5, "most hosts are known, so the unknown ones are down");
}

fn at(number: u64) -> Revision {
    Revision::new(0, number)
}

fn text(text: &str) -> RecordText {
    RecordText::Plain(text.to_owned())
}

#[test]
fn a_removed_record_is_not_restored_by_a_source_that_lags_behind() {
    let mut replica = Replica::default();
    assert_eq!(replica.put("u", at(40), text("old")), PutOutcome::Changed);
    assert!(replica.remove_unlisted(&["u".to_owned()], at(50)).is_empty());
    assert_eq!(replica.put("u", at(60), text("new")), PutOutcome::Changed);
    assert_eq!(
        replica.put("u", at(40), text("old")),
        PutOutcome::Stale,
        "an earlier revision is ignored"
    );
    replica.advance(at(90));
    assert!(replica.remove("u", at(90)));
    assert_eq!(
        replica.put("u", at(60), text("new")),
        PutOutcome::Stale,
        "the record was removed after that revision"
    );
    assert_eq!(replica.put("u", at(95), text("again")), PutOutcome::Changed);
}

#[test]
fn a_record_with_a_new_revision_and_the_same_content_is_unchanged_and_stays() {
    let mut replica = Replica::default();
    replica.put("u", at(40), text("ready"));
    assert_eq!(replica.put("u", at(70), text("ready")), PutOutcome::Unchanged);
    assert_eq!(
        replica.put("u", at(60), text("draining")),
        PutOutcome::Stale,
        "a later revision is known"
    );
    assert!(
        replica.remove_unlisted(&[], at(65)).is_empty(),
        "the record changed after that revision"
    );
}

/// Guards against a removal that arrives late, over a slower path than the record's return.
#[test]
fn a_late_removal_removes_a_record_that_was_created_again() {
    let mut replica = Replica::default();
    replica.put("u", at(40), text("old"));
    assert_eq!(replica.put("u", at(60), text("again")), PutOutcome::Changed);
    assert!(!replica.remove("u", at(50)));
    assert!(replica.contains("u"));
    assert!(replica.remove("u", at(70)));
}

#[test]
fn a_source_that_lags_behind_removes_nothing() {
    let mut replica = Replica::default();
    replica.put("u", at(40), text("text"));
    replica.advance(at(50));
    assert!(replica.remove_unlisted(&[], at(45)).is_empty());
    assert_eq!(replica.remove_unlisted(&[], at(55)), ["u"]);
}

/// Creates hosts that are distributed evenly over zones.
fn fleet(zones: usize, hosts_per_zone: usize) -> Vec<SourceCandidate> {
    let host = |n: usize| SourceCandidate {
        host: format!("h{n}"),
        zone: format!("z{}", n % zones),
        is_fresh: true,
    };
    (0..zones * hosts_per_zone).map(host).collect()
}

/// Returns the source that each host chooses.
fn sources(live: &[SourceCandidate]) -> HashMap<String, Source> {
    let choose = |candidate: &SourceCandidate| {
        SourceChooser::new(&candidate.host, &candidate.zone).choose(
            live,
            StoreAccess::default(),
            ms(0),
        )
    };
    live.iter().map(|candidate| (candidate.host.clone(), choose(candidate))).collect()
}

#[test]
fn few_hosts_follow_the_store_and_the_others_follow_them() {
    for (zones, hosts_per_zone, expected_roots) in
        [(1, 1, 1), (1, 20, 3), (3, 3, 3), (4, 20, 4), (3, 25, 3), (16, 24, 16), (2, 40, 4)]
    {
        let live = fleet(zones, hosts_per_zone);
        let sources = sources(&live);
        let from_store = sources.values().filter(|source| **source == Source::Store).count();
        assert_eq!(from_store, expected_roots.min(live.len()), "{zones} zones of {hosts_per_zone}");
        for candidate in &live {
            // Every host is fed by a root of its own zone, with at most two hosts in between.
            let (mut host, mut hops) = (candidate.host.clone(), 0);
            while let Source::Host(parent) = &sources[&host] {
                let zone_of = |host: &str| {
                    live.iter()
                        .find(|candidate| candidate.host == host)
                        .map(|candidate| &candidate.zone)
                };
                assert_eq!(zone_of(parent), Some(&candidate.zone));
                host.clone_from(parent);
                hops += 1;
                assert!(
                    hops <= 3,
                    "{zones} zones of {hosts_per_zone}: too many hops for {}",
                    candidate.host
                );
            }
        }
    }
}

#[test]
fn no_host_feeds_more_than_the_maximum_at_any_fleet_size() {
    for (zones, hosts_per_zone) in [(1, 9), (4, 20), (3, 27), (16, 24), (2, 190)] {
        let live = fleet(zones, hosts_per_zone);
        let mut followers = HashMap::<String, usize>::new();
        for source in sources(&live).into_values() {
            if let Source::Host(parent) = source {
                *followers.entry(parent).or_default() += 1;
            }
        }
        assert!(followers.values().all(|count| *count <= MAX_FEEDS_PER_HOST), "{followers:?}");
    }
}

#[test]
fn long_records_are_compressed_and_restored_unchanged() {
    let route =
        |n: u32| format!(r#"{{"Name":"r-{n}","Host":"kara{n}.example","TimeoutMs":2000}},"#);
    let text: String = (0..2000).map(route).collect();
    let packed = RecordText::pack(&text);
    assert!(packed.len() * 5 < text.len(), "{} of {} bytes", packed.len(), text.len());
    assert_eq!(packed.unpack().expect("compressed text"), text);
    assert_eq!(RecordText::pack("short"), RecordText::Plain("short".to_owned()));
    RecordText::Packed(vec![7; 40]).unpack().expect_err("the bytes are not compressed text");
}

#[test]
fn a_compressed_record_over_the_maximum_length_is_refused() {
    let zeros = "0".repeat(9 << 20);
    assert!(matches!(RecordText::pack(&zeros).unpack(), Err(UnpackError::TooLong)));
}

#[test]
fn a_host_cut_off_from_the_store_follows_another_host() {
    let live = [candidate("a", false), candidate("b", true)];
    let mut chooser = SourceChooser::new("a", "z");
    let failing = StoreAccess { is_failing: true, answers: false };
    assert_eq!(chooser.choose(&live, StoreAccess::default(), ms(0)), Source::Store);
    assert_eq!(chooser.choose(&live, failing, ms(0)), Source::Host("b".to_owned()));
    chooser.avoid("b", ms(0));
    assert_eq!(
        chooser.choose(&live, failing, ms(1)),
        Source::Store,
        "no other host can be a source"
    );
}

/// Guards against records of a store that returned from an older copy and count as outdated, and
/// against records of before that come back through a host which has not noticed the return.
#[test]
fn records_of_a_new_era_replace_those_of_before_whatever_their_numbers() {
    let mut replica = Replica::default();
    replica.put("kept", at(20), text("same"));
    replica.put("changed", at(27), text("lost change"));
    replica.put("lost", at(26), text("lost record"));
    let after = |number| Revision::new(1, number);
    assert_eq!(replica.put("kept", after(5), text("same")), PutOutcome::UnchangedInNewEra);
    assert_eq!(replica.put("changed", after(6), text("older")), PutOutcome::Changed);
    let names = ["kept".to_owned(), "changed".to_owned()];
    assert_eq!(replica.remove_unlisted(&names, after(7)), ["lost"]);
    for (name, number) in [("kept", 20), ("changed", 28), ("lost", 26)] {
        assert_eq!(replica.put(name, at(number), text("old")), PutOutcome::Stale, "{name}");
    }
    assert!(replica.remove_unlisted(&[], at(90)).is_empty(), "a listing of before removes nothing");
    assert_eq!(replica.put("changed", after(8), text("lost change")), PutOutcome::Changed);
}

/// Guards against engines that are claimed while a host may still act on ownership records that the
/// store has lost.
#[test]
fn a_host_that_is_only_registered_has_not_read_the_owners_of_an_era() {
    let mut view = HostView::default();
    for host in ["a", "b"] {
        view.record(HostHeartbeat { owners_era: 1, ..heartbeat(host, "z", 1) }, ms(0));
    }
    let all = |view: &HostView, named: &[&str]| {
        let named: Vec<String> = named.iter().map(|host| (*host).to_owned()).collect();
        view.have_all_read_owners(1, named.iter())
    };
    assert!(all(&view, &["a", "b"]));
    assert!(!all(&view, &["a", "b", "c"]), "c may be cut off");
    view.record(heartbeat("c", "z", 1), ms(0));
    assert!(!all(&view, &["a", "b", "c"]), "c has records of the era before");
}

/// Guards against hosts that follow each other while none of them gets news from the store.
#[test]
fn a_host_that_reaches_the_store_follows_a_parent_with_old_records() {
    let mut live = fleet(1, 9);
    let own = sources(&live).into_iter().find(|(_, source)| *source != Source::Store);
    let (host, source) = own.expect("a host below the roots");
    let Source::Host(parent) = source else { panic!("the source is a host") };
    for candidate in &mut live {
        candidate.is_fresh = candidate.host != parent;
    }
    let answers = StoreAccess { is_failing: false, answers: true };
    let mut chooser = SourceChooser::new(&host, "z0");
    assert_eq!(chooser.choose(&live, answers, ms(0)), Source::Store);
    let without_store = chooser.choose(&live, StoreAccess::default(), ms(0));
    assert!(matches!(&without_store, Source::Host(other) if *other != parent), "{without_store:?}");
    for candidate in &mut live {
        candidate.is_fresh = true;
    }
    assert_eq!(chooser.choose(&live, answers, ms(0)), Source::Host(parent));
}

/// Guards against roots that lose the store and choose it again at once, over and over.
#[test]
fn a_root_returns_to_the_store_that_it_has_just_lost() {
    let live = [candidate("a", false), candidate("b", true)];
    let mut chooser = SourceChooser::new("a", "z");
    chooser.avoid_store(ms(1000));
    // Nothing is known of calls any more once the store is not followed.
    let unknown = StoreAccess::default();
    assert_eq!(chooser.choose(&live, unknown, ms(1001)), Source::Host("b".to_owned()));
    assert_eq!(chooser.choose(&live, unknown, ms(5000)), Source::Store, "it is tried again later");
    chooser.avoid_store(ms(6000));
    let answers = StoreAccess { is_failing: false, answers: true };
    assert_eq!(chooser.choose(&live, answers, ms(6001)), Source::Store, "it answers again");
}

/// Guards against hosts that tell each other ages in a circle, in which records stay young for
/// ever.
#[test]
fn ages_told_in_a_circle_do_not_grow() {
    let mut hosts = [Confirmations::default(), Confirmations::default()];
    hosts[0].record(RecordKind::Config, ms(1000));
    let mut now = ms(1000);
    for hop in 0..200 {
        let ages = hosts[hop % 2].ages(now);
        // Each host asked the other one at this time, and was told 5 ms later.
        let told_at = now;
        now += ms(5);
        hosts[(hop + 1) % 2].record_ages(&ages, told_at);
    }
    assert_eq!(hosts[0].ages(now).of(RecordKind::Config), Some(ms(1000)));
    let ages = hosts[1].ages(now);
    assert!(!hosts[0].record_ages(&ages, now), "nothing is news to the host that told it");
}
