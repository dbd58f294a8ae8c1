//! Time in which changes reach every host, whichever sources of records fail.

use rail_member::{
    Confirmations, RecordAges, RecordBounds, RecordKind, RefreshPlanner, RunningTime,
    confirmation::millis_since,
    outage::{believes_outage, ends_outage},
    refresh::{AGE_CHECK_INTERVAL, DELIVERY_TIME, QUESTION_TIMEOUT, STORE_ANSWER_TIME},
};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Bounds of the smallest fleets that are operated.
const BOUNDS: RecordBounds = RecordBounds {
    config: Duration::from_secs(2),
    upstreams: Duration::from_secs(2),
    versions: Duration::from_secs(5),
};
/// Share of the bound that the sum of all stages may use.
const MAX_SHARE: f64 = 0.8;
/// Resolution of the model.
const TICK: Duration = Duration::from_millis(10);

/// What a host of the model can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    Store,
    HostsOnly,
    Frozen,
}

/// Guards against stages that are short one by one and too long in a row.
#[test]
fn the_sum_of_all_stages_exceeds_the_bound_of_a_change() {
    for kind in [RecordKind::Config, RecordKind::Upstreams] {
        let budget = BOUNDS.budget(kind);
        assert!(budget.longest_time(1) <= budget.bound.mul_f64(MAX_SHARE), "{kind:?}");
        // A source that works must not look old.
        assert!(budget.watch_period() + STORE_ANSWER_TIME < budget.refresh_age(), "{kind:?}");
    }
}

/// Runs fleets in which every source has failed, and returns when the last host has the change.
fn last_informed(hosts: usize, seed: u64, reach: impl Fn(u64) -> Reach) -> Duration {
    let random = |what: &str, host: usize| xxh3_64(format!("{seed}/{what}/{host}").as_bytes());
    let budget = BOUNDS.budget(RecordKind::Config);
    let names: Vec<String> = (0..hosts).map(|host| format!("h{host}")).collect();
    let mut reaches: Vec<Reach> = (0..hosts).map(|host| reach(random("reach", host))).collect();
    let only = random("only", 0) as usize % hosts;
    if !reaches.contains(&Reach::Store) {
        reaches[only] = Reach::Store;
    }
    // The last confirmation that each host has is from just before the change, or earlier.
    let age = |host| Duration::from_millis(random("age", host) % 200);
    let phase = |host| random("phase", host) as u32 % 5 * TICK.as_millis() as u32;
    let mut planners: Vec<RefreshPlanner> =
        names.iter().map(|name| RefreshPlanner::new(name)).collect();
    let mut informed_at: Vec<Option<Duration>> = vec![None; hosts];
    let mut questions = BTreeMap::<(usize, usize), Duration>::new();
    let mut now = Duration::ZERO;
    while now < budget.bound * 2 {
        for host in 0..hosts {
            let is_due = now + age(host) >= budget.refresh_age();
            let is_check = (now.as_millis() as u32 + phase(host))
                .is_multiple_of(AGE_CHECK_INTERVAL.as_millis() as u32);
            if reaches[host] == Reach::Frozen || informed_at[host].is_some() || !is_due || !is_check
            {
                continue;
            }
            let others: Vec<String> =
                names.iter().filter(|name| **name != names[host]).cloned().collect();
            let Some(round) = planners[host].poll(&others, budget.round_interval(), now) else {
                continue;
            };
            if round.asks_store && reaches[host] == Reach::Store {
                informed_at[host] = Some(now + STORE_ANSWER_TIME);
            } else if round.asks_store {
                planners[host].record_store_call(false, now);
            }
            for asked in round.hosts {
                let asked = names.iter().position(|name| *name == asked).expect("a known host");
                questions.insert((host, asked), now + QUESTION_TIMEOUT);
            }
        }
        for ((asker, asked), ends_at) in &questions {
            let has_news = informed_at[*asked].is_some_and(|at| at <= now);
            if has_news && now < *ends_at && informed_at[*asker].is_none() {
                informed_at[*asker] = Some(now + DELIVERY_TIME / 4);
            }
        }
        now += TICK;
    }
    let awake = (0..hosts).filter(|host| reaches[*host] != Reach::Frozen);
    awake.map(|host| informed_at[host].unwrap_or(Duration::MAX)).max().unwrap_or_default()
}

/// Guards against hosts that learn of a change too late when the sources of most hosts fail at
/// once, fall silent or freeze, so that they ask hosts that know no more than they do.
#[test]
fn a_change_reaches_some_host_too_late_when_most_hosts_lose_the_store() {
    for (hosts, seeds, bound) in [(3, 400, 2000), (9, 400, 2000), (74, 40, 2000), (380, 3, 2000)] {
        for seed in 0..seeds {
            let tenths_with_store = seed % 7;
            let last = last_informed(hosts, seed, |random| match random % 20 {
                0..2 => Reach::Frozen,
                n if n < 2 + tenths_with_store => Reach::Store,
                _ => Reach::HostsOnly,
            });
            assert!(last <= Duration::from_millis(bound), "{hosts} hosts, seed {seed}: {last:?}");
        }
    }
}

/// Returns the ages of records whose last confirmation lies back this long.
fn ages_after(silence: Duration) -> RecordAges {
    let mut confirmations = Confirmations::default();
    for kind in RecordKind::ALL {
        confirmations.record(kind, Duration::ZERO);
    }
    confirmations.ages(silence)
}

/// Runs the checks of a host that stands still at the end of a silence, and returns for how long it
/// then counts as running.
fn running_after(silence: Duration, standstill: Duration) -> Duration {
    let start = Duration::from_secs(60);
    let mut running_time = RunningTime::default();
    let mut now = Duration::ZERO;
    while now <= start + silence.saturating_sub(standstill) {
        running_time.record_check(now);
        now += AGE_CHECK_INTERVAL;
    }
    running_time.at(start + silence)
}

/// Guards against removed upstreams that hosts keep for longer because a host that stood still
/// takes its own old records for an outage of the store.
#[test]
fn a_host_that_stood_still_ends_an_outage_that_never_was() {
    let budget = BOUNDS.budget(RecordKind::Upstreams);
    for silence_ms in (1_500..10_000).step_by(70) {
        let silence = Duration::from_millis(silence_ms);
        let ages = ages_after(silence);
        for standstill_ms in (400..=silence_ms).step_by(90) {
            let running = running_after(silence, Duration::from_millis(standstill_ms));
            assert!(!ends_outage(&budget, &ages, running), "{silence:?}, {standstill_ms} ms still");
        }
        let running = running_after(silence, Duration::ZERO);
        assert!(ends_outage(&budget, &ages, running), "an outage of {silence:?}");
    }
}

/// Guards against the same where another host tells of the outage.
#[test]
fn a_host_with_recent_records_believes_in_an_outage() {
    let budget = BOUNDS.budget(RecordKind::Upstreams);
    // A source that works confirms records at least this often.
    let calm = ages_after(budget.watch_period() + STORE_ANSWER_TIME + DELIVERY_TIME);
    assert!(!believes_outage(&budget, &calm));
    assert!(believes_outage(&budget, &ages_after(budget.longest_time(1))));
    assert!(believes_outage(&budget, &Confirmations::default().ages(Duration::ZERO)));
}

/// Guards against ages that hosts which hear of the store only from each other keep young, because
/// each of them rounds them down.
#[test]
fn ages_of_hosts_that_tell_each_other_stay_young() {
    for seed in 0..200 {
        let random = |what: &str, hop: u64| {
            Duration::from_micros(xxh3_64(format!("{seed}/{what}/{hop}").as_bytes()) % 1_000)
        };
        let start = Duration::from_secs(1) + random("start", 0);
        let mut hosts = [Confirmations::default(), Confirmations::default()];
        hosts[0].record(RecordKind::Config, start);
        // Each host called the other one at these times, and the call arrived shortly after.
        let called_at = [0, 1].map(|host| Duration::from_millis(900) + random("called", host));
        let received_at = [0, 1].map(|host| called_at[host] + random("transit", host as u64) / 10);
        let mut now = start;
        for hop in 0..2_000 {
            let (teller, told) = ((hop % 2) as usize, ((hop + 1) % 2) as usize);
            let ages = hosts[teller].ages(now);
            let since = millis_since(received_at[told], now.as_millis() as u64);
            let told_at = called_at[told] + Duration::from_millis(since);
            now += random("hop", hop) / 4;
            hosts[told].record_ages(&ages, told_at);
        }
        for host in hosts {
            let age = host.ages(now).of(RecordKind::Config).expect("an age");
            let elapsed = now.saturating_sub(start);
            assert!(age >= elapsed, "seed {seed}: {age:?} after {elapsed:?}");
        }
    }
}
