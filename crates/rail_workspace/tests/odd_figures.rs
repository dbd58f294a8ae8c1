//! Quotas and costs at the ends of their ranges.

use rail_workspace::{
    HostQuotas, IssuerCandidate, Quota, QuotaIssuer, QuotaTolerance, QuotaUnit, Shortage,
    WaitingCharge, WorkspaceName, rank_issuers,
};
use std::time::Duration;

const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(8), excess: 0.1, slack: 100.0 };
const NO_TOLERANCE: QuotaTolerance = QuotaTolerance { excess: 0.0, slack: 0.0, ..TOLERANCE };

fn quota(rate_per_s: f64, burst: f64) -> Quota {
    Quota { unit: QuotaUnit::Tokens { unstated: 200 }, rate_per_s, burst }
}

/// One host that issues to itself for some time.
struct Host {
    quotas: HostQuotas,
    issuer: QuotaIssuer,
    workspace: WorkspaceName,
    quota: Quota,
    tolerance: QuotaTolerance,
    now: Duration,
}

impl Host {
    fn new(quota: Quota, tolerance: QuotaTolerance) -> Self {
        let mut host = Self {
            quotas: HostQuotas::new("h", 0, Duration::ZERO),
            issuer: QuotaIssuer::new(1),
            workspace: "w".into(),
            quota,
            tolerance,
            now: Duration::from_secs(100),
        };
        host.run(Duration::from_secs(5));
        host
    }

    /// Lets time pass, with the regular messages.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            self.call(&[]);
            let quotas = [(&self.workspace, self.quota)].into_iter();
            self.issuer.update(quotas, self.tolerance, Some(1), self.now);
        }
    }

    fn call(&mut self, waiting: &[WaitingCharge]) {
        let own = IssuerCandidate { host: "h", capacity_milli: 1, started_unix_ms: 0 };
        let ranked = rank_issuers([own].into_iter());
        let call = self.quotas.next_call(&ranked, waiting, self.now).expect("it reaches itself");
        let find = |_: &str| Some(self.quota);
        let reply = self.issuer.serve(&call.request, find, self.tolerance, Some(1), self.now);
        self.quotas.apply_reply(&call, &reply, self.now);
    }

    /// Returns whether a request is charged at once or after a question.
    fn charge(&mut self, cost: u64) -> bool {
        let credit = self.quota.host_credit(self.tolerance, 1);
        let charged = self.quotas.charge(&self.workspace, cost, credit, self.now);
        if charged != Err(Shortage::NeedsIssuer) {
            return charged.is_ok();
        }
        self.call(&[WaitingCharge { workspace: WorkspaceName::clone(&self.workspace), cost }]);
        let charged = self.quotas.charge(&self.workspace, cost, credit, self.now);
        self.quotas.finish_reply(self.now);
        charged.is_ok()
    }
}

/// Guards against rates, bursts and costs that overflow, divide by zero or end the process.
#[test]
fn odd_quotas_and_costs_end_no_process() {
    for rate in [f64::MIN_POSITIVE, 1e-6, 1.0, 1e12] {
        for burst in [0.0, 1.0, 1e12] {
            for tolerance in [TOLERANCE, NO_TOLERANCE] {
                let mut host = Host::new(quota(rate, burst), tolerance);
                for cost in [0, 1, 1000, u64::MAX / 2, u64::MAX] {
                    host.charge(cost);
                    host.run(Duration::from_millis(200));
                }
                assert!(!host.charge(u64::MAX), "rate {rate}, burst {burst}");
            }
        }
    }
}

/// Guards against a request that costs more than the burst and is refused although nothing else
/// runs, and against one that runs again before it has been made up for.
#[test]
fn a_request_beyond_the_burst_runs_as_a_debt() {
    let mut host = Host::new(quota(1000.0, 1000.0), TOLERANCE);
    assert!(host.charge(1300));
    assert!(!host.charge(1300));
    host.run(Duration::from_secs(4));
    assert!(host.charge(1300));
}

/// Guards against a quota without tolerance that grants nothing, or more than itself.
#[test]
fn a_quota_without_tolerance_is_kept_exactly() {
    let mut host = Host::new(quota(100.0, 50.0), NO_TOLERANCE);
    let mut charged = 0;
    for _ in 0..160 {
        for _ in 0..10 {
            charged += u32::from(host.charge(5)) * 5;
        }
        host.run(Duration::from_millis(100));
    }
    assert!((1500..=1650).contains(&charged), "{charged} units in 16 s");
}
