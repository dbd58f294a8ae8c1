//! Chooses among the instances of a plain service.

use std::{collections::BTreeMap, time::Duration};

/// Failures in a row after which an instance is ejected.
const MAX_FAILURES: u32 = 3;
/// Shortest time for which an instance is ejected; it doubles with each further ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Ejections after which the time grows no more.
const MAX_DOUBLINGS: u32 = 4;

/// How a call or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The instance answered.
    Answered,
    /// It refused, could not be reached or was lost.
    Failed,
    /// The caller left; nothing is known.
    Abandoned,
}

#[derive(Debug, Clone, Default)]
struct Instance {
    in_flight: u32,
    reported: u32,
    in_flight_at_report: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

/// Load and health of instances by name.
#[derive(Debug, Clone, Default)]
pub struct LoadBalancer {
    instances: BTreeMap<String, Instance>,
}

impl LoadBalancer {
    /// Chooses the least loaded instance that is not ejected, or the least loaded of all.
    pub fn pick<'a>(&self, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
        names.min_by_key(|name| (self.is_ejected(name), self.estimated_load(name), *name))
    }

    /// Estimates the calls on an instance: its last report, corrected by the own calls since.
    pub fn estimated_load(&self, name: &str) -> u32 {
        self.instances.get(name).map_or(0, |instance| {
            (instance.reported + instance.in_flight)
                .saturating_sub(instance.in_flight_at_report)
                .max(instance.in_flight)
        })
    }

    /// Reports whether an instance waits for a probe.
    pub fn is_ejected(&self, name: &str) -> bool {
        self.instances.get(name).is_some_and(|instance| instance.ejected_until.is_some())
    }

    /// Reports whether an instance is to be probed now; one that is not ejected always is.
    pub fn is_probe_due(&self, name: &str, now: Duration) -> bool {
        let until = self.instances.get(name).and_then(|instance| instance.ejected_until);
        until.is_none_or(|until| now >= until)
    }

    /// Gives the own calls on an instance, to be passed on with the report asked for now.
    pub fn in_flight(&self, name: &str) -> u32 {
        self.instances.get(name).map_or(0, |instance| instance.in_flight)
    }

    /// Counts a call as in progress.
    pub fn start_call(&mut self, name: &str) {
        self.instances.entry(name.to_owned()).or_default().in_flight += 1;
    }

    /// Counts a call as ended; gives whether the instance was ejected for it.
    pub fn finish_call(&mut self, name: &str, end: CallOutcome, now: Duration) -> bool {
        let instance = self.instances.entry(name.to_owned()).or_default();
        instance.in_flight = instance.in_flight.saturating_sub(1);
        instance.record_outcome(end, now)
    }

    /// Takes a report that was asked for while `in_flight` own calls were in progress.
    pub fn record_report(&mut self, name: &str, running: u32, in_flight: u32) {
        let instance = self.instances.entry(name.to_owned()).or_default();
        instance.reported = running;
        instance.in_flight_at_report = in_flight;
        instance.ejected_until = None;
    }

    /// Takes a report that did not come; gives whether the instance was ejected for it.
    pub fn record_missing_report(&mut self, name: &str, now: Duration) -> bool {
        self.instances.entry(name.to_owned()).or_default().record_outcome(CallOutcome::Failed, now)
    }
}

impl Instance {
    fn record_outcome(&mut self, end: CallOutcome, now: Duration) -> bool {
        match end {
            CallOutcome::Abandoned => return false,
            CallOutcome::Answered => {
                self.failures = 0;
                self.ejections = 0;
                return false;
            }
            CallOutcome::Failed => self.failures += 1,
        }
        let is_due = self.ejected_until.is_none_or(|until| now >= until);
        if self.failures < MAX_FAILURES || !is_due {
            return false;
        }
        self.ejected_until = Some(now + MIN_EJECTION * 2_u32.pow(self.ejections));
        self.ejections = (self.ejections + 1).min(MAX_DOUBLINGS);
        true
    }
}
