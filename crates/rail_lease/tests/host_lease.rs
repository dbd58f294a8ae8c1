//! Leases of hosts over a store with conditional updates, lost replies and late writes.

use rail_lease::{HostLease, HostLeaseRecord, LeaseObserver, LeaseWrite};
use std::time::Duration;

const TTL: Duration = Duration::from_secs(12);
const ORDER_PAUSE: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(300);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// The record as the store holds it.
#[derive(Debug, Default)]
struct Store {
    record: Option<HostLeaseRecord>,
    revision: u64,
}

impl Store {
    fn write(&mut self, write: LeaseWrite) -> Option<(HostLeaseRecord, u64)> {
        let (record, is_allowed) = match write {
            LeaseWrite::Create(record) => (record, self.record.is_none()),
            LeaseWrite::Replace(record, expected) => {
                (record, self.record.is_some() && self.revision == expected)
            }
        };
        if !is_allowed {
            return None;
        }
        self.revision += 1;
        self.record = Some(record.clone());
        Some((record, self.revision))
    }

    fn read(&self) -> Option<(HostLeaseRecord, u64)> {
        self.record.clone().map(|record| (record, self.revision))
    }
}

fn renew(lease: &mut HostLease, store: &mut Store, now: Duration) {
    if lease.needs_read(now) {
        lease.record_read(store.read());
    }
    if let Some(write) = lease.poll(now) {
        match store.write(write) {
            Some((record, revision)) => lease.acknowledge(record, revision, now),
            None => lease.record_failure(now, TICK),
        }
    }
}

#[test]
fn a_restarted_process_goes_on_under_the_lease_of_its_host() {
    let mut store = Store::default();
    let mut first = HostLease::new(1, TTL);
    renew(&mut first, &mut store, ms(0));
    assert_eq!(first.epoch(), Some(1));
    let mut second = HostLease::new(2, TTL);
    renew(&mut second, &mut store, ms(500));
    assert_eq!(second.epoch(), Some(1));
    assert!(second.is_valid(ms(600)));
}

#[test]
fn a_lease_ends_on_the_clock_that_counts_suspension() {
    let mut store = Store::default();
    let mut lease = HostLease::new(1, TTL);
    renew(&mut lease, &mut store, ms(0));
    assert!(lease.is_valid(ms(11_000)));
    assert!(!lease.is_valid(ms(12_000)));
}

#[test]
fn a_revoked_host_starts_a_new_epoch() {
    let mut store = Store::default();
    let mut lease = HostLease::new(1, TTL);
    renew(&mut lease, &mut store, ms(0));
    let (record, revision) = store.read().expect("it was created");
    let mut watch = LeaseObserver::new(TTL, ORDER_PAUSE);
    watch.observe("h", record.clone(), revision, ms(0));
    assert!(watch.revocation("h", ms(15_000)).is_none(), "the pause of orders is not over");
    let (revoked, expected) = watch.revocation("h", ms(15_300)).expect("it is over");
    store.write(LeaseWrite::Replace(revoked, expected)).expect("nobody renewed it");
    renew(&mut lease, &mut store, ms(16_000));
    assert!(!lease.is_valid(ms(16_000)), "its conditional renewal failed");
    renew(&mut lease, &mut store, ms(16_400));
    assert_eq!(lease.epoch(), Some(2));
}

/// Steps of one run, from a seed.
fn steps(seed: u64) -> impl Iterator<Item = u8> {
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    std::iter::repeat_with(move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 32) as u8
    })
    .take(300)
}

/// Runs a holder whose store calls are lost, late or fine beside a host that watches it; gives
/// the time between the holder's last right to order and the takeover.
fn run(seed: u64) -> Option<Duration> {
    let mut store = Store::default();
    let mut lease = HostLease::new(1, TTL);
    let mut watch = LeaseObserver::new(TTL, ORDER_PAUSE);
    let mut late: Vec<LeaseWrite> = Vec::new();
    let (mut now, mut last_order) = (ms(0), ms(0));
    // In some runs the holder is cut off for good at some point.
    let cut_at = ms(seed % 97 * 300);
    for step in steps(seed) {
        now += TICK * u32::from(step / 8 % 4 + 1);
        let is_cut = now >= cut_at;
        match step % 8 {
            0..=2 if !is_cut => {
                if lease.needs_read(now) {
                    lease.record_read(store.read());
                }
                if let Some(write) = lease.poll(now) {
                    match step % 8 {
                        0 => drop(store.write(write)),
                        1 => late.push(write),
                        _ => {}
                    }
                    lease.record_failure(now, TICK);
                }
            }
            3 => {
                if let Some(write) = late.pop() {
                    store.write(write);
                }
            }
            4 | 5 if !is_cut => renew(&mut lease, &mut store, now),
            _ => {
                if let Some((record, revision)) = store.read() {
                    watch.observe("h", record, revision, now);
                }
                if let Some((record, revision)) = watch.revocation("h", now)
                    && store.write(LeaseWrite::Replace(record, revision)).is_some()
                {
                    assert!(!lease.is_valid(now), "seed {seed}: two in force");
                    return Some(now.saturating_sub(last_order));
                }
            }
        }
        if lease.is_valid(now) {
            last_order = now;
        }
    }
    None
}

#[test]
fn nobody_orders_within_the_pause_before_a_takeover() {
    let mut takeovers = 0;
    for seed in 1..3000 {
        if let Some(pause) = run(seed) {
            takeovers += 1;
            assert!(pause >= ORDER_PAUSE, "seed {seed}: {pause:?}");
        }
    }
    assert!(takeovers > 500, "only {takeovers} runs reached a takeover");
}

#[test]
fn a_lost_store_is_asked_rarely_and_less_so_the_longer_it_stays_lost() {
    let mut lease = HostLease::new(1, TTL);
    let mut asked_at = Vec::new();
    for tick in 0..100 {
        let now = TICK * tick;
        if lease.needs_read(now) {
            asked_at.push(now);
            lease.record_failure(now, ms(800));
        }
    }
    let pauses: Vec<Duration> =
        asked_at.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).collect();
    assert!(pauses.iter().all(|pause| *pause >= ms(800)), "{pauses:?}");
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(asked_at.len() <= 14, "{} calls in 30 s", asked_at.len());
    let mut store = Store::default();
    let back_at = asked_at.last().copied().unwrap_or_default() + ms(3000);
    renew(&mut lease, &mut store, back_at);
    assert_eq!(lease.epoch(), Some(1), "it goes on within a pause of the store's return");
}
