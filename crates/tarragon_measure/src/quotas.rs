//! Cost of charges to quotas, and messages between hosts and the issuer.

use crate::{Result, print_metric};
use rail_workspace::{
    HostQuotas, IssuerCall, IssuerCandidate, Quota, QuotaIssuer, QuotaReply, QuotaTolerance,
    QuotaUnit, Shortage, WaitingCharge, WorkspaceName, rank_issuers,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Tolerance of all quotas.
const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(8), excess: 0.1, slack: 110_000.0 };
/// Exponent by which the demand of the workspaces falls off.
const SKEW: f64 = 1.2;
/// Rate of a quota over the demand of its workspace.
const HEADROOM: f64 = 1.8;
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Simulated time of which the messages are counted.
const COUNTED_TIME: Duration = Duration::from_secs(60);
/// Bytes of the headers of IP, UDP and QUIC and of the tag of one packet.
const PACKET_BYTES: usize = 60;
/// Packets of one exchange: message, reply and acknowledgement.
const EXCHANGE_PACKETS: usize = 3;

/// What is measured.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Requests a second at each host.
    pub requests_per_s: f64,
    /// Mean cost of a request in units.
    pub mean_cost: f64,
}

struct Fleet {
    scale: Scale,
    names: Vec<WorkspaceName>,
    quotas: Vec<Quota>,
    shares: Vec<f64>,
    hosts: Vec<HostQuotas>,
    issuer: QuotaIssuer,
    random: ChaCha8Rng,
    calls: u64,
    bytes: usize,
    charges: u64,
    asked: u64,
}

/// Measures the time of one charge and the messages of a fleet at its usual demand.
pub fn measure(scale: Scale) -> Result<()> {
    let mut fleet = Fleet::new(scale);
    print_metric("hosts", scale.hosts);
    print_metric("workspaces", scale.workspaces);
    print_metric("nanoseconds a charge", fleet.time_charges().as_nanos());
    fleet.run()?;
    let host_seconds = COUNTED_TIME.as_secs() as f64 * scale.hosts as f64;
    let exchanges_per_s = fleet.calls as f64 / host_seconds;
    let payload_per_s = fleet.bytes as f64 / host_seconds;
    let headers_per_s = exchanges_per_s * (PACKET_BYTES * EXCHANGE_PACKETS) as f64;
    print_metric("exchanges a second and host", format!("{exchanges_per_s:.2}"));
    print_metric("payload bytes a second and host", format!("{payload_per_s:.0}"));
    print_metric("with headers (by arithmetic)", format!("{:.0}", payload_per_s + headers_per_s));
    let asked = fleet.asked as f64 / fleet.charges.max(1) as f64;
    print_metric("share of requests that wait for the issuer", format!("{asked:.3}"));
    Ok(())
}

impl Fleet {
    fn new(scale: Scale) -> Self {
        let weights: Vec<f64> =
            (1..=scale.workspaces).map(|rank| (rank as f64).powf(-SKEW)).collect();
        let sum: f64 = weights.iter().sum();
        let shares: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
        let demand = scale.requests_per_s * scale.mean_cost * scale.hosts as f64;
        let quota = |share: &f64| Quota {
            unit: QuotaUnit::Tokens { unstated: 200 },
            rate_per_s: demand * share * HEADROOM,
            burst: demand * share * HEADROOM,
        };
        Self {
            scale,
            names: (0..scale.workspaces).map(|n| format!("workspace-{n}").into()).collect(),
            quotas: shares.iter().map(quota).collect(),
            shares,
            hosts: (0..scale.hosts)
                .map(|host| HostQuotas::new(&format!("host-{host}"), 0, Duration::ZERO))
                .collect(),
            issuer: QuotaIssuer::new(1),
            random: ChaCha8Rng::seed_from_u64(1),
            calls: 0,
            bytes: 0,
            charges: 0,
            asked: 0,
        }
    }

    /// Returns the time of one charge on credit.
    fn time_charges(&mut self) -> Duration {
        const CHARGES: u32 = 1_000_000;
        let chosen: Vec<usize> = (0..1024).map(|_| self.choose()).collect();
        let mut host = HostQuotas::new("host", 0, Duration::ZERO);
        let started = Instant::now();
        for number in 0..CHARGES {
            let workspace = chosen[number as usize % chosen.len()];
            let credit = self.quotas[workspace].host_credit(TOLERANCE, self.scale.hosts);
            let charged = host.charge(&self.names[workspace], 1, credit, Duration::ZERO);
            if let Ok(charge) = black_box(charged) {
                let time = self.quotas[workspace].margin(TOLERANCE).give_back_time;
                black_box(host.give_back(&self.names[workspace], charge, time, Duration::ZERO));
            }
        }
        started.elapsed() / CHARGES
    }

    fn choose(&mut self) -> usize {
        let indexes: Vec<usize> = (0..self.shares.len()).collect();
        let chosen = indexes.choose_weighted(&mut self.random, |index| self.shares[*index]);
        chosen.map_or(0, |index| *index)
    }

    fn run(&mut self) -> Result<()> {
        let settled = Duration::from_secs(5);
        let mut now = Duration::ZERO;
        while now < settled + COUNTED_TIME {
            if now == settled {
                (self.calls, self.bytes, self.charges, self.asked) = (0, 0, 0, 0);
            }
            for host in 0..self.hosts.len() {
                let waiting = self.send_request(host, now);
                if waiting.is_some() || now >= self.hosts[host].next_call_at(now) {
                    self.call(host, waiting, now)?;
                }
            }
            let quotas = self.names.iter().zip(&self.quotas).map(|(name, quota)| (name, *quota));
            self.issuer.update(quotas, TOLERANCE, Some(self.scale.hosts), now);
            now += STEP;
        }
        Ok(())
    }

    /// Charges a request in some of the steps. Returns it if it has to wait for the issuer.
    fn send_request(&mut self, host: usize, now: Duration) -> Option<WaitingCharge> {
        if self.random.random::<f64>() >= self.scale.requests_per_s * STEP.as_secs_f64() {
            return None;
        }
        let workspace = self.choose();
        let size = self.random.random::<f64>();
        let factor = if size < 0.95 { 0.2 + size } else { 7.0 };
        let cost = (self.scale.mean_cost * factor) as u64;
        let credit = self.quotas[workspace].host_credit(TOLERANCE, self.scale.hosts);
        let charged = self.hosts[host].charge(&self.names[workspace], cost, credit, now);
        self.charges += 1;
        let needs_issuer = charged == Err(Shortage::NeedsIssuer);
        self.asked += u64::from(needs_issuer);
        let workspace = WorkspaceName::clone(&self.names[workspace]);
        needs_issuer.then_some(WaitingCharge { workspace, cost })
    }

    fn call(&mut self, host: usize, waiting: Option<WaitingCharge>, now: Duration) -> Result<()> {
        let candidate = IssuerCandidate { host: "host-0", capacity_milli: 500, started_unix_ms: 0 };
        let ranked = rank_issuers([candidate].into_iter());
        let waiting: Vec<WaitingCharge> = waiting.into_iter().collect();
        let Ok(call) = self.hosts[host].next_call(&ranked, &waiting, now) else { return Ok(()) };
        let reply = self.serve(&call, now);
        self.calls += 1;
        self.bytes += postcard::to_allocvec(&call.request)?.len();
        self.bytes += postcard::to_allocvec(&reply)?.len();
        self.hosts[host].apply_reply(&call, &reply, now);
        for charge in waiting {
            let index = self.names.iter().position(|name| *name == charge.workspace);
            let credit = index
                .map_or(0, |index| self.quotas[index].host_credit(TOLERANCE, self.scale.hosts));
            black_box(self.hosts[host].charge(&charge.workspace, charge.cost, credit, now).is_ok());
        }
        self.hosts[host].finish_reply(now);
        Ok(())
    }

    fn serve(&mut self, call: &IssuerCall, now: Duration) -> QuotaReply {
        let (names, quotas) = (&self.names, &self.quotas);
        let find = |workspace: &str| {
            names.iter().position(|name| **name == *workspace).map(|index| quotas[index])
        };
        self.issuer.serve(&call.request, find, TOLERANCE, Some(self.scale.hosts), now)
    }
}
