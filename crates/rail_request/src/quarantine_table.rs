//! Bounded table of quarantine records that hosts exchange without a shared store.
//!
//! Hosts merge each other's records: of two records of one request the one that was cleared more
//! often is newer; if both were cleared equally often, their ends are united. Times are kept on the
//! clock of each host; messages carry the age of a record instead.
//!
//! Trials run beside other requests, so a crash does not prove which request caused it. Two rules
//! keep other requests from being condemned: a request that runs to its end is cleared, and the
//! trial that may condemn a request shares its upstream with no other such trial and with no trial
//! of a part of prompts. A part of prompts
//! with which any request ran to its end, before or after, is cleared too and never suspected
//! again.

use crate::{
    fingerprint::Fingerprint,
    quarantine::{
        EndProof, QuarantineDecision, QuarantineRecord, TrialId, TrialIsolation, UpstreamEnd,
    },
    quarantine_decision::{KeysDecision, LostRun, RecordNews, TableChange, TrialDecision},
    quarantine_key::{KeyKind, QuarantineKey, SoundParts},
    upstream_ends::{ends_digest, push_end, same_ends, switch_clock},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// Most records that a table keeps.
pub const MAX_RECORDS: usize = 1024;
/// Time after the end of an upstream in which no trial is sent there.
const RESTART_TIME_MS: u64 = 2_000;
/// Time for which a cleared record is kept, so that older news of its crashes is recognized.
const CLEARED_DURATION: Duration = Duration::from_secs(60);

/// Quarantine records by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    records: HashMap<Fingerprint, QuarantineRecord>,
    sound_parts: SoundParts,
    /// Upstreams that run trials which may condemn a request.
    last_trials: BTreeMap<TrialId, String>,
    /// Upstreams that run other trials of parts of prompts, which end them if the part crashes.
    part_trials: BTreeMap<TrialId, String>,
}

/// Upstreams of the platform cannot be kept free of other requests.
const ISOLATION: TrialIsolation = TrialIsolation::Shared;

impl QuarantineTable {
    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests that are refused.
    pub fn quarantined_count(&self) -> usize {
        self.records.values().filter(|record| record.is_quarantined(ISOLATION)).count()
    }

    /// Finds the record of a request.
    pub fn find(&self, fingerprint: Fingerprint) -> Option<&QuarantineRecord> {
        self.records.get(&fingerprint)
    }

    /// Decides whether a further call of a request may run.
    pub fn decide(&self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineDecision {
        let record = self.records.get(&fingerprint);
        record.map_or(QuarantineDecision::Run, |record| record.decide(ISOLATION, now_ms))
    }

    /// Decides about a request from all its keys, in the order of its prompt. Of several
    /// suspects the last one is tried: the further on in a prompt a part stands, the fewer requests
    /// share it, so the less likely others have cleared it, and the fewer wait while it is tried.
    /// But a request that itself ended an upstream before and comes again is more to blame than its
    /// parts.
    pub fn decide_all(&self, keys: &[QuarantineKey], now_ms: u64) -> KeysDecision {
        let (mut suspect, mut suspected_request) = (None, None);
        for key in keys {
            match self.decide(key.fingerprint, now_ms) {
                QuarantineDecision::Run => continue,
                QuarantineDecision::Refuse { retry_after }
                    if self.is_quarantined(key.fingerprint)
                        || self.is_held_back(key.fingerprint, now_ms) =>
                {
                    return KeysDecision::Refuse { key: *key, retry_after };
                }
                QuarantineDecision::Refuse { .. } | QuarantineDecision::RunTrial => {}
            }
            suspect = Some(*key);
            if key.kind == KeyKind::Request {
                suspected_request = suspect;
            }
        }
        suspect.map_or(KeysDecision::Run, |key| {
            let blamed = suspected_request.unwrap_or(key);
            KeysDecision::Suspect { key, blamed }
        })
    }

    /// Returns the crashes of a request, those included that are only suspected.
    pub fn possible_crashes(&self, fingerprint: Fingerprint, now_ms: u64) -> u32 {
        self.find(fingerprint).map_or(0, |record| record.possible_crashes(now_ms))
    }

    /// Returns whether a request is refused for now because of suspected ends.
    pub fn is_held_back(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.find(fingerprint).is_some_and(|record| record.is_held_back(ISOLATION, now_ms))
    }

    /// Returns whether a request is refused because of proven ends.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_some_and(|record| record.is_quarantined(ISOLATION))
    }

    /// Starts the trial of a suspect unless another trial must end first. `candidates` are the
    /// upstreams that may run it, the preferred one first.
    pub fn try_start_trial(
        &mut self,
        fingerprint: Fingerprint,
        trial_id: TrialId,
        candidates: &[String],
        now_ms: u64,
    ) -> TrialDecision {
        match self.decide(fingerprint, now_ms) {
            QuarantineDecision::Run => return TrialDecision::Run,
            QuarantineDecision::Refuse { retry_after }
                if self.is_quarantined(fingerprint) || self.is_held_back(fingerprint, now_ms) =>
            {
                return TrialDecision::Refuse { retry_after };
            }
            QuarantineDecision::Refuse { .. } => return TrialDecision::Wait,
            QuarantineDecision::RunTrial => {}
        }
        let Some(record) = self.find(fingerprint) else { return TrialDecision::Run };
        let (is_last, kind) = (record.is_last_trial(ISOLATION, now_ms), record.kind);
        let mut avoided: Vec<String> = self.last_trials.values().cloned().collect();
        avoided.dedup();
        let is_free = |candidate: &&String| {
            let has_other_trial = is_last && self.part_trials.values().any(|at| at == *candidate);
            !avoided.contains(candidate)
                && !has_other_trial
                && !self.has_ended_lately(candidate, now_ms)
        };
        let mut upstream = None;
        if is_last || kind == KeyKind::PromptPart {
            let Some(free) = candidates.iter().find(is_free) else { return TrialDecision::Wait };
            upstream = Some(free.clone());
            let trials = if is_last { &mut self.last_trials } else { &mut self.part_trials };
            trials.insert(trial_id, free.clone());
        }
        self.start_trial(fingerprint, trial_id, now_ms);
        TrialDecision::Start { upstream, avoided }
    }

    /// Records which call runs the trial of a suspect.
    pub fn start_trial(&mut self, fingerprint: Fingerprint, trial_id: TrialId, now_ms: u64) {
        if let Some(record) = self.records.remove(&fingerprint) {
            self.records.insert(fingerprint, record.with_trial(trial_id, now_ms));
        }
    }

    /// Ends a trial, so that another call may start one.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, trial_id: TrialId) {
        self.last_trials.remove(&trial_id);
        self.part_trials.remove(&trial_id);
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.trial == Some(trial_id)
        {
            record.trial = None;
        }
    }

    /// Records the end of an upstream while a call ran the request there. All ends outside trials
    /// count as one crash. A trial that was given up before the end was known counts
    /// unless another crash was recorded since its start, or a later trial of another request ended
    /// the upstream.
    /// A run that was sent to an upstream which had ended or fallen silent already is not to blame.
    ///
    /// If the end is known already, only its proof changes.
    pub fn record_end(
        &mut self,
        key: impl Into<QuarantineKey>,
        end: UpstreamEnd,
        run: impl Into<LostRun>,
        now_ms: u64,
    ) -> TableChange {
        let QuarantineKey { kind, fingerprint } = key.into();
        let LostRun { trial, sent_at_ms } = run.into();
        if self.sound_parts.contains(fingerprint) {
            return TableChange::Unchanged;
        }
        if self.has_ended_before(&end, sent_at_ms) {
            return self.withdraw_end(fingerprint, &end, sent_at_ms, now_ms);
        }
        let known = self
            .records
            .get(&fingerprint)
            .filter(|known| known.clearances > 0 || !known.is_expired(ISOLATION, now_ms));
        let possible = known.map_or(0, |known| known.possible_crashes(now_ms));
        let is_known = known.is_some_and(|k| k.ends.iter().any(|e| e.is_same_process(&end)));
        let counts = trial.is_none_or(|trial| {
            let is_own = known.is_some_and(|known| known.trial == Some(trial.id));
            let is_only = possible <= trial.known_crashes;
            is_known || is_own || (is_only && !self.is_end_of_other(fingerprint, &end))
        });
        if !counts || known.is_some_and(|known| known.is_quarantined(ISOLATION)) {
            return TableChange::Unchanged;
        }
        let mut next = known.cloned().unwrap_or_else(|| QuarantineRecord {
            kind,
            crashes: 0,
            upstreams: Vec::new(),
            ..QuarantineRecord::after_first_crash(fingerprint, "", None, now_ms)
        });
        let upstream = end.upstream.clone();
        if !push_end(&mut next.ends, UpstreamEnd { is_trial: trial.is_some(), ..end }) {
            return TableChange::Unchanged;
        }
        if !is_known {
            next.upstreams.push(upstream);
        }
        if trial.is_some_and(|trial| next.trial == Some(trial.id)) {
            next.trial = None;
        }
        next.update_crashes();
        next.changed_at_ms = now_ms;
        self.store(next)
    }

    /// Withdraws an end that was recorded for a run before it was known that the upstream had ended
    /// already. The end of an earlier run of the same request stays.
    fn withdraw_end(
        &mut self,
        fingerprint: Fingerprint,
        end: &UpstreamEnd,
        sent_at_ms: u64,
        now_ms: u64,
    ) -> TableChange {
        let Some(known) = self.records.get(&fingerprint) else { return TableChange::Unchanged };
        let mut next = known.clone();
        let is_blamed = |known: &&mut UpstreamEnd| {
            known.is_same_process(end)
                && known.proof == EndProof::Suspected
                && known.noticed_at_ms >= sent_at_ms
        };
        let Some(blamed) = next.ends.iter_mut().find(is_blamed) else {
            return TableChange::Unchanged;
        };
        blamed.proof = EndProof::Withdrawn;
        next.changed_at_ms = now_ms;
        self.store(next)
    }

    /// Returns whether any request noticed the end of an upstream so lately that it may not be
    /// back.
    fn has_ended_lately(&self, upstream: &str, now_ms: u64) -> bool {
        let mut known = self.records.values().flat_map(|record| &record.ends);
        known.any(|known| {
            known.upstream == upstream
                && known.proof != EndProof::Withdrawn
                && now_ms < known.noticed_at_ms + RESTART_TIME_MS
        })
    }

    /// Returns whether any request noticed the end of a process before a time.
    fn has_ended_before(&self, end: &UpstreamEnd, time_ms: u64) -> bool {
        let mut known = self.records.values().flat_map(|record| &record.ends);
        known.any(|known| {
            known.proof != EndProof::Withdrawn
                && known.is_same_process(end)
                && known.noticed_at_ms < time_ms
        })
    }

    /// Returns whether another request ended this process in a trial.
    fn is_end_of_other(&self, fingerprint: Fingerprint, end: &UpstreamEnd) -> bool {
        let mut others =
            self.records.values().filter(|r| r.crashes > 1 && r.fingerprint != fingerprint);
        let is_same =
            |known: &UpstreamEnd| known.proof != EndProof::Withdrawn && known.is_same_process(end);
        others.any(|other| other.ends.iter().any(is_same))
    }

    /// Records that an upstream ran the request to its end, which clears it. Returns whether there
    /// was a record to clear.
    pub fn record_completion(&mut self, key: impl Into<QuarantineKey>, now_ms: u64) -> bool {
        let QuarantineKey { kind, fingerprint } = key.into();
        if kind == KeyKind::PromptPart {
            self.sound_parts.insert(fingerprint);
        }
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        if record.crashes == 0 && record.ends.is_empty() {
            return false;
        }
        clear(record, now_ms);
        true
    }

    /// Merges the record of another host.
    pub fn merge(&mut self, mut news: RecordNews, now_ms: u64) -> TableChange {
        news.ends = news.ends.iter().map(|end| switch_clock(end, now_ms)).collect();
        let key =
            QuarantineKey { kind: news.kind, fingerprint: Fingerprint::from(news.fingerprint) };
        if news.kind == KeyKind::PromptPart && news.crashes == 0 && news.ends.is_empty() {
            self.sound_parts.insert(key.fingerprint);
        }
        let change = self.merge_record(news, now_ms);
        if self.sound_parts.contains(key.fingerprint) && self.record_completion(key, now_ms) {
            return TableChange::Refuted;
        }
        change
    }

    fn merge_record(&mut self, news: RecordNews, now_ms: u64) -> TableChange {
        let fingerprint = Fingerprint::from(news.fingerprint);
        let changed_at_ms = now_ms.saturating_sub(news.age_ms);
        let known = self.records.get(&fingerprint);
        if let Some(known) = known.filter(|known| known.clearances >= news.clearances) {
            if known.clearances > news.clearances {
                return TableChange::Outdated;
            }
            let mut next = known.clone();
            for end in &news.ends {
                push_end(&mut next.ends, end.clone());
            }
            next.crashes = next.crashes.max(news.crashes);
            next.update_crashes();
            if (&next.ends, next.crashes) == (&known.ends, known.crashes) {
                let is_complete =
                    news.crashes == known.crashes && same_ends(&news.ends, &known.ends);
                return if is_complete { TableChange::Unchanged } else { TableChange::Outdated };
            }
            next.changed_at_ms = next.changed_at_ms.max(changed_at_ms);
            return self.store(next);
        }
        let first = QuarantineRecord::after_first_crash(fingerprint, "", None, changed_at_ms);
        let mut record = QuarantineRecord {
            kind: news.kind,
            crashes: news.crashes,
            upstreams: news.ends.iter().map(|end| end.upstream.clone()).collect(),
            clearances: news.clearances,
            ..first
        };
        for end in news.ends {
            push_end(&mut record.ends, end);
        }
        self.store(record)
    }

    /// Returns the records of these requests as messages carry them.
    pub fn news(
        &self,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
        now_ms: u64,
    ) -> Vec<RecordNews> {
        let records = fingerprints.into_iter().filter_map(|fingerprint| self.find(fingerprint));
        let news = records.map(|record| RecordNews {
            fingerprint: record.fingerprint.into(),
            kind: record.kind,
            crashes: record.crashes,
            clearances: record.clearances,
            age_ms: now_ms.saturating_sub(record.changed_at_ms),
            ends: record.ends.iter().map(|end| switch_clock(end, now_ms)).collect(),
        });
        news.collect()
    }

    /// Returns the fingerprints of all records but cleared ones: those with the most crashes first,
    /// then the newest.
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        let mut sorted: Vec<&QuarantineRecord> = self.crashed().collect();
        sorted.sort_by_key(|record| Reverse((record.crashes, record.changed_at_ms)));
        sorted.into_iter().map(|record| record.fingerprint).collect()
    }

    fn crashed(&self) -> impl Iterator<Item = &QuarantineRecord> {
        self.records.values().filter(|record| record.crashes > 0 || !record.ends.is_empty())
    }

    /// Returns a hash that is equal on two hosts if they have the same records.
    pub fn digest(&self) -> u64 {
        self.crashed().fold(0, |digest, record| {
            let mut hasher = DefaultHasher::new();
            (record.fingerprint, record.clearances, record.crashes).hash(&mut hasher);
            digest ^ hasher.finish() ^ ends_digest(&record.ends)
        })
    }

    /// Removes expired records.
    pub fn prune(&mut self, now_ms: u64) {
        self.records.retain(|_, record| {
            let age = Duration::from_millis(now_ms.saturating_sub(record.changed_at_ms));
            if record.crashes == 0 && record.clearances > 0 {
                age < CLEARED_DURATION
            } else {
                !record.is_expired(ISOLATION, now_ms)
            }
        });
    }

    fn store(&mut self, record: QuarantineRecord) -> TableChange {
        if !self.make_room(&record) {
            return TableChange::Unchanged;
        }
        let is_quarantined = record.is_quarantined(ISOLATION);
        self.records.insert(record.fingerprint, record);
        if is_quarantined { TableChange::Quarantined } else { TableChange::Changed }
    }

    /// Makes room for a record: if the table is full, evicts the record that matters least, which
    /// is the one with the fewest crashes, then that of a request, then the oldest. Returns `false`
    /// if that is the new one.
    fn make_room(&mut self, new: &QuarantineRecord) -> bool {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&new.fingerprint) {
            return true;
        }
        let order = |record: &QuarantineRecord| (record.crashes, record.kind, record.changed_at_ms);
        let least = self.records.values().min_by_key(|record| order(record));
        let Some(least) = least.filter(|least| order(least) <= order(new)) else { return false };
        let evicted = least.fingerprint;
        self.records.remove(&evicted);
        true
    }
}

fn clear(record: &mut QuarantineRecord, now_ms: u64) {
    record.crashes = 0;
    record.clearances += 1;
    record.trial = None;
    record.changed_at_ms = now_ms;
    record.upstreams.clear();
    record.ends.clear();
}
