//! Issuer of the quotas: deducts what hosts use, and grants room while there is some.

use crate::{
    message::{AccountDecision, AccountRequest, HostKey, IssuerTime, QuotaReply, QuotaRequest},
    quota::{Quota, QuotaTolerance},
    workspace::WorkspaceName,
};
use rail_place::TokenBucket;
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Longest time between two updates of an issuer that has not been standing still.
const MAX_UPDATE_GAP: Duration = Duration::from_secs(1);
/// Time in which the smallest bucket fills.
const MIN_BURST_TIME: Duration = Duration::from_millis(100);
/// Share of the available units that one reply may use, beyond the first waiting request.
const MAX_REPLY_SHARE: f64 = 0.5;
/// Shortest and longest time after which a refused host may ask again.
const RETRY: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(1);
/// Time added for each pledged host, so that a large fleet asks no more often than a small one.
const RETRY_PER_HOST: Duration = Duration::from_millis(2);
/// Time for which the messages of a host are remembered after its pledge.
const HOST_MEMORY: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Pledge {
    sequence: u64,
    until: Duration,
}

/// Issues the quotas of all workspaces to the hosts that have pledged themselves to this one.
///
/// Each host pledges itself to one issuer at a time. An issuer uses the share of every quota that
/// is its pledged hosts over the known ones, so the issuers in parts of a divided fleet together
/// use each quota once. Buckets start empty, since another issuer may have been at work until now.
#[derive(Debug, Clone)]
pub struct QuotaIssuer {
    process: u64,
    pledges: HashMap<HostKey, Pledge>,
    buckets: HashMap<WorkspaceName, TokenBucket>,
    pledged_hosts: usize,
    share: f64,
    updated_at: Duration,
}

impl QuotaIssuer {
    /// Creates the issuer of a process, to which no host is pledged.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            pledges: HashMap::new(),
            buckets: HashMap::new(),
            pledged_hosts: 0,
            share: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    /// Returns the share of the quotas that this issuer uses.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether hosts are pledged to this issuer, so that it must be updated.
    pub fn is_active(&self) -> bool {
        self.pledged_hosts > 0
    }

    /// Lets the buckets of all quotas fill until now. `known_hosts` is the number of hosts that may
    /// be pledged to any issuer; `None` if it is not known yet, when nothing may be issued.
    pub fn update<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a WorkspaceName, Quota)>,
        tolerance: QuotaTolerance,
        known_hosts: Option<usize>,
        now: Duration,
    ) {
        self.update_share(known_hosts, now);
        let mut buckets = std::mem::take(&mut self.buckets);
        for (workspace, quota) in quotas {
            let mut bucket = buckets.remove(workspace).unwrap_or_else(|| empty_bucket(now));
            self.fill(&mut bucket, &quota, tolerance, now);
            self.buckets.insert(WorkspaceName::clone(workspace), bucket);
        }
    }

    /// Records the pledge of a host and decides on its accounts. A workspace for which `find_quota`
    /// returns none has no limit.
    pub fn serve(
        &mut self,
        request: &QuotaRequest,
        find_quota: impl Fn(&str) -> Option<Quota>,
        tolerance: QuotaTolerance,
        known_hosts: Option<usize>,
        now: Duration,
    ) -> QuotaReply {
        self.record_pledge(request, now);
        self.update_share(known_hosts, now);
        let decisions = request.accounts.iter().map(|account| {
            let Some(quota) = find_quota(&account.workspace) else {
                let paid = account.spent.saturating_add(account.waiting);
                return AccountDecision { paid, retry_ms: None };
            };
            self.decide(account, &quota, tolerance, now)
        });
        let decisions = decisions.collect();
        QuotaReply { time: self.time(now), decisions }
    }

    fn time(&self, now: Duration) -> IssuerTime {
        IssuerTime { process: self.process, at_ms: now.as_millis() as u64 }
    }

    /// A pledge counts from the time that the host has heard, not from the arrival of its message,
    /// which may have been on its way for long.
    fn record_pledge(&mut self, request: &QuotaRequest, now: Duration) {
        let known = self.pledges.get(&request.host);
        if known.is_some_and(|known| known.sequence >= request.sequence) {
            return;
        }
        let heard = request.heard.filter(|heard| heard.process == self.process);
        let heard_at = heard.map(|heard| Duration::from_millis(heard.at_ms));
        let heard_at = heard_at.filter(|at| *at <= now);
        let pledge_time = Duration::from_millis(request.pledge_ms.into());
        let until = heard_at.map_or(now, |at| at + pledge_time);
        self.pledges.insert(request.host, Pledge { sequence: request.sequence, until });
    }

    fn update_share(&mut self, known_hosts: Option<usize>, now: Duration) {
        if now > self.updated_at + MAX_UPDATE_GAP {
            // Other issuers may have been at work while this process stood still.
            self.buckets.clear();
        }
        self.updated_at = now;
        self.pledges.retain(|_, pledge| now < pledge.until + HOST_MEMORY);
        self.pledged_hosts = self.pledges.values().filter(|pledge| now < pledge.until).count();
        self.share = known_hosts.map_or(0.0, |known| {
            self.pledged_hosts as f64 / known.max(self.pledged_hosts).max(1) as f64
        });
    }

    fn fill(
        &self,
        bucket: &mut TokenBucket,
        quota: &Quota,
        tolerance: QuotaTolerance,
        now: Duration,
    ) {
        bucket.refill(now);
        let min_burst = quota.rate_per_s * MIN_BURST_TIME.as_secs_f64();
        let burst = (quota.burst + quota.margin(tolerance).burst).max(min_burst);
        bucket.set_rate(quota.rate_per_s * self.share, burst * self.share);
    }

    fn decide(
        &mut self,
        account: &AccountRequest,
        quota: &Quota,
        tolerance: QuotaTolerance,
        now: Duration,
    ) -> AccountDecision {
        let name = WorkspaceName::from(account.workspace.as_str());
        let mut bucket = self.buckets.remove(&name).unwrap_or_else(|| empty_bucket(now));
        self.fill(&mut bucket, quota, tolerance, now);
        let overdraft = quota.margin(tolerance).overdraft * self.share;
        let (available, needed) = (bucket.available(), account.needed as f64);
        let least = (needed - overdraft).max(0.0);
        let is_granted = account.needed == 0 || (available > 0.0 && available >= least);
        let owed =
            if is_granted { account.spent.saturating_add(account.waiting) } else { account.spent };
        let fair = (available.max(0.0) * MAX_REPLY_SHARE) as u64;
        let least_paid = if is_granted { account.needed } else { 0 };
        let paid = fair.max(least_paid).min(owed);
        bucket.spend(paid as f64);
        let retry = (!is_granted).then(|| self.retry_after(&bucket, least));
        self.buckets.insert(name, bucket);
        AccountDecision { paid, retry_ms: retry.map(|time| time.as_millis() as u32) }
    }

    fn retry_after(&self, bucket: &TokenBucket, least: f64) -> Duration {
        let wait = bucket.time_until_available(least.max(f64::MIN_POSITIVE));
        let spread = RETRY_PER_HOST * self.pledged_hosts as u32;
        wait.clamp(*RETRY.start(), *RETRY.end()) + spread
    }
}

fn empty_bucket(now: Duration) -> TokenBucket {
    TokenBucket::new(0.0, 0.0, now)
}

/// A host that may issue the quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IssuerCandidate<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Capacity relative to other hosts, in thousandths of a core.
    pub capacity_milli: u32,
    /// Start of its process in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// Orders hosts by which of them issues the quotas: larger hosts first, and among hosts of the same
/// capacity those that run for longest, so that a restart moves the quotas once and not back again.
/// All hosts with the same view compute the same order.
pub fn rank_issuers<'a>(candidates: impl Iterator<Item = IssuerCandidate<'a>>) -> Vec<&'a str> {
    let mut ranked: Vec<IssuerCandidate<'a>> = candidates.collect();
    ranked.sort_unstable_by_key(|candidate| {
        (Reverse(candidate.capacity_milli), candidate.started_unix_ms, candidate.host)
    });
    ranked.into_iter().map(|candidate| candidate.host).collect()
}
