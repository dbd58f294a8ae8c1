//! Properties of configuration freshness under random faults of platform, links and processes.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rail_member::{Freshness, FreshnessState, PeerReport, freshness::MAX_CONFIRMATION_AGE};
use std::{net::IpAddr, time::Duration};

const HOSTS: usize = 5;
const MAJORITY_OF_HOSTS: usize = HOSTS / 2 + 1;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The platform accepts a new generation.
    Accept,
    /// The platform stops or starts to respond to all hosts.
    SetPlatform {
        up: bool,
    },
    /// One host loses or regains its connection to the platform.
    SetPlatformAccess {
        host: usize,
        up: bool,
    },
    SetLink {
        a: usize,
        b: usize,
        up: bool,
    },
    /// A host reads the newest generation from the platform, if it can, and applies it.
    Poll {
        host: usize,
    },
    /// A host requests the state of a peer; see [`Model::sync`].
    Sync {
        host: usize,
        peer: usize,
        delay_ms: u16,
        fetch: bool,
    },
    /// A host restarts without any configuration.
    Restart {
        host: usize,
    },
    Advance {
        ms: u16,
    },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        let other = usize::arbitrary(g) % HOSTS;
        let flag = bool::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0 => Self::Accept,
            1 => Self::SetPlatform { up: flag },
            2 => Self::SetPlatformAccess { host, up: flag },
            3 => Self::SetLink { a: host, b: other, up: flag },
            4 => Self::Restart { host },
            5..=9 => Self::Poll { host },
            10..=13 => Self::Advance { ms: u16::arbitrary(g) % 3000 },
            _ => Self::Sync { host, peer: other, delay_ms: u16::arbitrary(g) % 2000, fetch: flag },
        }
    }
}

#[derive(Debug)]
struct Host {
    freshness: Freshness,
    reaches_platform: bool,
    started_at: Duration,
    last_contact_at: Duration,
    /// Applied generations, each with the time of its application.
    applied: Vec<(Duration, u64)>,
}

#[derive(Debug)]
struct Model {
    now: Duration,
    platform_up: bool,
    /// Generations that the platform accepted, each with the time of its acceptance.
    accepted: Vec<(Duration, u64)>,
    links: [[bool; HOSTS]; HOSTS],
    hosts: Vec<Host>,
}

fn ip(host: usize) -> IpAddr {
    IpAddr::from([127, 0, 0, host as u8 + 1])
}

fn value_at(history: &[(Duration, u64)], time: Duration) -> u64 {
    history.iter().rev().find(|(since, _)| *since <= time).map_or(0, |(_, value)| *value)
}

impl Host {
    fn start(host: usize, now: Duration) -> Self {
        let mut freshness = Freshness::new(ip(host));
        freshness.set_hosts((0..HOSTS).map(ip));
        Self {
            freshness,
            reaches_platform: true,
            started_at: now,
            last_contact_at: now,
            applied: vec![(now, 0)],
        }
    }

    fn generation(&self) -> u64 {
        self.applied.last().map_or(0, |(_, generation)| *generation)
    }

    fn apply(&mut self, generation: u64, now: Duration) {
        if generation > self.generation() {
            self.applied.push((now, generation));
            self.freshness.apply(generation);
        }
    }
}

impl Model {
    fn new() -> Self {
        let now = Duration::from_secs(100);
        Self {
            now,
            platform_up: true,
            accepted: vec![(now, 1)],
            links: [[true; HOSTS]; HOSTS],
            hosts: (0..HOSTS).map(|host| Host::start(host, now)).collect(),
        }
    }

    fn step(&mut self, event: Event) {
        let newest = value_at(&self.accepted, self.now);
        match event {
            Event::Accept if self.platform_up => self.accepted.push((self.now, newest + 1)),
            Event::Accept => {}
            Event::SetPlatform { up } => self.platform_up = up,
            Event::SetPlatformAccess { host, up } => self.hosts[host].reaches_platform = up,
            Event::SetLink { a, b, up } => {
                self.links[a][b] = up;
                self.links[b][a] = up;
            }
            Event::Poll { host } => {
                let host = &mut self.hosts[host];
                if self.platform_up && host.reaches_platform {
                    host.apply(newest, self.now);
                    host.freshness.confirm_by_platform(newest, self.now);
                    host.last_contact_at = self.now;
                }
            }
            Event::Sync { host, peer, delay_ms, fetch } => self.sync(host, peer, delay_ms, fetch),
            Event::Restart { host } => self.hosts[host] = Host::start(host, self.now),
            Event::Advance { ms } => self.now += Duration::from_millis(u64::from(ms)),
        }
    }

    /// Requests the state of a peer, whose reply arrives after a delay.
    ///
    /// Without `fetch`, a greater generation of the peer is reported but not applied.
    fn sync(&mut self, host: usize, peer: usize, delay_ms: u16, fetch: bool) {
        if host == peer || !self.links[host][peer] {
            return;
        }
        let sent_at = self.now;
        let peer_host = &self.hosts[peer];
        let report = PeerReport {
            host: ip(peer),
            generation: peer_host.generation(),
            confirmed_age: peer_host.freshness.confirmed_age(self.now),
            sees_outage: peer_host.freshness.sees_outage(self.now),
        };
        self.now += Duration::from_millis(u64::from(delay_ms));
        let host = &mut self.hosts[host];
        if fetch {
            host.apply(report.generation, self.now);
        }
        host.freshness.record_report(&report, sent_at);
        host.last_contact_at = self.now;
    }

    /// Returns the greatest generation that a majority has applied for [`MAX_CONFIRMATION_AGE`].
    fn applied_by_majority(&self) -> u64 {
        let since = self.now.saturating_sub(MAX_CONFIRMATION_AGE);
        let mut applied_generations: Vec<u64> = self
            .hosts
            .iter()
            .map(|host| if host.started_at <= since { value_at(&host.applied, since) } else { 0 })
            .collect();
        applied_generations.sort_unstable_by(|a, b| b.cmp(a));
        applied_generations[MAJORITY_OF_HOSTS - 1]
    }

    fn is_safe(&self) -> bool {
        let max_age_ago = self.now.saturating_sub(MAX_CONFIRMATION_AGE);
        let before_max_age = max_age_ago.saturating_sub(Duration::from_nanos(1));
        self.hosts.iter().all(|host| match host.freshness.state(self.now) {
            // A generation accepted at the instant of a confirmation counts as accepted after it.
            FreshnessState::Confirmed => {
                host.generation() >= value_at(&self.accepted, before_max_age)
            }
            FreshnessState::SharedOutage => {
                host.generation() >= self.applied_by_majority()
                    && host.last_contact_at >= max_age_ago
            }
            FreshnessState::Stale => true,
        })
    }
}

/// Guards against a host that accepts work under an outdated generation: one that counts as
/// confirmed although the platform has accepted a newer one, or as part of a shared outage although
/// a majority has applied a newer one.
#[test]
fn work_is_accepted_only_under_a_current_generation() {
    fn property(events: Vec<Event>) -> bool {
        let mut model = Model::new();
        events.into_iter().all(|event| {
            model.step(event);
            model.is_safe()
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 4))
        .tests(4000)
        .quickcheck(property as fn(Vec<Event>) -> bool);
}

/// Lets every host poll the platform and all its peers once a second.
fn run_for(model: &mut Model, seconds: u32) {
    for _second in 0..seconds {
        for host in 0..HOSTS {
            model.step(Event::Poll { host });
            for peer in 0..HOSTS {
                model.step(Event::Sync { host, peer, delay_ms: 1, fetch: true });
            }
        }
        model.step(Event::Advance { ms: 1000 });
    }
}

fn state_of(model: &Model, host: usize) -> FreshnessState {
    model.hosts[host].freshness.state(model.now)
}

#[test]
fn hosts_continue_in_a_shared_outage_and_an_isolated_host_becomes_stale() {
    let mut model = Model::new();
    run_for(&mut model, 3);
    model.step(Event::SetPlatform { up: false });
    run_for(&mut model, 60);
    for host in 0..HOSTS {
        assert_eq!(state_of(&model, host), FreshnessState::SharedOutage, "host {host}");
    }
    for peer in 1..HOSTS {
        model.step(Event::SetLink { a: 0, b: peer, up: false });
    }
    run_for(&mut model, 12);
    assert_eq!(state_of(&model, 0), FreshnessState::Stale);
    assert_eq!(state_of(&model, 1), FreshnessState::SharedOutage);
}

#[test]
fn a_host_cut_off_from_the_platform_is_confirmed_by_its_peers() {
    let mut model = Model::new();
    run_for(&mut model, 3);
    model.step(Event::SetPlatformAccess { host: 0, up: false });
    model.step(Event::Accept);
    run_for(&mut model, 30);
    assert_eq!(state_of(&model, 0), FreshnessState::Confirmed);
    assert_eq!(model.hosts[0].generation(), 2);
}

#[test]
fn a_host_restarted_in_an_outage_continues_only_with_a_majority_of_other_hosts() {
    let mut model = Model::new();
    run_for(&mut model, 3);
    model.step(Event::SetPlatform { up: false });
    run_for(&mut model, 15);
    model.step(Event::Restart { host: 0 });
    assert_eq!(state_of(&model, 0), FreshnessState::Stale);
    run_for(&mut model, 2);
    assert_eq!(state_of(&model, 0), FreshnessState::SharedOutage);
    for peer in 3..HOSTS {
        model.step(Event::SetLink { a: 0, b: peer, up: false });
    }
    run_for(&mut model, 12);
    // Two peers and the host itself are three of five, but the host may have lost a newer
    // generation in the restart, so it does not count itself.
    assert_eq!(state_of(&model, 0), FreshnessState::Stale);
}
