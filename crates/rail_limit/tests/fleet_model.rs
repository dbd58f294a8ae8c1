//! Fleets of hosts that send requests to one upstream which names a limit for some time.

use rail_limit::{
    IssuerRank, IssuingShare, KnownLimits, Limit, LimitKey, LimitStatement, Permit, PermitIssuer,
    RequestRate, rank_issuers,
};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const TICK: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_secs(4);
/// Time from which requests are judged, and for which a disturbance excuses a host (`ContactMs`).
const CONTACT_TIME: Duration = Duration::from_secs(3);
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Time for which the upstream names its limit.
const NAMED_FROM: Duration = Duration::from_secs(2);
const NAMED_UNTIL: Duration = Duration::from_secs(16);
const END: Duration = Duration::from_secs(24);
/// Time without a heartbeat after which a host counts as gone.
const SUSPECT_AFTER: Duration = Duration::from_millis(2500);
/// Time after which an issuer that doesn't reply is given up.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause after a question that nobody answered.
const SILENCE_PAUSE: Duration = Duration::from_millis(300);

/// What disturbs a host for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    Frozen,
    /// It reaches the upstream and its callers, and no other host.
    Alone,
    /// It reaches the hosts of its own half only.
    Halves,
    /// It joins the fleet.
    Absent,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    hosts: usize,
    limit: f64,
    /// Requests a second over all hosts.
    demand: f64,
    trouble: Trouble,
    /// Share of the hosts that are disturbed.
    share: f64,
    seed: u64,
}

struct Host {
    known: KnownLimits,
    issuer: PermitIssuer,
    pause_until: Duration,
    told_at: Option<Duration>,
    trouble: Trouble,
    from: Duration,
    until: Duration,
}

impl Host {
    fn is_in_trouble(&self, now: Duration) -> bool {
        self.trouble != Trouble::None && (self.from..self.until).contains(&now)
    }

    fn runs(&self, now: Duration) -> bool {
        !(self.is_in_trouble(now) && matches!(self.trouble, Trouble::Frozen | Trouble::Absent))
    }

    /// Returns whether requests of this host aren't counted. Those of hosts that are cut off from
    /// others are, although the rule excuses them too.
    fn is_excused(&self, now: Duration) -> bool {
        matches!(self.trouble, Trouble::Frozen | Trouble::Absent)
            && (self.from..self.until + CONTACT_TIME).contains(&now)
    }
}

struct Fleet {
    scenario: Scenario,
    names: Vec<String>,
    hosts: Vec<Host>,
    start: LimitKey,
    /// Time, host and whether it had been told of the limit long enough.
    arrivals: Vec<(Duration, usize, bool)>,
    /// Answers on their way: time of arrival, host, statement.
    answers: Vec<(Duration, usize, LimitStatement)>,
    /// Requests on their way to the upstream.
    sends: Vec<(Duration, usize)>,
    draws: u64,
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let names: Vec<String> = (0..scenario.hosts).map(|host| format!("h{host}")).collect();
        let start = LimitKey { upstream: "u".to_owned(), started_unix_ms: Some(1) };
        let mut fleet = Self {
            scenario,
            names,
            hosts: Vec::new(),
            start,
            arrivals: Vec::new(),
            answers: Vec::new(),
            sends: Vec::new(),
            draws: scenario.seed << 32,
        };
        for _ in 0..scenario.hosts {
            let is_disturbed = fleet.random() < scenario.share;
            let trouble = if is_disturbed { scenario.trouble } else { Trouble::None };
            let from = match trouble {
                Trouble::Absent => Duration::ZERO,
                _ => Duration::from_secs_f64(3.0 + 6.0 * fleet.random()),
            };
            let until = match trouble {
                Trouble::Absent => Duration::from_secs_f64(3.0 + 6.0 * fleet.random()),
                _ => from + Duration::from_secs_f64(0.5 + 5.0 * fleet.random()),
            };
            fleet.hosts.push(Host {
                known: KnownLimits::default(),
                issuer: PermitIssuer::default(),
                pause_until: Duration::ZERO,
                told_at: None,
                trouble,
                from,
                until,
            });
        }
        fleet
    }

    fn random(&mut self) -> f64 {
        self.draws += 1;
        (xxh3_64(&self.draws.to_le_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn reaches(&self, host: usize, other: usize, now: Duration) -> bool {
        if host == other {
            return true;
        }
        let are_apart = |a: usize, b: usize| {
            self.hosts[a].is_in_trouble(now)
                && match self.hosts[a].trouble {
                    Trouble::Alone => true,
                    Trouble::Halves => a % 2 != b % 2,
                    Trouble::None | Trouble::Frozen | Trouble::Absent => false,
                }
        };
        self.hosts[other].runs(now) && !are_apart(host, other) && !are_apart(other, host)
    }

    /// Returns the hosts of which this one has a recent heartbeat; each pair of hosts notices a
    /// change after another time.
    fn live_hosts(&self, host: usize, now: Duration) -> Vec<usize> {
        let is_live = |other: &usize| {
            let lag = (host * 7 + other * 13) % 10;
            let heard_ago = Duration::from_millis(lag as u64 * 50);
            let was_reached = |ago: Duration| self.reaches(host, *other, now.saturating_sub(ago));
            let steps = SUSPECT_AFTER.as_millis() as u64 / 250;
            was_reached(heard_ago)
                || (0..steps).any(|step| was_reached(heard_ago + Duration::from_millis(step * 250)))
        };
        (0..self.hosts.len()).filter(is_live).collect()
    }

    fn known_hosts(&self, now: Duration) -> usize {
        let has_joined = |host: &&Host| host.trouble != Trouble::Absent || now >= host.until;
        self.hosts.iter().filter(has_joined).count()
    }

    fn issuers(&self, host: usize, now: Duration) -> Vec<usize> {
        let live = self.live_hosts(host, now);
        let names = live.iter().map(|other| self.names[*other].as_str());
        let ranked: Vec<String> = rank_issuers("u", names).map(str::to_owned).collect();
        let position = |name: &String| self.names.iter().position(|other| other == name);
        ranked.iter().filter_map(position).collect()
    }

    /// Asks for a permit, and returns whether the request may be sent and when.
    fn ask(&mut self, host: usize, now: Duration) -> Option<Duration> {
        let limit = self.hosts[host].known.find(&self.start).filter(|limit| limit.rate.is_some());
        let Some(limit) = limit else { return Some(now) };
        if now < self.hosts[host].pause_until {
            return None;
        }
        let mut asked_at = now;
        for issuer in self.issuers(host, now) {
            if !self.reaches(host, issuer, asked_at) {
                asked_at += REPLY_TIMEOUT;
                continue;
            }
            let is_first = self.issuers(issuer, asked_at).first() == Some(&issuer);
            let share = IssuingShare {
                rank: if is_first { IssuerRank::Issuer } else { IssuerRank::StandIn },
                live_hosts: self.live_hosts(issuer, asked_at).len(),
                known_hosts: self.known_hosts(asked_at),
            };
            let is_urgent = self.random() < 0.5;
            let issuing = &mut self.hosts[issuer];
            issuing.known.merge(&self.start, limit);
            let newest = issuing.known.find(&self.start).unwrap_or(limit);
            let permit = newest
                .rate
                .map(|rate| issuing.issuer.request(&self.start, rate, share, is_urgent, asked_at));
            self.hosts[host].known.merge(&self.start, newest);
            match permit {
                None | Some(Permit::Granted) => return Some(asked_at + TICK),
                Some(Permit::Refused(wait)) => self.hosts[host].pause_until = asked_at + wait,
            }
            return None;
        }
        self.hosts[host].pause_until = asked_at + SILENCE_PAUSE;
        None
    }

    fn tell_issuer(&mut self, host: usize, limit: Limit, now: Duration) {
        let first = self.issuers(host, now).first().copied();
        if let Some(issuer) = first.filter(|issuer| self.reaches(host, *issuer, now)) {
            self.hosts[issuer].known.merge(&self.start, limit);
        }
    }

    fn run(&mut self) {
        let per_tick = self.scenario.demand / self.scenario.hosts as f64 * TICK.as_secs_f64();
        let mut now = Duration::ZERO;
        while now < END {
            for host in 0..self.hosts.len() {
                if self.hosts[host].runs(now)
                    && self.random() < per_tick
                    && let Some(at) = self.ask(host, now)
                {
                    let wait = Duration::from_millis((self.random() * 20.0) as u64);
                    self.sends.push((at + wait, host));
                }
            }
            self.deliver(now);
            now += TICK;
        }
    }

    fn deliver(&mut self, now: Duration) {
        let statement = if (NAMED_FROM..NAMED_UNTIL).contains(&now) {
            LimitStatement::Named(RequestRate::per_second(self.scenario.limit).expect("a rate"))
        } else {
            LimitStatement::NotNamed
        };
        for (_, host) in self.sends.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            let told = self.hosts[host].told_at.is_some_and(|told_at| now >= told_at + TOLD_TIME);
            let is_counted = told && !self.hosts[host].is_excused(now);
            self.arrivals.push((now, host, is_counted));
            let answered_at = now + Duration::from_millis(20 + (self.random() * 60.0) as u64);
            self.answers.push((answered_at, host, statement));
        }
        let arrived: Vec<_> = self.answers.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, host, statement) in arrived {
            if !self.hosts[host].runs(now) {
                continue;
            }
            if matches!(statement, LimitStatement::Named(_)) {
                self.hosts[host].told_at.get_or_insert(now);
            }
            if self.hosts[host].known.record_answer(&self.start, statement, now)
                && let Some(limit) = self.hosts[host].known.find(&self.start)
            {
                self.tell_issuer(host, limit, now);
            }
        }
    }

    fn most_in_window(&self) -> usize {
        let judged = NAMED_FROM + CONTACT_TIME..NAMED_UNTIL;
        let counted: Vec<Duration> = self
            .arrivals
            .iter()
            .filter(|(at, _, is_counted)| *is_counted && judged.contains(at))
            .map(|(at, _, _)| *at)
            .collect();
        let until = |from: &Duration| counted.partition_point(|at| *at < *from + WINDOW);
        let counts = counted.iter().enumerate().map(|(index, from)| until(from) - index);
        counts.max().unwrap_or(0)
    }

    fn rate_between(&self, from: Duration, until: Duration) -> f64 {
        let count = self.arrivals.iter().filter(|(at, _, _)| (from..until).contains(at)).count();
        count as f64 / until.saturating_sub(from).as_secs_f64()
    }
}

fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn scenarios(trouble: Trouble, share: f64, seeds: u64) -> impl Iterator<Item = Scenario> {
    let sizes = [(3, 8), (9, 8), (60, 2), (380, 1)];
    let limits: [f64; 5] = [0.0, 0.2, 1.3, 4.9, 30.0];
    sizes.into_iter().flat_map(move |(hosts, factor)| {
        limits.into_iter().flat_map(move |limit| {
            (0..(seeds * factor).div_ceil(8)).map(move |seed| {
                let demand = (limit * 6.0).max(25.0);
                Scenario { hosts, limit, demand, trouble, share, seed }
            })
        })
    })
}

fn assert_kept(trouble: Trouble, share: f64) {
    for scenario in scenarios(trouble, share, 8) {
        let mut fleet = Fleet::new(scenario);
        fleet.run();
        let most = fleet.most_in_window() as f64;
        assert!(most <= allowed(scenario.limit), "{most} requests, {scenario:?}");
    }
}

/// Guards against hosts that each take a limit for their own.
#[test]
fn many_hosts_together_exceed_a_limit() {
    for scenario in scenarios(Trouble::None, 0.0, 8) {
        let mut fleet = Fleet::new(scenario);
        fleet.run();
        let most = fleet.most_in_window() as f64;
        assert!(most <= allowed(scenario.limit), "{most} requests, {scenario:?}");
        let used = fleet.rate_between(NAMED_FROM + CONTACT_TIME + WINDOW, NAMED_UNTIL);
        assert!(used >= 0.4 * scenario.limit, "only {used} a second, {scenario:?}");
        let returned = fleet.rate_between(NAMED_UNTIL + WINDOW, END);
        assert!(returned >= 0.8 * scenario.demand, "only {returned} a second after, {scenario:?}");
    }
}

/// Guards against permits that an issuer gives out beside the one before it.
#[test]
fn hosts_that_freeze_exceed_a_limit() {
    assert_kept(Trouble::Frozen, 0.4);
}

/// Guards against hosts that each believe to be the only one.
#[test]
fn hosts_that_hear_of_no_other_exceed_a_limit() {
    assert_kept(Trouble::Alone, 0.3);
    assert_kept(Trouble::Alone, 1.0);
}

/// Guards against an issuer in each half of a fleet.
#[test]
fn halves_of_a_fleet_exceed_a_limit() {
    assert_kept(Trouble::Halves, 1.0);
}

/// Guards against hosts that join and take over the permits of an upstream.
#[test]
fn hosts_that_join_exceed_a_limit() {
    assert_kept(Trouble::Absent, 0.5);
}
