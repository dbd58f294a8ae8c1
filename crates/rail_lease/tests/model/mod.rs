//! Model of one holder, one revoker and several witnesses around a platform, in discrete time.

#![allow(dead_code, reason = "each test binary uses a part of the model")]

mod steps;

use rail_lease::{
    LeaseTimes, SessionHolder, SessionObserver, SessionRecord, SessionWitness, Witness, majority,
};
use std::{rc::Rc, time::Duration};

/// Time to live of the session, in time units.
pub const TTL: u64 = 2;
/// Maximum outage, in time units.
pub const MAX_OUTAGE: u64 = 3;
const HOLDER_ID: u64 = 1;
const FIRST_WITNESS_ID: u64 = 10;
/// Difference between the id of a witness and that of the process that replaces it.
const REPLACEMENT_ID_OFFSET: u64 = 100;
const TIMES: LeaseTimes = LeaseTimes {
    pause_margin: Duration::from_secs(1),
    max_outage: Duration::from_secs(MAX_OUTAGE),
};

/// Condition under which a holder continues after its time to live has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Stops when the time to live has passed.
    StopAtTtl,
    /// Faulty: continues for the maximum outage without any confirmation.
    NoConfirmations,
    /// Continues with confirmations of all witnesses.
    AllWitnesses,
    /// Continues with confirmations of a majority, as the library does.
    Majority,
    /// Faulty: counts only the witnesses of the acknowledged record.
    OneWitnessSet,
}

/// Conditions that the revoker waits for before it revokes the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RevocationPolicy {
    /// Waits for all conditions of the library.
    AllConditions,
    /// Faulty: a replaced witness counts as a promise immediately.
    ReplacedImmediately,
    /// Faulty: as above, and no wait starts again after an outage.
    NoWaitAfterOutage,
    /// Faulty: a refusal of a witness counts as a promise, and a replaced witness counts
    /// immediately.
    NoPromises,
}

/// Whether links that were cut can recover within the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LinkRecovery {
    /// Cut links may recover at any time.
    Possible,
    /// Links that are cut stay cut.
    Never,
}

/// State of the process that holds the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Process {
    Running,
    /// Stopped for a time; its messages that are on the way still arrive.
    Paused,
    /// Killed, without another process at its address.
    Ended,
    /// Killed, and another process answers at its address.
    Replaced,
}

/// Outcome of a conditional write to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write takes effect, is refused or fails without effect, and the process is informed.
    Answered,
    /// The write takes effect, but its reply is lost.
    ReplyLost,
    /// The reply is lost, and the write may take effect later.
    Delayed,
}

/// Step of one process, a fault, or the end of a fault; `true` starts an outage or cuts a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    Tick,
    Renew(WriteOutcome),
    DelayedRenewalTakesEffect,
    RequestConfirmations,
    AnswerHolder(usize),
    Pause,
    Resume,
    Kill,
    CutHolder(bool),
    CutRevoker(bool),
    CutWitness(usize, bool),
    Outage(bool),
    ReplaceWitness(usize),
    ReplaceAll,
    ReplaceHolder,
    Observe,
    RequestPromise(usize),
    DetectReplacedHolder,
    Revoke(WriteOutcome),
    DelayedRevocationTakesEffect,
}

/// State of the platform, the holder, the revoker and the witnesses at one time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelState {
    pub now: u64,
    pub faults_left: u8,
    pub policy: Policy,
    pub revocation: RevocationPolicy,
    pub holder: Rc<SessionHolder>,
    pub process: Process,
    pub link_recovery: LinkRecovery,
    pub stored: Rc<SessionRecord>,
    pub version: u64,
    delayed_renewal: Option<(SessionRecord, u64)>,
    delayed_revocation: Option<u64>,
    is_holder_cut: bool,
    is_revoker_cut: bool,
    /// Whether the revoker was cut off from the platform since it last observed the session.
    was_revoker_cut: bool,
    observer: Rc<SessionObserver>,
    witnesses: Vec<Rc<WitnessProcess>>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct WitnessProcess {
    id: u64,
    is_cut: bool,
    commitments: SessionWitness,
    /// Time and renewal number of a request for a confirmation that is not answered yet.
    pending_request: Option<(u64, u64)>,
}

fn units(time: u64) -> Duration {
    Duration::from_secs(time)
}

impl ModelState {
    /// Creates a state in which the holder has just created its record, which names all witnesses.
    pub fn new(witnesses: usize, faults: u8, policy: Policy, revocation: RevocationPolicy) -> Self {
        let address = "127.0.0.1:1".parse().expect("address");
        let to_witness =
            |index: usize| Witness { session_id: FIRST_WITNESS_ID + index as u64, address };
        let record = SessionRecord {
            session_id: HOLDER_ID,
            host: String::new(),
            zone: String::new(),
            address,
            ttl_ms: 1000 * TTL,
            renewals: 0,
            leaving: false,
            revoked: false,
            witnesses: (0..witnesses).map(to_witness).collect(),
        };
        // Starts at one time to live, so that the time of an event can be set back by one.
        let now = TTL;
        let mut holder = SessionHolder::new(record.clone(), TIMES);
        holder.tick(units(now));
        holder.poll(units(now)).expect("creation");
        holder.acknowledge(record.clone(), "1".to_owned());
        let mut observer = SessionObserver::new(TIMES);
        observer.observe(record.clone(), "1".to_owned(), units(now));
        let process =
            |index| WitnessProcess { id: FIRST_WITNESS_ID + index, ..WitnessProcess::default() };
        Self {
            now,
            faults_left: faults,
            policy,
            revocation,
            holder: Rc::new(holder),
            process: Process::Running,
            link_recovery: LinkRecovery::Possible,
            stored: Rc::new(record),
            version: 1,
            delayed_renewal: None,
            delayed_revocation: None,
            is_holder_cut: false,
            is_revoker_cut: false,
            was_revoker_cut: false,
            observer: Rc::new(observer),
            witnesses: (0..witnesses as u64).map(|index| Rc::new(process(index))).collect(),
        }
    }

    /// Sets the witnesses that the next renewal names: `count` witnesses from index `from`.
    pub fn set_next_witnesses(&mut self, from: usize, count: usize) {
        let address = self.stored.address;
        let to_witness = |w: &Rc<WitnessProcess>| Witness { session_id: w.id, address };
        let next_witnesses = self.witnesses[from..from + count].iter().map(to_witness).collect();
        Rc::make_mut(&mut self.holder).set_fleet(1, next_witnesses);
    }

    /// Limits the witnesses of the stored record to the first `count`.
    pub fn with_first_witnesses(mut self, count: usize) -> Self {
        Rc::make_mut(&mut self.stored).witnesses.truncate(count);
        let mut holder = SessionHolder::new(SessionRecord::clone(&self.stored), TIMES);
        holder.tick(units(self.now));
        holder.poll(units(self.now)).expect("creation");
        holder.acknowledge(SessionRecord::clone(&self.stored), "1".to_owned());
        self.holder = Rc::new(holder);
        self.observer = Rc::new(SessionObserver::new(TIMES));
        Rc::make_mut(&mut self.observer).observe(
            SessionRecord::clone(&self.stored),
            "1".to_owned(),
            units(self.now),
        );
        self
    }

    /// Reports whether the holder would send orders now under the policy.
    pub fn is_valid(&self) -> bool {
        let now = units(self.now);
        let is_alive = matches!(self.process, Process::Running | Process::Paused);
        let is_not_suspended = self.holder.state() != rail_lease::SessionState::Suspended;
        let acknowledged_witnesses = &self.holder.record().witnesses;
        let is_within_max_outage =
            self.holder.renewed_at().is_some_and(|sent| now < sent + units(TTL + MAX_OUTAGE));
        let is_within_ttl = self.holder.is_within_ttl(now);
        let confirmed = self.holder.count_confirmed(acknowledged_witnesses, now);
        is_alive
            && match self.policy {
                Policy::Majority => self.holder.is_valid(now),
                Policy::StopAtTtl => self.holder.is_valid(now) && is_within_ttl,
                Policy::NoConfirmations => {
                    is_not_suspended && !self.holder.is_ended() && is_within_max_outage
                }
                Policy::AllWitnesses => {
                    self.holder.is_valid(now)
                        && (is_within_ttl
                            || (!acknowledged_witnesses.is_empty()
                                && confirmed == acknowledged_witnesses.len()))
                }
                Policy::OneWitnessSet => {
                    is_not_suspended
                        && !self.holder.is_ended()
                        && (is_within_ttl
                            || (is_within_max_outage
                                && !acknowledged_witnesses.is_empty()
                                && confirmed >= majority(acknowledged_witnesses.len())))
                }
            }
    }

    /// Reports whether another process may take over the engines.
    pub fn is_revoked(&self) -> bool {
        self.stored.revoked
    }

    /// Reports whether two processes may send orders at the same time.
    pub fn is_violated(&self) -> bool {
        self.is_revoked() && self.is_valid()
    }

    /// Reports whether the holder or another process may own the engines.
    pub fn has_owner(&self) -> bool {
        self.is_revoked() || self.is_valid()
    }

    /// Lists all states that one action leads to, up to the time `horizon`.
    pub fn successors(&self, horizon: u64) -> Vec<(Action, Self)> {
        if self.is_revoked() && matches!(self.process, Process::Ended | Process::Replaced) {
            return Vec::new();
        }
        let mut actions = vec![
            Action::Renew(WriteOutcome::Answered),
            Action::RequestConfirmations,
            Action::Resume,
            Action::Observe,
            Action::DetectReplacedHolder,
            Action::Revoke(WriteOutcome::Answered),
            Action::DelayedRenewalTakesEffect,
            Action::DelayedRevocationTakesEffect,
            Action::CutHolder(false),
            Action::CutRevoker(false),
            Action::Outage(false),
        ];
        // A running holder renews within one time unit; a slower one counts as paused.
        let mut holder = SessionHolder::clone(&self.holder);
        let is_renewal_due =
            self.process == Process::Running && holder.poll(units(self.now)).is_some();
        if self.now < horizon && !is_renewal_due {
            actions.push(Action::Tick);
        }
        for index in 0..self.witnesses.len() {
            actions.extend([
                Action::AnswerHolder(index),
                Action::RequestPromise(index),
                Action::CutWitness(index, false),
            ]);
        }
        if self.faults_left > 0 {
            actions.extend([
                Action::Renew(WriteOutcome::ReplyLost),
                Action::Renew(WriteOutcome::Delayed),
                Action::Revoke(WriteOutcome::ReplyLost),
                Action::Revoke(WriteOutcome::Delayed),
                Action::Pause,
                Action::Kill,
                Action::CutHolder(true),
                Action::CutRevoker(true),
                Action::Outage(true),
                Action::ReplaceAll,
                Action::ReplaceHolder,
            ]);
            for index in 0..self.witnesses.len() {
                actions.extend([Action::CutWitness(index, true), Action::ReplaceWitness(index)]);
            }
        }
        let is_recovery = |action: &Action| {
            matches!(
                action,
                Action::CutHolder(false)
                    | Action::CutRevoker(false)
                    | Action::CutWitness(_, false)
                    | Action::Outage(false)
            )
        };
        actions
            .retain(|action| !(self.link_recovery == LinkRecovery::Never && is_recovery(action)));
        let step = |action| self.apply(action).map(|next| (action, next));
        actions.into_iter().filter_map(step).collect()
    }
}
