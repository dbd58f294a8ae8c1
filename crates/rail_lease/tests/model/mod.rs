//! One holder, one revoker and some witnesses around a platform, in small integer time.

#![allow(dead_code, reason = "each test binary uses a part of the model")]

mod steps;

use rail_lease::{
    LeaseTimes, SessionHolder, SessionObserver, SessionRecord, SessionWitness, Witness, majority,
};
use std::{rc::Rc, time::Duration};

pub const TTL: u64 = 2;
pub const MAX_OUTAGE: u64 = 3;
const HOLDER_ID: u64 = 1;
const FIRST_WITNESS_ID: u64 = 10;
const REPLACED_BY: u64 = 100;
const TIMES: LeaseTimes = LeaseTimes {
    pause_margin: Duration::from_secs(1),
    max_outage: Duration::from_secs(MAX_OUTAGE),
};

/// When a holder past its time to live goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    StopAtTtl,
    Blind,
    Unanimity,
    Chosen,
    /// Fault: only the witnesses of the acknowledged record are asked for.
    OneWitnessSet,
}

/// How the revoker treats waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Waits {
    Chosen,
    /// Fault: a witness that was replaced counts as a pledge at once.
    ReplacedAtOnce,
    /// Fault: as above, and no wait starts again after an outage.
    NoneAfterOutage,
    /// Fault: pledges are not asked for after an outage.
    NoPledges,
}

/// Whether links that were cut can come back within the exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cuts {
    Heal,
    Last,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Process {
    Running,
    Paused,
    Gone,
    Replaced,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    Answered,
    ReplyLost,
    Delayed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    Tick,
    Renew(Outcome),
    DelayedRenewalLands,
    Ask,
    Answer(usize),
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
    Pledge(usize),
    FindHolderReplaced,
    Revoke(Outcome),
    DelayedRevocationLands,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub now: u64,
    pub faults_left: u8,
    pub policy: Policy,
    pub waits: Waits,
    pub holder: Rc<SessionHolder>,
    pub process: Process,
    pub cuts: Cuts,
    pub stored: Rc<SessionRecord>,
    pub version: u64,
    delayed_renewal: Option<(SessionRecord, u64)>,
    delayed_revocation: Option<u64>,
    is_holder_cut: bool,
    is_revoker_cut: bool,
    was_revoker_away: bool,
    observer: Rc<SessionObserver>,
    witnesses: Vec<Rc<WitnessProcess>>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct WitnessProcess {
    id: u64,
    is_cut: bool,
    given: SessionWitness,
    asked: Option<(u64, u64)>,
}

fn units(time: u64) -> Duration {
    Duration::from_secs(time)
}

impl World {
    /// Starts in a state where the holder has just renewed; the even renewals name other witnesses.
    pub fn new(witnesses: usize, faults: u8, policy: Policy, waits: Waits) -> Self {
        let address = "127.0.0.1:1".parse().expect("address");
        let named = |index: usize| Witness { session_id: FIRST_WITNESS_ID + index as u64, address };
        let record = SessionRecord {
            session_id: HOLDER_ID,
            host: String::new(),
            zone: String::new(),
            address,
            ttl_ms: 1000 * TTL,
            renewals: 0,
            leaving: false,
            revoked: false,
            witnesses: (0..witnesses).map(named).collect(),
        };
        // Time starts at a time to live, so that a wait can be backdated by one.
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
            waits,
            holder: Rc::new(holder),
            process: Process::Running,
            cuts: Cuts::Heal,
            stored: Rc::new(record),
            version: 1,
            delayed_renewal: None,
            delayed_revocation: None,
            is_holder_cut: false,
            is_revoker_cut: false,
            was_revoker_away: false,
            observer: Rc::new(observer),
            witnesses: (0..witnesses as u64).map(|index| Rc::new(process(index))).collect(),
        }
    }

    /// Names only the later half of the witnesses, or the earlier, from the next renewal on.
    pub fn rename_witnesses(&mut self, from: usize, count: usize) {
        let address = self.stored.address;
        let named = |w: &Rc<WitnessProcess>| Witness { session_id: w.id, address };
        let set = self.witnesses[from..from + count].iter().map(named).collect();
        Rc::make_mut(&mut self.holder).set_fleet(1, set);
    }

    /// Names the first `count` witnesses in the record that stands.
    pub fn start_with_first(mut self, count: usize) -> Self {
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

    /// Reports whether the holder would give orders now.
    pub fn is_valid(&self) -> bool {
        let now = units(self.now);
        let is_alive = matches!(self.process, Process::Running | Process::Paused);
        let is_awake = self.holder.state() != rail_lease::SessionState::Suspended;
        let acked = &self.holder.record().witnesses;
        let in_limit =
            self.holder.renewed_at().is_some_and(|sent| now < sent + units(TTL + MAX_OUTAGE));
        let within = self.holder.is_within_ttl(now);
        let confirmed = self.holder.count_confirmed(acked, now);
        is_alive
            && match self.policy {
                Policy::Chosen => self.holder.is_valid(now),
                Policy::StopAtTtl => self.holder.is_valid(now) && within,
                Policy::Blind => is_awake && !self.holder.is_ended() && in_limit,
                Policy::Unanimity => {
                    self.holder.is_valid(now)
                        && (within || (!acked.is_empty() && confirmed == acked.len()))
                }
                Policy::OneWitnessSet => {
                    is_awake
                        && !self.holder.is_ended()
                        && (within
                            || (in_limit
                                && !acked.is_empty()
                                && confirmed >= majority(acked.len())))
                }
            }
    }

    /// Reports whether a successor may take the engines.
    pub fn is_revoked(&self) -> bool {
        self.stored.revoked
    }

    /// Reports whether two processes would give orders at once.
    pub fn is_violated(&self) -> bool {
        self.is_revoked() && self.is_valid()
    }

    /// Reports whether somebody owns the engines.
    pub fn has_owner(&self) -> bool {
        self.is_revoked() || self.is_valid()
    }

    /// Lists all states that one step leads to.
    pub fn successors(&self, horizon: u64) -> Vec<(Action, Self)> {
        if self.is_revoked() && matches!(self.process, Process::Gone | Process::Replaced) {
            return Vec::new();
        }
        let mut actions = vec![
            Action::Renew(Outcome::Answered),
            Action::Ask,
            Action::Resume,
            Action::Observe,
            Action::FindHolderReplaced,
            Action::Revoke(Outcome::Answered),
            Action::DelayedRenewalLands,
            Action::DelayedRevocationLands,
            Action::CutHolder(false),
            Action::CutRevoker(false),
            Action::Outage(false),
        ];
        // A running holder renews within a unit of time; a slower one counts as paused.
        let mut holder = SessionHolder::clone(&self.holder);
        let is_renewal_due =
            self.process == Process::Running && holder.poll(units(self.now)).is_some();
        if self.now < horizon && !is_renewal_due {
            actions.push(Action::Tick);
        }
        for index in 0..self.witnesses.len() {
            actions.extend([
                Action::Answer(index),
                Action::Pledge(index),
                Action::CutWitness(index, false),
            ]);
        }
        if self.faults_left > 0 {
            actions.extend([
                Action::Renew(Outcome::ReplyLost),
                Action::Renew(Outcome::Delayed),
                Action::Revoke(Outcome::ReplyLost),
                Action::Revoke(Outcome::Delayed),
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
        let is_heal = |action: &Action| {
            matches!(
                action,
                Action::CutHolder(false)
                    | Action::CutRevoker(false)
                    | Action::CutWitness(_, false)
                    | Action::Outage(false)
            )
        };
        actions.retain(|action| !(self.cuts == Cuts::Last && is_heal(action)));
        let step = |action| self.apply(action).map(|next| (action, next));
        actions.into_iter().filter_map(step).collect()
    }
}
