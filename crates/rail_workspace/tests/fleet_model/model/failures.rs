//! Failures of hosts and links, and which hosts each one sees as live.

use super::{Fleet, Host, SETTLED, TICK, load::WINDOW};
use rail_workspace::{HostQuotas, IssuerCandidate, QuotaIssuer, rank_issuers};
use std::time::Duration;

/// Time without heartbeats after which a host no longer counts as live.
const SUSPECT_AFTER: Duration = Duration::from_millis(2500);

/// Kind of failure in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    None,
    /// Processes stand still and go on later.
    Frozen,
    /// Processes end and start again.
    Killed,
    /// The host that issues to most is killed every so many seconds.
    IssuerKilled {
        every_s: u64,
    },
    /// Neither half of the fleet reaches the other.
    Halves,
    /// The same, but heartbeats of each half arrive in the other.
    HalvesUnnoticed,
    /// A host reaches no other one.
    Alone,
    /// Messages are lost, and others arrive late.
    Lossy,
}

/// All kinds of failures.
pub const FAILURES: [Failure; 8] = [
    Failure::None,
    Failure::Frozen,
    Failure::Killed,
    Failure::IssuerKilled { every_s: 3 },
    Failure::Halves,
    Failure::HalvesUnnoticed,
    Failure::Alone,
    Failure::Lossy,
];

impl Fleet {
    /// Returns whether processes end and lose their state.
    pub fn ends_processes(&self) -> bool {
        matches!(self.failure, Failure::Killed | Failure::IssuerKilled { .. })
    }

    /// Returns whether the process of a host runs.
    pub fn runs(&self, host: usize, now: Duration) -> bool {
        let stops = self.ends_processes() || self.failure == Failure::Frozen;
        !(stops && self.hosts[host].is_failing(now))
    }

    /// Returns whether messages between two hosts arrive.
    pub fn are_linked(&self, a: usize, b: usize, now: Duration) -> bool {
        let is_cut = |host: usize, other: usize| {
            self.hosts[host].is_failing(now)
                && match self.failure {
                    Failure::Alone => true,
                    Failure::Halves | Failure::HalvesUnnoticed => host % 2 != other % 2,
                    _ => false,
                }
        };
        a == b || !(is_cut(a, b) || is_cut(b, a))
    }

    fn hears_heartbeats(&self, host: usize, other: usize, now: Duration) -> bool {
        let is_linked =
            self.failure == Failure::HalvesUnnoticed || self.are_linked(host, other, now);
        self.runs(other, now) && is_linked
    }

    /// Returns the hosts that one sees as live, in the order in which they issue; each pair notices
    /// a change after another time.
    pub fn ranked(&self, host: usize, now: Duration) -> Vec<&str> {
        let is_live = |other: &usize| {
            let lag = Duration::from_millis((host * 7 + other * 13) as u64 % 10 * 50);
            let steps = SUSPECT_AFTER.as_millis() as u64 / 500;
            let was_heard = |step: u64| {
                let ago = lag + Duration::from_millis(step * 500);
                self.hears_heartbeats(host, *other, now.saturating_sub(ago))
            };
            now >= self.hosts[*other].started_at + lag && (0..=steps).any(was_heard)
        };
        let live = (0..self.hosts.len()).filter(is_live);
        rank_issuers(live.map(|other| IssuerCandidate {
            host: &self.hosts[other].name,
            capacity_milli: 500,
            started_unix_ms: self.hosts[other].started_at.as_millis() as u64,
        }))
    }

    /// Ends the host that issues to most others, for half a second.
    pub fn kill_issuer(&mut self, now: Duration) {
        let Failure::IssuerKilled { every_s } = self.failure else { return };
        if !now.as_millis().is_multiple_of(u128::from(every_s) * 1000) || now < SETTLED {
            return;
        }
        let share = |host: &&mut Host| (host.issuer.share() * 1000.0) as u64;
        if let Some(issuer) = self.hosts.iter_mut().max_by_key(share) {
            issuer.failing.push((now, now + Duration::from_millis(500)));
        }
    }

    /// Starts the process of a host again when the time of its failure has passed.
    pub fn restart_if_killed(&mut self, index: usize, now: Duration) {
        let kills = self.ends_processes();
        let host = &mut self.hosts[index];
        let ends_now = host.failing.iter().any(|(_, until)| (*until..*until + TICK).contains(&now));
        if !kills || !ends_now || host.is_failing(now) {
            return;
        }
        host.starts += 1;
        host.started_at = now;
        let clock = host.clock(now);
        host.quotas = HostQuotas::new(&host.name, host.starts << 32, clock + WINDOW);
        host.issuer = QuotaIssuer::new(index as u64 + (host.starts << 16));
        host.waiting.clear();
        host.refused.clear();
        host.call = None;
    }
}
