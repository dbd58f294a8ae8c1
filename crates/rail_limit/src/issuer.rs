//! Permits for requests to upstreams that name a limit, issued by one host for all.

use crate::{known::LimitKey, rate::RequestRate};
use rail_place::{TokenBucket, rank_engines};
use std::{collections::HashMap, time::Duration};

/// Rate at which requests go to an upstream that names less, so that its answers can tell of the
/// end of its limit.
const MIN_RATE_PER_S: f64 = 0.3;
/// Permits that may be issued at once.
const MIN_BURST: f64 = 2.0;
/// Time in which the burst of a high rate is used up.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Share of the rate that a host uses which stands in for the issuer.
const STAND_IN_SHARE: f64 = 0.25;
/// Time without a request after which a bucket is removed.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Shortest and longest time after which a host may ask again.
const ASK_AGAIN: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(40)..=Duration::from_secs(1);
/// Time added for each host that may ask, so that the questions of a large fleet stay few.
const ASK_AGAIN_PER_HOST: Duration = Duration::from_millis(10);

/// Whether a host issues the permits of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IssuerRank {
    /// It is the issuer.
    Issuer,
    /// It is asked only because the issuer does not reply.
    StandIn,
}

/// The part of an upstream's limit that this issuer may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IssuingShare {
    /// Rank of this host.
    pub rank: IssuerRank,
    /// Hosts from which this one hears, itself included.
    pub live_hosts: usize,
    /// Hosts that it knows, which may issue permits elsewhere if it doesn't hear from them.
    pub known_hosts: usize,
}

impl IssuingShare {
    fn factor(&self) -> f64 {
        let heard =
            self.live_hosts.max(1) as f64 / self.known_hosts.max(self.live_hosts).max(1) as f64;
        match self.rank {
            IssuerRank::Issuer => heard,
            IssuerRank::StandIn => heard * STAND_IN_SHARE,
        }
    }
}

/// Decision on one request to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// No permit is left; the host may ask again after this time.
    Refused(Duration),
}

#[derive(Debug, Clone)]
struct Bucket {
    tokens: TokenBucket,
    asked_at: Duration,
}

/// Issues the permits of upstreams for all hosts.
#[derive(Debug, Clone, Default)]
pub struct PermitIssuer {
    buckets: HashMap<LimitKey, Bucket>,
}

impl PermitIssuer {
    /// Decides on a request to an upstream that names this rate. The last permit of a burst is kept
    /// for urgent requests.
    ///
    /// A new bucket is empty, since another host may have issued permits until now.
    pub fn request(
        &mut self,
        start: &LimitKey,
        rate: RequestRate,
        share: IssuingShare,
        is_urgent: bool,
        now: Duration,
    ) -> Permit {
        let bucket = self.buckets.entry(start.clone()).or_insert_with(|| Bucket {
            tokens: TokenBucket::new(0.0, MIN_BURST, now),
            asked_at: now,
        });
        let named = rate.requests_per_s().max(MIN_RATE_PER_S);
        let rate_per_s = named * share.factor();
        bucket.tokens.refill(now);
        bucket.tokens.set_rate(rate_per_s, MIN_BURST.max(named * BURST_TIME.as_secs_f64()));
        bucket.asked_at = now;
        match bucket.tokens.acquire(if is_urgent { 1.0 } else { MIN_BURST }) {
            Ok(()) => Permit::Granted,
            Err(wait) => Permit::Refused(ask_again_after(wait, share.live_hosts)),
        }
    }

    /// Removes buckets that nobody uses any more.
    pub fn prune(&mut self, now: Duration) {
        self.buckets.retain(|_, bucket| now < bucket.asked_at + IDLE_TIME);
    }
}

fn ask_again_after(wait: Duration, hosts: usize) -> Duration {
    let spread = ASK_AGAIN_PER_HOST * hosts as u32;
    wait.clamp(*ASK_AGAIN.start(), *ASK_AGAIN.end()).max(spread)
}

/// Orders hosts by which of them issues the permits of an upstream: the first, and the second while
/// the first does not reply. All hosts with the same view compute the same order.
pub fn rank_issuers<'a>(
    upstream: &str,
    live_hosts: impl Iterator<Item = &'a str>,
) -> impl Iterator<Item = &'a str> {
    rank_engines(upstream, live_hosts).into_iter().take(2)
}
