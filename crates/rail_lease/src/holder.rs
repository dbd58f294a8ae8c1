//! The holder's side of a session.

use crate::{
    charts::{SessionEvent, SessionState, session_chart},
    record::{SessionId, SessionRecord, Witness},
    timing::{LeaseTimes, renewal_period, retry_pause},
    witness::majority,
};
use std::{collections::BTreeMap, time::Duration};

/// What the shell should send to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderCommand {
    /// Create the session record.
    Create(SessionRecord),
    /// Update the session record if it still has this version.
    Renew {
        /// New content.
        record: SessionRecord,
        /// Version that must stand.
        expected_version: String,
    },
}

/// What is known of a call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallEffect {
    /// It had none.
    None,
    /// It may have had, or may still have.
    Unknown,
}

/// A question to the witnesses whether the platform is away from them too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfirmRequest {
    /// Last acknowledged renewal, which every witness is shown.
    pub renewals: u64,
    /// Whom to ask.
    pub witnesses: Vec<Witness>,
    /// When it was asked; an answer counts from then on.
    pub asked_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sent {
    record: SessionRecord,
    at: Duration,
}

/// Keeps one session alive and knows whether it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionHolder {
    times: LeaseTimes,
    state: SessionState,
    record: SessionRecord,
    version: Option<String>,
    renewed_at: Option<Duration>,
    pending: Option<Sent>,
    unacknowledged: Option<Sent>,
    retry_at: Duration,
    confirmations: BTreeMap<SessionId, Duration>,
    asked_at: Option<Duration>,
    ticked_at: Option<Duration>,
    paused_at: Option<Duration>,
    live_sessions: usize,
    next_witnesses: Vec<Witness>,
    leaving: bool,
    undefined_events: u64,
}

impl SessionHolder {
    /// Starts a session that is not in force before its record is created.
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
            asked_at: None,
            ticked_at: None,
            paused_at: None,
            live_sessions: 1,
            leaving: false,
            undefined_events: 0,
        }
    }

    /// Records the passing of time; a gap above the margin suspends the session.
    pub fn tick(&mut self, now: Duration) {
        let is_paused = self.is_gap(now);
        self.ticked_at = Some(now);
        if is_paused {
            self.paused_at = Some(now);
            self.step(SessionEvent::Paused);
        } else if !self.is_within_ttl(now) {
            let is_confirmed = self.is_confirmed(now);
            self.step(if is_confirmed { SessionEvent::Confirmed } else { SessionEvent::Expired });
        }
    }

    /// Gives the next call to make, if one is due.
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
        self.pending = Some(Sent { record: record.clone(), at: now });
        Some(match self.version.clone() {
            None => HolderCommand::Create(record),
            Some(expected_version) => HolderCommand::Renew { record, expected_version },
        })
    }

    /// Records that the platform holds this record of the session, at this version.
    ///
    /// A record that was read back counts from the first attempt to write it.
    pub fn acknowledge(&mut self, record: SessionRecord, version: String) {
        let sent = [self.unacknowledged.take(), self.pending.take()];
        let is_this = |sent: &Sent| sent.record.renewals == record.renewals;
        let sent_at = sent.into_iter().flatten().filter(is_this).map(|sent| sent.at).min();
        self.record = record;
        self.version = Some(version);
        self.renewed_at = sent_at.or(self.renewed_at);
        let is_after_pause = self.paused_at.is_none_or(|paused| self.renewed_at >= Some(paused));
        if is_after_pause && self.renewed_at.is_some() {
            self.step(SessionEvent::Renewed);
        }
    }

    /// Reports whether a record that was read back was created anew after a deletion.
    ///
    /// Each renewal raises its number, so another version without a greater number can only come
    /// from a late copy of the first write.
    pub fn is_recreated(&self, record: &SessionRecord, version: &str) -> bool {
        let is_other = self.version.as_deref().is_some_and(|known| known != version);
        is_other && record.renewals <= self.record.renewals
    }

    /// Records that the call failed.
    pub fn record_failure(&mut self, effect: CallEffect, now: Duration) {
        let pending = self.pending.take();
        if effect == CallEffect::Unknown && self.unacknowledged.is_none() {
            self.unacknowledged = pending;
        }
        self.retry_at = now + retry_pause(renewal_period(self.record.ttl(), self.live_sessions));
    }

    /// Records that the platform holds a record that ends the session.
    pub fn record_revocation(&mut self) {
        self.step(SessionEvent::Revoked);
    }

    /// Marks the session as leaving from its next renewal on, which is due at once.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Sets the size of the fleet and the witnesses that the next renewal names.
    pub fn set_fleet(&mut self, live_sessions: usize, witnesses: Vec<Witness>) {
        self.live_sessions = live_sessions;
        self.next_witnesses = witnesses;
    }

    /// Gives the question to ask the witnesses, if one is due.
    pub fn poll_witnesses(&mut self, now: Duration) -> Option<ConfirmRequest> {
        let renewed_at = self.renewed_at?;
        let period = renewal_period(self.record.ttl(), self.live_sessions);
        let is_asked = self.asked_at.is_some_and(|asked| now < asked + retry_pause(period));
        if self.is_ended() || now <= renewed_at + period || is_asked {
            return None;
        }
        self.asked_at = Some(now);
        let mut witnesses: Vec<Witness> = self.witness_sets().flatten().cloned().collect();
        witnesses.sort_unstable();
        witnesses.dedup();
        Some(ConfirmRequest { renewals: self.record.renewals, witnesses, asked_at: now })
    }

    /// Records that a witness confirmed what it was asked at this time.
    pub fn record_confirmation(&mut self, witness: SessionId, asked_at: Duration) {
        let latest = self.confirmations.entry(witness).or_insert(asked_at);
        *latest = asked_at.max(*latest);
    }

    /// Reports whether orders may be given under this session.
    pub fn is_valid(&self, now: Duration) -> bool {
        match self.state {
            SessionState::Joining | SessionState::Suspended | SessionState::Ended => false,
            SessionState::InForce | SessionState::Corroborated | SessionState::Lapsed => {
                !self.is_gap(now) && (self.is_within_ttl(now) || self.is_confirmed(now))
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

    /// Returns the state as of the last event.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// Returns the record as last acknowledged.
    pub fn record(&self) -> &SessionRecord {
        &self.record
    }

    /// Returns the version of the record as last acknowledged.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Tells when the last acknowledged renewal was sent.
    pub fn renewed_at(&self) -> Option<Duration> {
        self.renewed_at
    }

    /// Lists the witnesses of each record that may stand: the acknowledged and the unacknowledged.
    pub fn witness_sets(&self) -> impl Iterator<Item = &Vec<Witness>> {
        let unacknowledged = self.unacknowledged.iter().chain(&self.pending);
        std::iter::once(&self.record).chain(unacknowledged.map(|s| &s.record)).map(|r| &r.witnesses)
    }

    /// Counts the witnesses of a set whose confirmation still counts.
    pub fn count_confirmed(&self, witnesses: &[Witness], now: Duration) -> usize {
        let is_fresh = |w: &&Witness| {
            self.confirmations.get(&w.session_id).is_some_and(|at| now < *at + self.record.ttl())
        };
        witnesses.iter().filter(is_fresh).count()
    }

    /// Counts events that the chart does not define in the state in which they came.
    pub fn undefined_events(&self) -> u64 {
        self.undefined_events
    }

    fn is_confirmed(&self, now: Duration) -> bool {
        let limit = self.record.ttl() + self.times.max_outage;
        let is_in_limit = self.renewed_at.is_some_and(|sent| now < sent + limit);
        let is_majority = |set: &Vec<Witness>| {
            !set.is_empty() && self.count_confirmed(set, now) >= majority(set.len())
        };
        is_in_limit && self.witness_sets().all(is_majority)
    }

    fn is_gap(&self, now: Duration) -> bool {
        self.ticked_at.is_some_and(|ticked| now > ticked + self.times.pause_margin)
    }

    /// Gives the record to write: the same one again while its fate is unknown.
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
