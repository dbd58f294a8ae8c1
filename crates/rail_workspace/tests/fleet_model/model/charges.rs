//! Requests of callers, and what they are charged.

use super::{
    Fleet, SETTLED, Spent, TICK,
    load::{Load, TOLERANCE},
};
use rail_workspace::{Charge, Shortage};
use std::time::Duration;

/// Longest time for which a request waits for units of its quota.
pub const MAX_WAIT: Duration = Duration::from_millis(600);
/// Longest time after which an upstream refuses a request.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Share of the charged requests that their upstreams refuse.
const REFUSED_SHARE: f64 = 0.1;

/// A request that waits for units of its quota.
#[derive(Clone, Copy)]
pub struct Waiting {
    pub load: usize,
    pub cost: u64,
    pub since: Duration,
}

/// A request that its upstream refuses at some time.
pub struct Refused {
    at: Duration,
    load: usize,
    charge: Charge,
}

impl Fleet {
    /// Charges a request to its quota, or lets it wait for the reply of an issuer.
    pub fn charge(&mut self, host: usize, waiting: Waiting, now: Duration) {
        let Waiting { load, cost, since } = waiting;
        let quota = self.loads[load].quota_at(now);
        let credit = quota.host_credit(TOLERANCE, self.hosts.len());
        let clock = self.hosts[host].clock(now);
        let charged = self.hosts[host].quotas.charge(&self.names[load], cost, credit, clock);
        if charged.is_ok() && since >= SETTLED {
            self.charged[load] += 1;
        }
        match charged {
            Ok(charge) if self.random() < REFUSED_SHARE => {
                let at = now + MAX_REFUSAL_TIME.mul_f64(self.random());
                self.hosts[host].refused.push(Refused { at, load, charge });
            }
            Ok(_) => self.spent.push(Spent { at: now, load, cost }),
            Err(Shortage::NeedsIssuer) if now < since + MAX_WAIT => {
                self.hosts[host].waiting.push_back(Waiting { load, cost, since });
            }
            Err(Shortage::NeedsIssuer | Shortage::UsedUp(_)) => {}
        }
    }

    /// Gives back the units of requests that their upstreams have refused.
    pub fn give_back(&mut self, host: usize, now: Duration) {
        let (loads, names) = (&self.loads, &self.names);
        let host = &mut self.hosts[host];
        let clock = host.clock(now);
        for refused in host.refused.extract_if(.., |refused| refused.at <= now) {
            let quota = loads[refused.load].quota_at(now);
            let time = quota.margin(TOLERANCE).give_back_time;
            host.quotas.give_back(&names[refused.load], refused.charge, time, clock);
        }
    }

    /// Sends the requests of callers that are due at a host.
    pub fn send_requests(&mut self, host: usize, now: Duration) {
        for load in 0..self.loads.len() {
            let Load { demand_per_s, hosts, mean_cost, .. } = self.loads[load];
            let senders = hosts.min(self.hosts.len());
            // The hosts that get the requests differ between schedules.
            if (host + self.seed as usize) % self.hosts.len() >= senders {
                continue;
            }
            let mut expected = demand_per_s / senders as f64 / mean_cost * TICK.as_secs_f64();
            while self.random() < expected {
                expected -= 1.0;
                let size = self.random();
                let factor = match size {
                    _ if size < 0.9 => 0.1 + size,
                    _ if size < 0.99 => 4.0,
                    _ => 14.9,
                };
                let cost = (mean_cost * factor).max(1.0) as u64;
                if now >= SETTLED {
                    self.sent[load] += 1;
                }
                self.charge(host, Waiting { load, cost, since: now }, now);
            }
        }
    }
}
