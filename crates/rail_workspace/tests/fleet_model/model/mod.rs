//! A fleet of hosts that charge requests to quotas and exchange messages, in simulated time.

mod charges;
mod failures;
mod load;
mod messages;
mod usage;

use charges::{Refused, Waiting};
use messages::Message;
use rail_workspace::{HostQuotas, IssuerCall, QuotaIssuer, WorkspaceName};
use std::{collections::VecDeque, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

pub use failures::{FAILURES, Failure};
pub use load::{Load, TOLERANCE, WINDOW};

/// Interval between the steps of a run.
const TICK: Duration = Duration::from_millis(10);
/// End of a run.
pub const END: Duration = Duration::from_secs(22);
/// Time from which the share of served requests is judged.
const SETTLED: Duration = Duration::from_secs(6);
/// Interval at which issuers update their quotas.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// A host with its clock and its part of the quotas.
struct Host {
    name: String,
    quotas: HostQuotas,
    issuer: QuotaIssuer,
    started_at: Duration,
    starts: u64,
    clock_offset: Duration,
    clock_speed: f64,
    waiting: VecDeque<Waiting>,
    refused: Vec<Refused>,
    call: Option<(IssuerCall, Duration)>,
    /// Spans in which the failure of the run affects it.
    failing: Vec<(Duration, Duration)>,
}

impl Host {
    fn clock(&self, now: Duration) -> Duration {
        self.clock_offset + now.mul_f64(self.clock_speed)
    }

    fn is_failing(&self, now: Duration) -> bool {
        self.failing.iter().any(|(from, until)| (*from..*until).contains(&now))
    }
}

/// Units that a request used.
struct Spent {
    at: Duration,
    load: usize,
    cost: u64,
}

/// Hosts, the messages between them, and what they have served.
pub struct Fleet {
    pub failure: Failure,
    pub seed: u64,
    draws: u64,
    pub loads: Vec<Load>,
    names: Vec<WorkspaceName>,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    spent: Vec<Spent>,
    /// Requests that callers sent in the judged time, by load.
    sent: Vec<u32>,
    /// Requests of those that were charged.
    charged: Vec<u32>,
}

impl Fleet {
    /// Creates a fleet of hosts, a `share` of which the failure affects.
    pub fn new(hosts: usize, loads: Vec<Load>, failure: Failure, share: f64, seed: u64) -> Self {
        let names = (0..loads.len()).map(|load| WorkspaceName::from(format!("w{load}"))).collect();
        let counts = vec![0; loads.len()];
        let mut fleet = Self {
            failure,
            seed,
            draws: seed << 32,
            loads,
            names,
            hosts: Vec::new(),
            messages: Vec::new(),
            spent: Vec::new(),
            sent: counts.clone(),
            charged: counts,
        };
        for index in 0..hosts {
            let host = fleet.new_host(index, share);
            fleet.hosts.push(host);
        }
        fleet
    }

    /// Creates a host whose process has been running for some time.
    fn new_host(&mut self, index: usize, failing_share: f64) -> Host {
        let clock_offset = Duration::from_secs_f64(100.0 + 1000.0 * self.random());
        let clock_speed = 0.999 + 0.002 * self.random();
        let fails = self.random() < failing_share;
        let (at_s, length_s) = (5.0 + 5.0 * self.random(), 0.3 + 5.0 * self.random());
        let span = |from_s: f64| {
            (Duration::from_secs_f64(from_s), Duration::from_secs_f64(from_s + length_s))
        };
        let spans = [span(at_s), span(at_s + length_s + 1.0)];
        let name = format!("h{index}");
        Host {
            quotas: HostQuotas::new(&name, 0, Duration::ZERO),
            name,
            issuer: QuotaIssuer::new(index as u64),
            started_at: Duration::ZERO,
            starts: 0,
            clock_offset,
            clock_speed,
            waiting: VecDeque::new(),
            refused: Vec::new(),
            call: None,
            failing: spans.into_iter().filter(|_| fails).collect(),
        }
    }

    fn random(&mut self) -> f64 {
        self.draws += 1;
        (xxh3_64(&self.draws.to_le_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Runs the fleet until [`END`].
    pub fn run(&mut self) {
        let mut now = Duration::ZERO;
        while now < END {
            self.kill_issuer(now);
            for host in 0..self.hosts.len() {
                self.restart_if_killed(host, now);
                if self.runs(host, now) {
                    self.update_issuer(host, now);
                    self.receive(host, now);
                    self.give_back(host, now);
                    self.send_requests(host, now);
                    self.call_issuer(host, now);
                }
            }
            now += TICK;
        }
    }

    fn update_issuer(&mut self, host: usize, now: Duration) {
        let is_time = now.as_millis().is_multiple_of(UPDATE_INTERVAL.as_millis());
        let known = Some(self.hosts.len());
        let (loads, names) = (&self.loads, &self.names);
        let host = &mut self.hosts[host];
        if is_time && host.issuer.is_active() {
            let quotas = names.iter().zip(loads).map(|(name, load)| (name, load.quota_at(now)));
            host.issuer.update(quotas, TOLERANCE, known, host.clock(now));
        }
    }
}
