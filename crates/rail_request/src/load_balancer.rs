//! Load balancing over the instances of a plain service.

use std::{collections::BTreeMap, time::Duration};

/// Consecutive failures after which an instance is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection; it doubles with each further ejection in a row.
const MIN_EJECTION_DURATION: Duration = Duration::from_secs(1);
/// Number of times that the ejection duration doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Result of a call or a health probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The instance responded.
    Answered,
    /// The instance refused the call, could not be reached or lost the connection.
    Failed,
    /// The caller disconnected, so the result is unknown.
    Abandoned,
}

#[derive(Debug, Clone, Default)]
struct Instance {
    /// Calls of this process in progress.
    in_flight: u32,
    /// Calls of all processes in progress, as the instance last reported them.
    reported: u32,
    /// Calls of this process that were in progress when the last report was requested.
    in_flight_at_report: u32,
    /// Failed calls and load requests since the last successful call; load reports do not reset it.
    failures: u32,
    /// Consecutive ejections, which set the duration of the next.
    ejections: u32,
    /// Time from which an ejected instance is probed; it stays ejected until a probe succeeds.
    ejected_until: Option<Duration>,
}

/// Tracks load and health of the instances of plain services by upstream name.
#[derive(Debug, Clone, Default)]
pub struct LoadBalancer {
    instances: BTreeMap<String, Instance>,
}

impl LoadBalancer {
    /// Returns the least loaded instance that is not ejected, or the least loaded of all if every
    /// one is ejected.
    pub fn pick<'a>(&self, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
        names.min_by_key(|name| (self.is_ejected(name), self.estimated_load(name), *name))
    }

    /// Estimates the calls in progress on an instance: its last report, corrected by the calls of
    /// this process that started and ended since.
    pub fn estimated_load(&self, name: &str) -> u32 {
        self.instances.get(name).map_or(0, |instance| {
            (instance.reported + instance.in_flight)
                .saturating_sub(instance.in_flight_at_report)
                .max(instance.in_flight)
        })
    }

    /// Returns whether an instance is ejected and waits for a successful probe.
    pub fn is_ejected(&self, name: &str) -> bool {
        self.instances.get(name).is_some_and(|instance| instance.ejected_until.is_some())
    }

    /// Returns whether the load of an instance should be requested now.
    ///
    /// This is always so unless the instance is ejected and its ejection time is not over.
    pub fn is_probe_due(&self, name: &str, now: Duration) -> bool {
        let until = self.instances.get(name).and_then(|instance| instance.ejected_until);
        until.is_none_or(|until| now >= until)
    }

    /// Returns the calls of this process in progress on an instance.
    ///
    /// Pass the value read before a load request to [`record_report`](Self::record_report).
    pub fn in_flight(&self, name: &str) -> u32 {
        self.instances.get(name).map_or(0, |instance| instance.in_flight)
    }

    /// Records the start of a call.
    pub fn start_call(&mut self, name: &str) {
        self.instances.entry(name.to_owned()).or_default().in_flight += 1;
    }

    /// Records the end of a call; returns whether it ejected the instance.
    pub fn finish_call(&mut self, name: &str, outcome: CallOutcome, now: Duration) -> bool {
        let instance = self.instances.entry(name.to_owned()).or_default();
        instance.in_flight = instance.in_flight.saturating_sub(1);
        instance.record_outcome(outcome, now)
    }

    /// Records a load report and ends an ejection.
    ///
    /// `in_flight` is the number of calls of this process that were in progress when the report was
    /// requested.
    pub fn record_report(&mut self, name: &str, running: u32, in_flight: u32) {
        let instance = self.instances.entry(name.to_owned()).or_default();
        instance.reported = running;
        instance.in_flight_at_report = in_flight;
        instance.ejected_until = None;
    }

    /// Records a load request without a response; returns whether it ejected the instance.
    pub fn record_missing_report(&mut self, name: &str, now: Duration) -> bool {
        self.instances.entry(name.to_owned()).or_default().record_outcome(CallOutcome::Failed, now)
    }
}

impl Instance {
    fn record_outcome(&mut self, outcome: CallOutcome, now: Duration) -> bool {
        match outcome {
            CallOutcome::Abandoned => return false,
            CallOutcome::Answered => {
                self.failures = 0;
                self.ejections = 0;
                return false;
            }
            CallOutcome::Failed => self.failures += 1,
        }
        let is_due = self.ejected_until.is_none_or(|until| now >= until);
        if self.failures < EJECTION_FAILURES || !is_due {
            return false;
        }
        self.ejected_until = Some(now + MIN_EJECTION_DURATION * 2_u32.pow(self.ejections));
        self.ejections = (self.ejections + 1).min(MAX_EJECTION_DOUBLINGS);
        true
    }
}
