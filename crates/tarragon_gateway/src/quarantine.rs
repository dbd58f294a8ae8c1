//! Holds back requests that crash their upstreams, on all hosts.

use crate::{claims::wall_clock_ms, problem::Result};
use rail_platform::{Error, ObjectKind, PlatformClient, WatchCache};
use rail_request::{
    CrashVerdict, Fingerprint, NotRun, NotRunReason, QuarantineRecord, TrialId, WorkOrder,
    quarantine::{MAX_CRASHES, TRIAL_RETRY},
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
    /// Whether the arrival may try the request alone.
    pub wants_trial: bool,
}

impl Crash {
    fn first_record(&self, now_ms: u64) -> QuarantineRecord {
        let trial = self.wants_trial.then_some(self.trial);
        QuarantineRecord::first(self.fingerprint, &self.upstream, trial, now_ms)
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
    /// [`NotRunReason::Quarantined`] while the request is held back.
    pub async fn admit(&self, order: &WorkOrder, trial: TrialId) -> Result<bool> {
        let fingerprint = Fingerprint::of([order.model.as_bytes(), order.prompt.as_bytes()]);
        let Some(record) = self.find(fingerprint) else {
            return Ok(false);
        };
        match record.verdict(wall_clock_ms()) {
            CrashVerdict::Run => Ok(false),
            CrashVerdict::Refuse { retry_after } => Err(refusal(retry_after)),
            CrashVerdict::RunAlone if self.take_trial(&record, trial).await => Ok(true),
            CrashVerdict::RunAlone => Err(refusal(TRIAL_RETRY)),
        }
    }

    /// Records a crash; gives whether the arrival may try the request alone.
    pub async fn report(&self, crash: &Crash) -> bool {
        for _try in 0..MAX_TRIES {
            let now_ms = wall_clock_ms();
            let (next, version) = match self.read(crash.fingerprint).await {
                Ok((known, version)) if !known.is_over(now_ms) => {
                    let Some(next) = known.after_crash(&crash.upstream, crash.trial, now_ms) else {
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
                    self.keep(&next);
                    return next.crashes == 1 && crash.wants_trial;
                }
                Err(error) if error.is_answer() => {}
                Err(_away) => return self.report_locally(crash),
            }
        }
        false
    }

    /// Takes the trial that nobody makes, or waits for that of an equal request.
    async fn try_after(&self, known: &QuarantineRecord, crash: &Crash) -> bool {
        let is_untried = known.verdict(wall_clock_ms()) == CrashVerdict::RunAlone;
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
                Ok((record, _)) if record.crashes >= MAX_CRASHES => return false,
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
        let Ok((stored, version)) = self.read(record.fingerprint).await else {
            return false;
        };
        if stored.verdict(wall_clock_ms()) != CrashVerdict::RunAlone {
            return false;
        }
        let next = stored.with_trial(trial, wall_clock_ms());
        self.write(&next, Some(&version)).await.is_ok()
    }

    fn report_locally(&self, crash: &Crash) -> bool {
        let now_ms = wall_clock_ms();
        let next = match self.find(crash.fingerprint) {
            Some(known) => known.after_crash(&crash.upstream, crash.trial, now_ms),
            None => Some(crash.first_record(now_ms)),
        };
        let Some(next) = next else {
            return false;
        };
        self.counts.count("platform_away");
        self.keep(&next);
        let may_retry = next.crashes == 1 && crash.wants_trial;
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

    fn keep(&self, record: &QuarantineRecord) {
        self.counts.count(if record.crashes == 1 { "suspected" } else { "quarantined" });
        let mut local = self.local.borrow_mut();
        local.retain(|_, known| !known.is_over(wall_clock_ms()));
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
    NotRun { reason: NotRunReason::Quarantined, retry_after }.into()
}
