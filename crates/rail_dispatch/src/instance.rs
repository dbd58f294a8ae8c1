//! An instance of a service, as its dispatcher knows it.

use crate::{
    room::RoomRule,
    run_end::{RunEnd, RunOutcome},
    work_time::{SpeedClass, WorkTime, decay},
};
use rail_route::{Upstream, UpstreamId};
use std::{collections::VecDeque, time::Duration};

/// Work time of an instance before the first run.
const DEFAULT_WORK_MS: f64 = 20.0;
/// Requests beyond its slots that an instance gets, as a share of its slots. They start while the
/// end of a run is still being reported.
const SURPLUS_SHARE: f64 = 0.25;
/// Weight of one report in the difference between reported and known requests.
const REPORT_GAP_WEIGHT: f64 = 0.1;
/// Time in which that difference fades without reports.
const REPORT_GAP_FADING_TIME: Duration = Duration::from_millis(500);
/// Largest share of an instance's slots that is presumed to be free although runs are known there,
/// whose messages are on their way.
const MAX_IN_TRANSIT_SHARE: f64 = 0.25;
/// Weight of one run in the failure rate.
const FAILURE_WEIGHT: f64 = 0.05;
/// Time without a run after which an idle instance gets one, since its speed may have changed.
const MAX_WORK_TIME_AGE: Duration = Duration::from_secs(1);
/// Time for which an instance may go on with a run that nobody waits for.
const ABANDONED_RUN_TIME: Duration = Duration::from_millis(250);
/// Part of its work time by which a run is expected to take longer on a full instance.
const CROWDING: f64 = 0.3;

/// State of an instance for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceStatus {
    /// The instance.
    pub id: UpstreamId,
    /// Expected time of a run that starts now, in milliseconds.
    pub work_ms: f64,
    /// Factor by which work now takes longer than usual.
    pub pace_factor: f64,
    /// Expected time until a further request would start, in milliseconds.
    pub wait_ms: f64,
    /// Requests on the instance.
    pub requests: f64,
    /// Its speed relative to the other instances.
    pub class: SpeedClass,
}

/// An instance that counts as slower or faster than before.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedChange {
    /// The instance.
    pub id: UpstreamId,
    /// Its class before.
    pub before: SpeedClass,
    /// Its class now.
    pub class: SpeedClass,
    /// Mean time of its runs over the last seconds, in milliseconds.
    pub mean_work_ms: f64,
}

/// What a further run on an instance would mean.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunCost {
    /// Expected time of the run, in milliseconds.
    pub(crate) work_ms: f64,
    /// Expected time until it starts, in milliseconds.
    pub(crate) wait_ms: f64,
    /// Expected time until the end of the run, in milliseconds.
    pub(crate) finish_ms: f64,
    /// Whether the instance takes a further request now.
    pub(crate) has_room: bool,
    /// Whether its speed is not known any more, since it has been idle.
    pub(crate) is_speed_outdated: bool,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Instance {
    pub(crate) slots: u32,
    pub(crate) zone: String,
    /// Whether it accepts new requests.
    pub(crate) is_ready: bool,
    /// Runs in progress that this dispatcher has started.
    pub(crate) in_flight: u32,
    /// Times until which runs may go on that nobody waits for.
    abandoned_until: VecDeque<Duration>,
    /// Difference between reported and known requests, and the time of the last report. It is
    /// positive where others send requests, and negative for runs whose messages are on their way.
    report_gap: (f64, Duration),
    failure_rate: f64,
    paused_until: Duration,
    work_time: WorkTime,
    pub(crate) class: SpeedClass,
}

impl Instance {
    pub(crate) fn update(&mut self, upstream: &Upstream) {
        self.slots = upstream.slots.max(1);
        self.zone.clone_from(&upstream.zone);
        self.is_ready = true;
    }

    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        self.is_ready && self.paused_until <= now
    }

    /// Returns the number of requests on the instance, those of others included.
    pub(crate) fn requests(&self, now: Duration) -> f64 {
        let (gap, at) = self.report_gap;
        if gap == 0.0 {
            return f64::from(self.in_flight);
        }
        let gap = gap * decay(now.saturating_sub(at), REPORT_GAP_FADING_TIME);
        (f64::from(self.in_flight) + gap).max(0.0)
    }

    pub(crate) fn work_ms(&self, now: Duration) -> f64 {
        self.work_time.expected_ms(now).unwrap_or(DEFAULT_WORK_MS)
    }

    /// Returns the mean time of runs over the last seconds; `None` before the first.
    pub(crate) fn mean_work_ms(&self) -> Option<f64> {
        self.work_time.mean_ms()
    }

    /// Returns the most requests that can be on the instance, as far as they are known.
    fn most_requests(&self, now: Duration) -> f64 {
        let abandoned = self.abandoned_until.iter().filter(|until| now < **until).count();
        self.requests(now).max(f64::from(self.in_flight)) + abandoned as f64
    }

    /// Returns whether a further run may start.
    fn has_room(&self, rule: RoomRule, now: Duration) -> bool {
        let slots = f64::from(self.slots);
        match rule {
            RoomRule::Surplus => {
                let surplus = (slots * SURPLUS_SHARE).ceil();
                self.requests(now) + 1.0 <= slots + surplus
            }
            RoomRule::Certain { share, .. } => {
                // A fraction of a request is left of reports that fade.
                self.most_requests(now).floor() + 1.0 <= (slots * share).round().max(1.0)
            }
        }
    }

    /// Returns what a further run would mean whose failure costs its caller `failure_ms`.
    pub(crate) fn cost(&self, failure_ms: f64, rule: RoomRule, now: Duration) -> RunCost {
        let slots = f64::from(self.slots);
        let requests = self.requests(now);
        let work_ms = self.work_ms(now);
        let crowding = CROWDING * (requests / slots).min(1.0);
        let wait_ms = work_ms * (requests + 1.0 - slots).max(0.0) / slots;
        let is_old = self.work_time.age(now).is_some_and(|age| age > MAX_WORK_TIME_AGE);
        RunCost {
            work_ms,
            wait_ms,
            finish_ms: work_ms * (1.0 + crowding) + wait_ms + self.failure_rate * failure_ms,
            has_room: self.has_room(rule, now),
            is_speed_outdated: is_old && self.in_flight == 0,
        }
    }

    pub(crate) fn record_end(&mut self, end: RunEnd, rule: RoomRule, now: Duration) {
        if let Some(report) = end.report {
            if let Some(pace) = report.pace {
                self.work_time.record_pace(pace, now);
            }
            let reported_gap = f64::from(report.requests) - f64::from(self.in_flight);
            let (mean_gap, at) = self.report_gap;
            let mean_gap = mean_gap * decay(now.saturating_sub(at), REPORT_GAP_FADING_TIME);
            let least = -f64::from(self.slots) * MAX_IN_TRANSIT_SHARE;
            let mean_gap = mean_gap + REPORT_GAP_WEIGHT * (reported_gap - mean_gap);
            self.report_gap = (mean_gap.max(least), now);
        }
        let requests = self.requests(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(end.outcome, RunOutcome::Failed | RunOutcome::Unknown) {
            self.abandoned_until.retain(|until| now < *until);
            self.abandoned_until.push_back(now + ABANDONED_RUN_TIME);
        }
        let is_failed = match end.outcome {
            RunOutcome::Answered => false,
            RunOutcome::Failed => true,
            RunOutcome::Refused => {
                self.paused_until = now + rule.refusal_pause();
                return;
            }
            RunOutcome::Unknown => return,
        };
        self.failure_rate += FAILURE_WEIGHT * (f64::from(is_failed) - self.failure_rate);
        if let (false, Some(took)) = (is_failed, end.took) {
            let crowd = (requests / f64::from(self.slots)).max(1.0);
            self.work_time.record_run(took.div_f64(crowd), now);
        }
    }

    pub(crate) fn status(&self, id: &str, now: Duration) -> InstanceStatus {
        InstanceStatus {
            id: id.to_owned(),
            work_ms: self.work_ms(now),
            pace_factor: self.work_time.factor(now),
            wait_ms: self.cost(0.0, RoomRule::default(), now).wait_ms,
            requests: self.requests(now),
            class: self.class,
        }
    }
}
