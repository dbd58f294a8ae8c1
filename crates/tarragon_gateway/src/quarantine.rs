//! Quarantine of requests that crash their upstreams, shared by all hosts.
//!
//! Records are stored on the platform. While it does not respond, a gateway keeps its records in
//! memory and stores them later.

use crate::{claims::wall_clock_ms, problem::Result};
use rail_platform::{Error, ObjectKind, PlatformClient, WatchCache};
use rail_request::{
    Fingerprint, QuarantineDecision, QuarantineRecord, RequestRefusal, RequestRefusalReason,
    TrialId, TrialIsolation, WorkOrder, quarantine::TRIAL_RETRY_AFTER,
};
use rail_runtime::metrics::ReasonCounters;
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

/// The owner of an engine runs a trial while no other request runs there.
const ISOLATION: TrialIsolation = TrialIsolation::Alone;
/// Maximum time that a call waits for the trial of the same request by another call.
const TRIAL_WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether that trial has ended.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of attempts of a conditional write that conflicts with other writes.
const MAX_WRITE_ATTEMPTS: u32 = 4;
/// Maximum number of attempts to store a record that was created while the platform did not
/// respond.
const MAX_DEFERRED_STORE_ATTEMPTS: u32 = 600;
/// Delay before each attempt to store such a record.
const DEFERRED_STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Quarantine records that this gateway knows; clones share them.
#[derive(Debug, Clone)]
pub struct Quarantine {
    platform: PlatformClient,
    stored_records: WatchCache,
    /// Records that this gateway wrote: quarantined requests, and those not stored yet.
    local_records: Rc<RefCell<BTreeMap<Fingerprint, QuarantineRecord>>>,
    /// Crashes and quarantine decisions, by result.
    counts: ReasonCounters,
}

/// Crash of an upstream during an attempt of a request.
#[derive(Debug, Clone)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Upstream that crashed.
    pub upstream: String,
    /// ID with which the call may acquire the trial.
    pub trial_id: TrialId,
    /// Attempt that crashed.
    pub attempt: u64,
    /// Whether the request allows a retry.
    pub is_retry_allowed: bool,
}

impl CrashReport {
    fn first_record(&self, now_ms: u64) -> QuarantineRecord {
        let trial = self.is_retry_allowed.then_some(self.trial_id);
        let first =
            QuarantineRecord::after_first_crash(self.fingerprint, &self.upstream, trial, now_ms);
        QuarantineRecord { last_attempt: self.attempt, ..first }
    }

    fn next_record(&self, known: &QuarantineRecord, now_ms: u64) -> Option<QuarantineRecord> {
        let next = known.after_further_crash(ISOLATION, &self.upstream, self.trial_id, now_ms)?;
        Some(QuarantineRecord { last_attempt: self.attempt, ..next })
    }

    /// Returns whether the call may retry the request alone after this record was written.
    fn may_retry(&self, record: &QuarantineRecord) -> bool {
        record.crashes == 1 && self.is_retry_allowed
    }
}

impl Quarantine {
    /// Starts watching the stored records on the current actix thread; `counts` counts decisions.
    pub fn spawn(platform: PlatformClient, counts: ReasonCounters) -> Self {
        let stored_records = WatchCache::spawn(platform.clone(), ObjectKind::Quarantine);
        Self { platform, stored_records, local_records: Rc::default(), counts }
    }

    /// Waits until a request may run; returns whether it must run alone on its engine.
    ///
    /// # Errors
    /// Returns [`RequestRefusalReason::Quarantined`] if the request is quarantined, or if the trial
    /// of another call does not end in time.
    pub async fn admit(&self, order: &WorkOrder, trial_id: TrialId) -> Result<bool> {
        let fingerprint = Fingerprint::of([order.model.as_bytes(), order.prompt.as_bytes()]);
        let max_wait = TRIAL_WAIT_TIMEOUT.min(order.deadline);
        let mut waited = Duration::ZERO;
        loop {
            let Some(record) = self.find_record(fingerprint) else {
                return Ok(false);
            };
            let retry_after = match record.decide(ISOLATION, wall_clock_ms()) {
                QuarantineDecision::Run => return Ok(false),
                QuarantineDecision::RunTrial if self.acquire_trial(&record, trial_id).await => {
                    return Ok(true);
                }
                QuarantineDecision::RunTrial => TRIAL_RETRY_AFTER,
                QuarantineDecision::Refuse { retry_after } => retry_after,
            };
            if record.is_quarantined(ISOLATION) || waited >= max_wait {
                return Err(quarantine_refusal(retry_after));
            }
            // Another call runs the trial of the same request; wait until its outcome is recorded.
            actix_rt::time::sleep(TRIAL_POLL_INTERVAL).await;
            waited += TRIAL_POLL_INTERVAL;
        }
    }

    /// Records a crash; returns whether the call may retry the request alone.
    pub async fn record_crash(&self, report: &CrashReport) -> bool {
        for _attempt in 0..MAX_WRITE_ATTEMPTS {
            let now_ms = wall_clock_ms();
            let (next, version) = match self.read(report.fingerprint).await {
                Ok((known, _)) if known.last_attempt == report.attempt => {
                    // An earlier write of this call took effect, but its reply was lost.
                    self.count_record(&known);
                    return report.may_retry(&known);
                }
                Ok((known, version)) if !known.is_expired(ISOLATION, now_ms) => {
                    let Some(next) = report.next_record(&known, now_ms) else {
                        self.counts.count("known_crash");
                        return report.is_retry_allowed
                            && self.may_retry_known_crash(&known, report).await;
                    };
                    (next, Some(version))
                }
                Ok((_expired, version)) => (report.first_record(now_ms), Some(version)),
                Err(Error::NotFound) => (report.first_record(now_ms), None),
                Err(_unavailable) => return self.record_crash_locally(report),
            };
            match self.write(&next, version.as_deref()).await {
                Ok(()) => {
                    self.count_record(&next);
                    return report.may_retry(&next);
                }
                Err(error) if error.is_answer() || error.is_effect_unknown() => {}
                Err(_unavailable) => return self.record_crash_locally(report),
            }
        }
        false
    }

    /// Decides about a retry after a crash that another call has recorded: acquires the trial if it
    /// is free, otherwise waits for the trial of the other call.
    async fn may_retry_known_crash(&self, known: &QuarantineRecord, report: &CrashReport) -> bool {
        let is_trial_free =
            known.decide(ISOLATION, wall_clock_ms()) == QuarantineDecision::RunTrial;
        is_trial_free && self.acquire_trial(known, report.trial_id).await
            || self.wait_for_clearance(report.fingerprint).await
    }

    /// Waits for the trial of another call; returns whether the request did not crash in it.
    async fn wait_for_clearance(&self, fingerprint: Fingerprint) -> bool {
        let mut waited = Duration::ZERO;
        while waited < TRIAL_WAIT_TIMEOUT {
            actix_rt::time::sleep(TRIAL_POLL_INTERVAL).await;
            waited += TRIAL_POLL_INTERVAL;
            match self.read(fingerprint).await {
                Err(Error::NotFound) => return true,
                Ok((record, _)) if record.is_quarantined(ISOLATION) => return false,
                _ => {}
            }
        }
        false
    }

    /// Deletes the record of a suspect that completed in its trial.
    pub async fn clear(&self, fingerprint: Fingerprint, trial_id: TrialId) {
        self.counts.count("cleared");
        self.local_records.borrow_mut().remove(&fingerprint);
        let Ok((record, version)) = self.read(fingerprint).await else {
            return;
        };
        if record.trial == Some(trial_id) {
            let name = QuarantineRecord::object_name(fingerprint);
            if let Err(error) = self.platform.delete_version(&name, &version).await {
                self.counts.count(error.reason());
            }
        }
    }

    /// Returns the stored or the local record, whichever has more crashes or else is newer.
    fn find_record(&self, fingerprint: Fingerprint) -> Option<QuarantineRecord> {
        let stored = self
            .stored_records
            .find(&QuarantineRecord::object_name(fingerprint))
            .and_then(|object| serde_json::from_str::<QuarantineRecord>(&object.value).ok());
        let local = self.local_records.borrow().get(&fingerprint).cloned();
        stored.into_iter().chain(local).max_by_key(|record| (record.crashes, record.changed_at_ms))
    }

    /// Acquires the trial of a suspect for a call; returns whether the call may run the request.
    async fn acquire_trial(&self, record: &QuarantineRecord, trial_id: TrialId) -> bool {
        let (stored, version) = match self.read(record.fingerprint).await {
            Ok(read) => read,
            Err(Error::NotFound) => {
                // Another host has cleared the request.
                self.local_records.borrow_mut().remove(&record.fingerprint);
                return true;
            }
            Err(_unavailable) => return false,
        };
        if stored.decide(ISOLATION, wall_clock_ms()) != QuarantineDecision::RunTrial {
            return false;
        }
        let next = stored.with_trial(trial_id, wall_clock_ms());
        self.write(&next, Some(&version)).await.is_ok()
    }

    /// Records a crash in memory while the platform does not respond, and stores it later.
    fn record_crash_locally(&self, report: &CrashReport) -> bool {
        let now_ms = wall_clock_ms();
        let next = match self.find_record(report.fingerprint) {
            Some(known) if known.last_attempt == report.attempt => Some(known),
            Some(known) => report.next_record(&known, now_ms),
            None => Some(report.first_record(now_ms)),
        };
        let Some(next) = next else {
            return false;
        };
        self.counts.count("platform_away");
        self.count_record(&next);
        self.cache(&next);
        let may_retry = report.may_retry(&next);
        actix_rt::spawn(self.clone().store_when_available(next));
        may_retry
    }

    /// Stores a record once the platform responds, unless the stored one has at least as many
    /// crashes.
    async fn store_when_available(self, record: QuarantineRecord) {
        for _attempt in 0..MAX_DEFERRED_STORE_ATTEMPTS {
            actix_rt::time::sleep(DEFERRED_STORE_INTERVAL).await;
            let version = match self.read(record.fingerprint).await {
                Ok((stored, _)) if stored.crashes >= record.crashes => return,
                Ok((_, version)) => Some(version),
                Err(Error::NotFound) => None,
                Err(_unavailable) => continue,
            };
            if self.write(&record, version.as_deref()).await.is_ok() {
                return;
            }
        }
    }

    /// Counts a record that was written; keeps it in memory if it quarantines the request.
    fn count_record(&self, record: &QuarantineRecord) {
        let is_suspect = !record.is_quarantined(ISOLATION);
        self.counts.count(if is_suspect { "suspected" } else { "quarantined" });
        if !is_suspect {
            self.cache(record);
        }
    }

    fn cache(&self, record: &QuarantineRecord) {
        let mut local = self.local_records.borrow_mut();
        local.retain(|_, known| !known.is_expired(ISOLATION, wall_clock_ms()));
        local.insert(record.fingerprint, record.clone());
    }

    async fn read(&self, fingerprint: Fingerprint) -> Result<(QuarantineRecord, String), Error> {
        let name = QuarantineRecord::object_name(fingerprint);
        let object = self.platform.get(&name).await?;
        let record = serde_json::from_str(&object.value).map_err(|_error| Error::Unreadable)?;
        Ok((record, object.version))
    }

    async fn write(&self, record: &QuarantineRecord, version: Option<&str>) -> Result<(), Error> {
        let name = QuarantineRecord::object_name(record.fingerprint);
        let value = serde_json::to_string(record).expect("a quarantine record is serializable");
        let kind = ObjectKind::Quarantine;
        match version {
            Some(version) => self.platform.update(kind, &name, &value, version).await.map(drop),
            None => self.platform.create(kind, &name, &value).await.map(drop),
        }
    }
}

fn quarantine_refusal(retry_after: Duration) -> crate::problem::Problem {
    RequestRefusal { reason: RequestRefusalReason::Quarantined, retry_after }.into()
}
