//! Properties of the freshness decision over random faults.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rail_member::{Freshness, FreshnessState, PeerReport, freshness::MAX_CONFIRMATION_AGE};
use std::{net::IpAddr, time::Duration};

const HOSTS: usize = 5;
const MAJORITY: usize = HOSTS / 2 + 1;

#[derive(Debug, Clone, Copy)]
enum Event {
    Accept,
    SetPlatform { up: bool },
    SetReach { host: usize, reaches: bool },
    SetLink { a: usize, b: usize, up: bool },
    Poll { host: usize },
    Ask { host: usize, peer: usize, delay_ms: u16, fetches: bool },
    Restart { host: usize },
    Pass { ms: u16 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        let other = usize::arbitrary(g) % HOSTS;
        let flag = bool::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0 => Self::Accept,
            1 => Self::SetPlatform { up: flag },
            2 => Self::SetReach { host, reaches: flag },
            3 => Self::SetLink { a: host, b: other, up: flag },
            4 => Self::Restart { host },
            5..=9 => Self::Poll { host },
            10..=13 => Self::Pass { ms: u16::arbitrary(g) % 3000 },
            _ => Self::Ask { host, peer: other, delay_ms: u16::arbitrary(g) % 2000, fetches: flag },
        }
    }
}

#[derive(Debug)]
struct Host {
    freshness: Freshness,
    reaches: bool,
    started_at: Duration,
    last_contact: Duration,
    /// Generations in force with the time since when.
    in_force: Vec<(Duration, u64)>,
}

#[derive(Debug)]
struct Model {
    now: Duration,
    platform_up: bool,
    accepted: Vec<(Duration, u64)>,
    links: [[bool; HOSTS]; HOSTS],
    hosts: Vec<Host>,
}

fn ip(host: usize) -> IpAddr {
    IpAddr::from([127, 0, 0, host as u8 + 1])
}

fn at(history: &[(Duration, u64)], time: Duration) -> u64 {
    history.iter().rev().find(|(since, _)| *since <= time).map_or(0, |(_, value)| *value)
}

impl Host {
    fn start(host: usize, now: Duration) -> Self {
        let mut freshness = Freshness::new(ip(host));
        freshness.set_hosts((0..HOSTS).map(ip));
        Self {
            freshness,
            reaches: true,
            started_at: now,
            last_contact: now,
            in_force: vec![(now, 0)],
        }
    }

    fn generation(&self) -> u64 {
        self.in_force.last().map_or(0, |(_, generation)| *generation)
    }

    fn apply(&mut self, generation: u64, now: Duration) {
        if generation > self.generation() {
            self.in_force.push((now, generation));
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
        let newest = at(&self.accepted, self.now);
        match event {
            Event::Accept if self.platform_up => self.accepted.push((self.now, newest + 1)),
            Event::Accept => {}
            Event::SetPlatform { up } => self.platform_up = up,
            Event::SetReach { host, reaches } => self.hosts[host].reaches = reaches,
            Event::SetLink { a, b, up } => {
                self.links[a][b] = up;
                self.links[b][a] = up;
            }
            Event::Poll { host } => {
                let host = &mut self.hosts[host];
                if self.platform_up && host.reaches {
                    host.apply(newest, self.now);
                    host.freshness.confirm_by_platform(newest, self.now);
                    host.last_contact = self.now;
                }
            }
            Event::Ask { host, peer, delay_ms, fetches } => self.ask(host, peer, delay_ms, fetches),
            Event::Restart { host } => self.hosts[host] = Host::start(host, self.now),
            Event::Pass { ms } => self.now += Duration::from_millis(u64::from(ms)),
        }
    }

    /// Asks a peer, whose reply arrives after a delay; a greater generation may not be fetched.
    fn ask(&mut self, host: usize, peer: usize, delay_ms: u16, fetches: bool) {
        if host == peer || !self.links[host][peer] {
            return;
        }
        let asked_at = self.now;
        let from = &self.hosts[peer];
        let report = PeerReport {
            host: ip(peer),
            generation: from.generation(),
            confirmed_age: from.freshness.confirmed_age(self.now),
            sees_outage: from.freshness.sees_outage(self.now),
        };
        self.now += Duration::from_millis(u64::from(delay_ms));
        let host = &mut self.hosts[host];
        if fetches {
            host.apply(report.generation, self.now);
        }
        host.freshness.record_report(&report, asked_at);
        host.last_contact = self.now;
    }

    /// Greatest generation that a majority has had in force for the whole time limit.
    fn held_by_majority(&self) -> u64 {
        let since = self.now.saturating_sub(MAX_CONFIRMATION_AGE);
        let mut held: Vec<u64> = self
            .hosts
            .iter()
            .map(|host| if host.started_at <= since { at(&host.in_force, since) } else { 0 })
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        held[MAJORITY - 1]
    }

    fn is_safe(&self) -> bool {
        let limit_ago = self.now.saturating_sub(MAX_CONFIRMATION_AGE);
        let just_before = limit_ago.saturating_sub(Duration::from_nanos(1));
        self.hosts.iter().all(|host| match host.freshness.state(self.now) {
            // An acceptance at the very instant of a confirmation comes after it.
            FreshnessState::Confirmed => host.generation() >= at(&self.accepted, just_before),
            FreshnessState::SharedOutage => {
                host.generation() >= self.held_by_majority() && host.last_contact >= limit_ago
            }
            FreshnessState::Stale => true,
        })
    }
}

#[test]
fn work_is_taken_only_under_a_current_generation() {
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

/// Runs polls and exchanges of these hosts for some seconds.
fn run(model: &mut Model, seconds: u32) {
    for _second in 0..seconds {
        for host in 0..HOSTS {
            model.step(Event::Poll { host });
            for peer in 0..HOSTS {
                model.step(Event::Ask { host, peer, delay_ms: 1, fetches: true });
            }
        }
        model.step(Event::Pass { ms: 1000 });
    }
}

fn verdict(model: &Model, host: usize) -> FreshnessState {
    model.hosts[host].freshness.state(model.now)
}

#[test]
fn hosts_go_on_in_an_outage_for_all_and_a_host_that_is_alone_refuses() {
    let mut model = Model::new();
    run(&mut model, 3);
    model.step(Event::SetPlatform { up: false });
    run(&mut model, 60);
    for host in 0..HOSTS {
        assert_eq!(verdict(&model, host), FreshnessState::SharedOutage, "host {host}");
    }
    for peer in 1..HOSTS {
        model.step(Event::SetLink { a: 0, b: peer, up: false });
    }
    run(&mut model, 12);
    assert_eq!(verdict(&model, 0), FreshnessState::Stale);
    assert_eq!(verdict(&model, 1), FreshnessState::SharedOutage);
}

#[test]
fn a_host_without_the_platform_is_confirmed_by_its_peers() {
    let mut model = Model::new();
    run(&mut model, 3);
    model.step(Event::SetReach { host: 0, reaches: false });
    model.step(Event::Accept);
    run(&mut model, 30);
    assert_eq!(verdict(&model, 0), FreshnessState::Confirmed);
    assert_eq!(model.hosts[0].generation(), 2);
}

#[test]
fn a_host_restarted_in_an_outage_goes_on_when_a_majority_of_others_answers() {
    let mut model = Model::new();
    run(&mut model, 3);
    model.step(Event::SetPlatform { up: false });
    run(&mut model, 15);
    model.step(Event::Restart { host: 0 });
    assert_eq!(verdict(&model, 0), FreshnessState::Stale);
    run(&mut model, 2);
    assert_eq!(verdict(&model, 0), FreshnessState::SharedOutage);
    for peer in 3..HOSTS {
        model.step(Event::SetLink { a: 0, b: peer, up: false });
    }
    run(&mut model, 12);
    // Two others and itself are three of five, but it may have lost what it knew.
    assert_eq!(verdict(&model, 0), FreshnessState::Stale);
}
