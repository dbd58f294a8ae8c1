//! Session state machine of the process that holds the session.

use crate::{
    charts::{SessionEvent, SessionState, session_chart},
    record::{SessionId, SessionRecord, Witness},
    timing::{LeaseTimes, renewal_period, retry_delay},
    witness::majority,
};
use std::{collections::BTreeMap, time::Duration};

/// Write that the calling process should send to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderCommand {
    /// Create the session record.
    Create(SessionRecord),
    /// Update the session record if it still has this version.
    Renew {
        /// New content of the record.
        record: SessionRecord,
        /// Version that the stored record must still have.
        expected_version: String,
    },
}

/// Effect that a failed call may have had on the stored record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallEffect {
    /// The call had no effect.
    None,
    /// The call may have taken effect, or may still do so later.
    Unknown,
}

/// Request to the witnesses to confirm that they can't reach the platform either.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfirmRequest {
    /// Number of the last acknowledged renewal, which is sent to every witness.
    pub renewals: u64,
    /// Witnesses to which the request is sent.
    pub witnesses: Vec<Witness>,
    /// Time at which the request was made; a confirmation counts from then on.
    pub requested_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentRecord {
    record: SessionRecord,
    sent_at: Duration,
}

/// Renews one session and decides whether it is valid.
///
/// The caller passes in the time and the results of calls, and carries out the commands that
/// [`SessionHolder::poll`] and [`SessionHolder::poll_witnesses`] return.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionHolder {
    times: LeaseTimes,
    state: SessionState,
    record: SessionRecord,
    version: Option<String>,
    renewed_at: Option<Duration>,
    pending: Option<SentRecord>,
    /// First write whose outcome is unknown; it is sent again unchanged until it is resolved.
    unacknowledged: Option<SentRecord>,
    retry_at: Duration,
    confirmations: BTreeMap<SessionId, Duration>,
    confirmations_requested_at: Option<Duration>,
    ticked_at: Option<Duration>,
    /// Time of the tick that detected the last pause; only a renewal sent since then ends the
    /// suspension.
    pause_detected_at: Option<Duration>,
    live_sessions: usize,
    next_witnesses: Vec<Witness>,
    leaving: bool,
    undefined_events: u64,
}

impl SessionHolder {
    /// Creates the state of a session that becomes valid when the creation of `record` is
    /// acknowledged.
    pub fn new(record: SessionRecord, times: LeaseTimes) -> Self {
        Self {
            times,
            state: session_chart().initial(),
            next_witnesses: record.witnesses.clone(),
            record,
            version: None,
            renewed_at: None,
            pending: None,
            unacknowledged: None,
            retry_at: Duration::ZERO,
            confirmations: BTreeMap::new(),
            confirmations_requested_at: None,
            ticked_at: None,
            pause_detected_at: None,
            live_sessions: 1,
            leaving: false,
            undefined_events: 0,
        }
    }

    /// Advances the time; a gap between two ticks above the pause margin suspends the session.
    pub fn tick(&mut self, now: Duration) {
        let is_paused = self.is_paused_at(now);
        self.ticked_at = Some(now);
        if is_paused {
            self.pause_detected_at = Some(now);
            self.step(SessionEvent::Paused);
        } else if !self.is_within_ttl(now) {
            let is_confirmed = self.is_confirmed(now);
            self.step(if is_confirmed { SessionEvent::Confirmed } else { SessionEvent::Expired });
        }
    }

    /// Returns the next write to send, if one is due.
    pub fn poll(&mut self, now: Duration) -> Option<HolderCommand> {
        if self.is_ended() || self.pending.is_some() || now < self.retry_at {
            return None;
        }
        let period = renewal_period(self.record.ttl(), self.live_sessions);
        let is_urgent =
            self.leaving != self.record.leaving || self.state == SessionState::Suspended;
        if !is_urgent && self.renewed_at.is_some_and(|sent| now < sent + period) {
            return None;
        }
        let record = self.next_record();
        self.pending = Some(SentRecord { record: record.clone(), sent_at: now });
        Some(match self.version.clone() {
            None => HolderCommand::Create(record),
            Some(expected_version) => HolderCommand::Renew { record, expected_version },
        })
    }

    /// Records that the platform stores this record of the session with this version.
    ///
    /// A renewal that was read back after a lost reply counts from the first attempt to write it.
    pub fn acknowledge(&mut self, record: SessionRecord, version: String) {
        let sent = [self.unacknowledged.take(), self.pending.take()];
        let is_same_renewal = |sent: &SentRecord| sent.record.renewals == record.renewals;
        let sent_at =
            sent.into_iter().flatten().filter(is_same_renewal).map(|sent| sent.sent_at).min();
        self.record = record;
        self.version = Some(version);
        self.renewed_at = sent_at.or(self.renewed_at);
        let is_after_pause =
            self.pause_detected_at.is_none_or(|detected_at| self.renewed_at >= Some(detected_at));
        if is_after_pause && self.renewed_at.is_some() {
            self.step(SessionEvent::Renewed);
        }
    }

    /// Reports whether a record that was read back was created again after a deletion.
    ///
    /// Each renewal increments `renewals`, so another version without a greater number can only
    /// come from a delayed duplicate of the first write.
    pub fn is_recreated(&self, record: &SessionRecord, version: &str) -> bool {
        let is_other = self.version.as_deref().is_some_and(|known| known != version);
        is_other && record.renewals <= self.record.renewals
    }

    /// Records that the pending write failed; the next one waits for the retry delay.
    pub fn record_failure(&mut self, effect: CallEffect, now: Duration) {
        let pending = self.pending.take();
        if effect == CallEffect::Unknown && self.unacknowledged.is_none() {
            self.unacknowledged = pending;
        }
        self.retry_at = now + retry_delay(renewal_period(self.record.ttl(), self.live_sessions));
    }

    /// Records that the stored record is revoked or deleted, which ends the session.
    pub fn record_revocation(&mut self) {
        self.step(SessionEvent::Revoked);
    }

    /// Marks the session as leaving with its next renewal, which is due immediately.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Sets the number of live sessions, which determines the renewal period, and the witnesses
    /// that the next renewal names.
    pub fn set_fleet(&mut self, live_sessions: usize, witnesses: Vec<Witness>) {
        self.live_sessions = live_sessions;
        self.next_witnesses = witnesses;
    }

    /// Returns the request to send to the witnesses, if one is due.
    pub fn poll_witnesses(&mut self, now: Duration) -> Option<ConfirmRequest> {
        let renewed_at = self.renewed_at?;
        let period = renewal_period(self.record.ttl(), self.live_sessions);
        let is_recently_requested = self
            .confirmations_requested_at
            .is_some_and(|requested_at| now < requested_at + retry_delay(period));
        if self.is_ended() || now <= renewed_at + period || is_recently_requested {
            return None;
        }
        self.confirmations_requested_at = Some(now);
        let mut witnesses: Vec<Witness> = self.witness_sets().flatten().cloned().collect();
        witnesses.sort_unstable();
        witnesses.dedup();
        Some(ConfirmRequest { renewals: self.record.renewals, witnesses, requested_at: now })
    }

    /// Records that a witness confirmed the request that was made at `requested_at`.
    pub fn record_confirmation(&mut self, witness: SessionId, requested_at: Duration) {
        let latest = self.confirmations.entry(witness).or_insert(requested_at);
        *latest = requested_at.max(*latest);
    }

    /// Reports whether orders may be sent under this session.
    pub fn is_valid(&self, now: Duration) -> bool {
        match self.state {
            SessionState::Joining | SessionState::Suspended | SessionState::Ended => false,
            SessionState::InForce | SessionState::Corroborated | SessionState::Lapsed => {
                !self.is_paused_at(now) && (self.is_within_ttl(now) || self.is_confirmed(now))
            }
        }
    }

    /// Reports whether the last acknowledged renewal is younger than the time to live.
    pub fn is_within_ttl(&self, now: Duration) -> bool {
        self.renewed_at.is_some_and(|sent| now < sent + self.record.ttl())
    }

    /// Reports whether the session has ended.
    pub fn is_ended(&self) -> bool {
        self.state == SessionState::Ended
    }

    /// Returns the state after the last event.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// Returns the last acknowledged record.
    pub fn record(&self) -> &SessionRecord {
        &self.record
    }

    /// Returns the version of the last acknowledged record.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Returns the time at which the last acknowledged renewal was first sent.
    pub fn renewed_at(&self) -> Option<Duration> {
        self.renewed_at
    }

    /// Iterates over the witnesses of each record that may be the stored one: the acknowledged one
    /// and those with an unknown outcome.
    pub fn witness_sets(&self) -> impl Iterator<Item = &Vec<Witness>> {
        let unacknowledged = self.unacknowledged.iter().chain(&self.pending);
        std::iter::once(&self.record)
            .chain(unacknowledged.map(|sent| &sent.record))
            .map(|record| &record.witnesses)
    }

    /// Counts the witnesses of a set whose confirmation is younger than the time to live.
    pub fn count_confirmed(&self, witnesses: &[Witness], now: Duration) -> usize {
        let is_fresh = |witness: &&Witness| {
            self.confirmations
                .get(&witness.session_id)
                .is_some_and(|requested_at| now < *requested_at + self.record.ttl())
        };
        witnesses.iter().filter(is_fresh).count()
    }

    /// Returns the number of events that the chart did not define in the current state.
    pub fn undefined_events(&self) -> u64 {
        self.undefined_events
    }

    fn is_confirmed(&self, now: Duration) -> bool {
        let max_age = self.record.ttl() + self.times.max_outage;
        let is_within_max_outage = self.renewed_at.is_some_and(|sent| now < sent + max_age);
        let is_majority = |witnesses: &Vec<Witness>| {
            !witnesses.is_empty()
                && self.count_confirmed(witnesses, now) >= majority(witnesses.len())
        };
        is_within_max_outage && self.witness_sets().all(is_majority)
    }

    fn is_paused_at(&self, now: Duration) -> bool {
        self.ticked_at.is_some_and(|ticked_at| now > ticked_at + self.times.pause_margin)
    }

    /// Returns the record to write: the same one again while the outcome of its write is unknown.
    fn next_record(&self) -> SessionRecord {
        if let Some(unacknowledged) = &self.unacknowledged {
            return unacknowledged.record.clone();
        }
        let mut record = self.record.clone();
        record.leaving = self.leaving;
        record.witnesses.clone_from(&self.next_witnesses);
        if self.version.is_some() {
            record.renewals += 1;
        }
        record
    }

    fn step(&mut self, event: SessionEvent) {
        match session_chart().step(self.state, event) {
            Ok(state) => self.state = state,
            Err(_undefined) => self.undefined_events += 1,
        }
    }
}
