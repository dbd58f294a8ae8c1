//! Holds back requests that crash their upstreams, on all hosts.

use crate::{claims::wall_clock_ms, problem::Result};
use rail_platform::{Error, ObjectKind, PlatformClient, WatchCache};
use rail_request::{
    Fingerprint, QuarantineDecision, QuarantineRecord, RequestRefusal, RequestRefusalReason,
    TrialId, WorkOrder,
    quarantine::{QUARANTINE_CRASHES, TRIAL_RETRY_AFTER},
};
use rail_runtime::metrics::Reasons;
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

/// Longest wait for the trial of an equal request, and pause between looks.
const TRIAL_WAIT: Duration = Duration::from_secs(30);
const TRIAL_PAUSE: Duration = Duration::from_millis(250);
/// Tries of a conditional write that others overtake.
const MAX_TRIES: u32 = 4;
/// Tries and pause of a record that waits for the platform.
const MAX_PUBLISH_TRIES: u32 = 600;
const PUBLISH_PAUSE: Duration = Duration::from_secs(1);

/// Known records of requests that crash upstreams; clones share them.
#[derive(Debug, Clone)]
pub struct Quarantine {
    platform: PlatformClient,
    stored: WatchCache,
    local: Rc<RefCell<BTreeMap<Fingerprint, QuarantineRecord>>>,
    counts: Reasons,
}

/// A crash in which a request took part.
#[derive(Debug, Clone)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Upstream that crashed.
    pub upstream: String,
    /// Arrival of the request.
    pub trial: TrialId,
    /// Attempt that crashed.
    pub attempt: u64,
    /// Whether the arrival may try the request alone.
    pub wants_trial: bool,
}

impl Crash {
    fn first_record(&self, now_ms: u64) -> QuarantineRecord {
        let trial = self.wants_trial.then_some(self.trial);
        let first =
            QuarantineRecord::after_first_crash(self.fingerprint, &self.upstream, trial, now_ms);
        QuarantineRecord { last_attempt: self.attempt, ..first }
    }

    fn next_record(&self, known: &QuarantineRecord, now_ms: u64) -> Option<QuarantineRecord> {
        let next = known.after_further_crash(&self.upstream, self.trial, now_ms)?;
        Some(QuarantineRecord { last_attempt: self.attempt, ..next })
    }

    /// Reports whether the arrival may try the request alone after this record.
    fn may_retry(&self, record: &QuarantineRecord) -> bool {
        record.crashes == 1 && self.wants_trial
    }
}

impl Quarantine {
    /// Starts watching the records on the current actix thread.
    pub fn spawn(platform: PlatformClient, counts: Reasons) -> Self {
        let stored = WatchCache::spawn(platform.clone(), ObjectKind::Quarantine);
        Self { platform, stored, local: Rc::default(), counts }
    }

    /// Decides whether a request may run; gives whether it must run alone.
    ///
    /// # Errors
    /// [`RequestRefusalReason::Quarantined`] while the request is held back.
    pub async fn admit(&self, order: &WorkOrder, trial: TrialId) -> Result<bool> {
        let fingerprint = Fingerprint::of([order.model.as_bytes(), order.prompt.as_bytes()]);
        let wait = TRIAL_WAIT.min(order.deadline);
        let mut waited = Duration::ZERO;
        loop {
            let Some(record) = self.find(fingerprint) else {
                return Ok(false);
            };
            let retry_after = match record.decide(wall_clock_ms()) {
                QuarantineDecision::Run => return Ok(false),
                QuarantineDecision::RunAlone if self.take_trial(&record, trial).await => {
                    return Ok(true);
                }
                QuarantineDecision::RunAlone => TRIAL_RETRY_AFTER,
                QuarantineDecision::Refuse { retry_after } => retry_after,
            };
            if record.crashes >= QUARANTINE_CRASHES || waited >= wait {
                return Err(refusal(retry_after));
            }
            // An equal request is tried alone; its outcome decides on this one.
            actix_rt::time::sleep(TRIAL_PAUSE).await;
            waited += TRIAL_PAUSE;
        }
    }

    /// Records a crash; gives whether the arrival may try the request alone.
    pub async fn report(&self, crash: &Crash) -> bool {
        for _try in 0..MAX_TRIES {
            let now_ms = wall_clock_ms();
            let (next, version) = match self.read(crash.fingerprint).await {
                Ok((known, _)) if known.last_attempt == crash.attempt => {
                    // An earlier write whose reply was lost.
                    self.count_record(&known);
                    return crash.may_retry(&known);
                }
                Ok((known, version)) if !known.is_expired(now_ms) => {
                    let Some(next) = crash.next_record(&known, now_ms) else {
                        self.counts.count("known_crash");
                        return crash.wants_trial && self.try_after(&known, crash).await;
                    };
                    (next, Some(version))
                }
                Ok((_over, version)) => (crash.first_record(now_ms), Some(version)),
                Err(Error::NotFound) => (crash.first_record(now_ms), None),
                Err(_away) => return self.report_locally(crash),
            };
            match self.write(&next, version.as_deref()).await {
                Ok(()) => {
                    self.count_record(&next);
                    return crash.may_retry(&next);
                }
                Err(error) if error.is_answer() || error.is_effect_unknown() => {}
                Err(_away) => return self.report_locally(crash),
            }
        }
        false
    }

    /// Takes the trial that nobody makes, or waits for that of an equal request.
    async fn try_after(&self, known: &QuarantineRecord, crash: &Crash) -> bool {
        let is_untried = known.decide(wall_clock_ms()) == QuarantineDecision::RunAlone;
        is_untried && self.take_trial(known, crash.trial).await
            || self.is_cleared(crash.fingerprint).await
    }

    /// Waits for the trial of an equal request; gives whether it came through.
    async fn is_cleared(&self, fingerprint: Fingerprint) -> bool {
        let mut waited = Duration::ZERO;
        while waited < TRIAL_WAIT {
            actix_rt::time::sleep(TRIAL_PAUSE).await;
            waited += TRIAL_PAUSE;
            match self.read(fingerprint).await {
                Err(Error::NotFound) => return true,
                Ok((record, _)) if record.crashes >= QUARANTINE_CRASHES => return false,
                _ => {}
            }
        }
        false
    }

    /// Forgets a suspect that was answered when it ran alone.
    pub async fn clear(&self, fingerprint: Fingerprint, trial: TrialId) {
        self.counts.count("cleared");
        self.local.borrow_mut().remove(&fingerprint);
        let Ok((record, version)) = self.read(fingerprint).await else {
            return;
        };
        if record.trial == Some(trial) {
            let name = QuarantineRecord::object_name(fingerprint);
            if let Err(error) = self.platform.delete_version(&name, &version).await {
                self.counts.count(error.reason());
            }
        }
    }

    /// Gives the graver of the stored and the local record.
    fn find(&self, fingerprint: Fingerprint) -> Option<QuarantineRecord> {
        let stored = self
            .stored
            .find(&QuarantineRecord::object_name(fingerprint))
            .and_then(|object| serde_json::from_str::<QuarantineRecord>(&object.value).ok());
        let local = self.local.borrow().get(&fingerprint).cloned();
        stored.into_iter().chain(local).max_by_key(|record| (record.crashes, record.changed_at_ms))
    }

    async fn take_trial(&self, record: &QuarantineRecord, trial: TrialId) -> bool {
        let (stored, version) = match self.read(record.fingerprint).await {
            Ok(read) => read,
            Err(Error::NotFound) => {
                // Cleared on another host.
                self.local.borrow_mut().remove(&record.fingerprint);
                return true;
            }
            Err(_away) => return false,
        };
        if stored.decide(wall_clock_ms()) != QuarantineDecision::RunAlone {
            return false;
        }
        let next = stored.with_trial(trial, wall_clock_ms());
        self.write(&next, Some(&version)).await.is_ok()
    }

    fn report_locally(&self, crash: &Crash) -> bool {
        let now_ms = wall_clock_ms();
        let next = match self.find(crash.fingerprint) {
            Some(known) if known.last_attempt == crash.attempt => Some(known),
            Some(known) => crash.next_record(&known, now_ms),
            None => Some(crash.first_record(now_ms)),
        };
        let Some(next) = next else {
            return false;
        };
        self.counts.count("platform_away");
        self.count_record(&next);
        self.keep(&next);
        let may_retry = crash.may_retry(&next);
        actix_rt::spawn(self.clone().publish(next));
        may_retry
    }

    /// Writes a record once the platform answers, unless a graver one is stored.
    async fn publish(self, record: QuarantineRecord) {
        for _try in 0..MAX_PUBLISH_TRIES {
            actix_rt::time::sleep(PUBLISH_PAUSE).await;
            let version = match self.read(record.fingerprint).await {
                Ok((stored, _)) if stored.crashes >= record.crashes => return,
                Ok((_, version)) => Some(version),
                Err(Error::NotFound) => None,
                Err(_away) => continue,
            };
            if self.write(&record, version.as_deref()).await.is_ok() {
                return;
            }
        }
    }

    fn count_record(&self, record: &QuarantineRecord) {
        let is_suspect = record.crashes < QUARANTINE_CRASHES;
        self.counts.count(if is_suspect { "suspected" } else { "quarantined" });
        if !is_suspect {
            self.keep(record);
        }
    }

    fn keep(&self, record: &QuarantineRecord) {
        let mut local = self.local.borrow_mut();
        local.retain(|_, known| !known.is_expired(wall_clock_ms()));
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
        let value = serde_json::to_string(record).expect("records are plain data");
        let kind = ObjectKind::Quarantine;
        match version {
            Some(version) => self.platform.update(kind, &name, &value, version).await.map(drop),
            None => self.platform.create(kind, &name, &value).await.map(drop),
        }
    }
}

fn refusal(retry_after: Duration) -> crate::problem::Problem {
    RequestRefusal { reason: RequestRefusalReason::Quarantined, retry_after }.into()
}
