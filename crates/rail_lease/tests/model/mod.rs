//! One holder, one revoker and some witnesses around a platform, in small integer time.

#![allow(dead_code, reason = "each test binary uses a part of the model")]

use rail_lease::{
    CallEffect, HolderCommand, LeaseTimes, SessionHolder, SessionObserver, SessionRecord,
    SessionWitness, Witness, WitnessRefusal, majority,
};
use std::time::Duration;

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
    pub holder: SessionHolder,
    pub process: Process,
    pub stored: SessionRecord,
    pub version: u64,
    delayed_renewal: Option<(SessionRecord, u64)>,
    delayed_revocation: Option<u64>,
    is_holder_cut: bool,
    is_revoker_cut: bool,
    was_revoker_away: bool,
    observer: SessionObserver,
    witnesses: Vec<WitnessProcess>,
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
            holder,
            process: Process::Running,
            stored: record,
            version: 1,
            delayed_renewal: None,
            delayed_revocation: None,
            is_holder_cut: false,
            is_revoker_cut: false,
            was_revoker_away: false,
            observer,
            witnesses: (0..witnesses as u64).map(process).collect(),
        }
    }

    /// Names only the later half of the witnesses, or the earlier, from the next renewal on.
    pub fn rename_witnesses(&mut self, from: usize, count: usize) {
        let address = self.stored.address;
        let named = |w: &WitnessProcess| Witness { session_id: w.id, address };
        let set = self.witnesses[from..from + count].iter().map(named).collect();
        self.holder.set_fleet(1, set);
    }

    /// Names the first `count` witnesses in the record that stands.
    pub fn start_with_first(mut self, count: usize) -> Self {
        self.stored.witnesses.truncate(count);
        let mut holder = SessionHolder::new(self.stored.clone(), TIMES);
        holder.tick(units(self.now));
        holder.poll(units(self.now)).expect("creation");
        holder.acknowledge(self.stored.clone(), "1".to_owned());
        self.holder = holder;
        self.observer = SessionObserver::new(TIMES);
        self.observer.observe(self.stored.clone(), "1".to_owned(), units(self.now));
        self
    }

    /// Reports whether the holder would give orders now.
    pub fn is_in_force(&self) -> bool {
        let now = units(self.now);
        let is_alive = matches!(self.process, Process::Running | Process::Paused);
        let is_awake = self.holder.state() != rail_lease::SessionState::Suspended;
        let acked = &self.holder.record().witnesses;
        let in_limit =
            self.holder.renewed_at().is_some_and(|sent| now < sent + units(TTL + MAX_OUTAGE));
        let within = self.holder.is_within_ttl(now);
        let confirmed = self.holder.confirmed_of(acked, now);
        is_alive
            && match self.policy {
                Policy::Chosen => self.holder.is_in_force(now),
                Policy::StopAtTtl => self.holder.is_in_force(now) && within,
                Policy::Blind => is_awake && !self.holder.is_ended() && in_limit,
                Policy::Unanimity => {
                    self.holder.is_in_force(now)
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
        self.is_revoked() && self.is_in_force()
    }

    /// Reports whether somebody owns the engines.
    pub fn has_owner(&self) -> bool {
        self.is_revoked() || self.is_in_force()
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
        let mut holder = self.holder.clone();
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
        let step = |action| self.apply(action).map(|next| (action, next));
        actions.into_iter().filter_map(step).collect()
    }

    /// Applies an action; none when it is not possible or changes nothing.
    pub fn apply(&self, action: Action) -> Option<Self> {
        let mut next = self.clone();
        let possible = next.step(action);
        (possible && next != *self).then_some(next)
    }

    fn step(&mut self, action: Action) -> bool {
        match action {
            Action::Tick => {
                self.now += 1;
                if self.process == Process::Running {
                    self.holder.tick(units(self.now));
                }
                true
            }
            Action::Renew(outcome) => self.renew(outcome),
            Action::DelayedRenewalLands => {
                let Some((record, expected)) = self.delayed_renewal.take() else { return false };
                if expected == self.version {
                    self.store(record);
                }
                true
            }
            Action::Ask => self.ask(),
            Action::Answer(index) => self.answer(index),
            Action::Pause => self.change_process(Process::Running, Process::Paused),
            Action::Resume => {
                let resumed = self.process == Process::Paused;
                if resumed {
                    self.process = Process::Running;
                    self.holder.tick(units(self.now));
                }
                resumed
            }
            Action::Kill => self.change_process(Process::Running, Process::Gone),
            Action::ReplaceHolder => self.change_process(Process::Running, Process::Replaced),
            Action::CutHolder(cut) => self.spend(cut) && flip(&mut self.is_holder_cut, cut),
            Action::CutRevoker(cut) => self.spend(cut) && self.cut_revoker(cut),
            Action::CutWitness(index, cut) => {
                self.spend(cut) && flip(&mut self.witnesses[index].is_cut, cut)
            }
            Action::Outage(cut) => {
                self.spend(cut);
                self.is_holder_cut = cut;
                self.cut_revoker(cut);
                self.witnesses.iter_mut().for_each(|w| w.is_cut = cut);
                true
            }
            Action::ReplaceWitness(index) => self.spend(true) && self.replace_witness(index),
            Action::ReplaceAll => {
                self.process = Process::Replaced;
                self.spend(true) && (0..self.witnesses.len()).all(|i| self.replace_witness(i))
            }
            Action::Observe => self.observe(),
            Action::Pledge(index) => self.pledge(index),
            Action::FindHolderReplaced => {
                if self.process == Process::Replaced {
                    self.observer.take_gone(HOLDER_ID, units(self.now));
                }
                true
            }
            Action::Revoke(outcome) => self.revoke(outcome),
            Action::DelayedRevocationLands => {
                let Some(expected) = self.delayed_revocation.take() else { return false };
                self.revoke_version(expected);
                true
            }
        }
    }

    fn spend(&mut self, is_fault: bool) -> bool {
        self.faults_left -= u8::from(is_fault);
        true
    }

    fn change_process(&mut self, from: Process, to: Process) -> bool {
        let possible = self.process == from;
        self.process = to;
        self.spend(true) && possible
    }

    fn cut_revoker(&mut self, cut: bool) -> bool {
        self.was_revoker_away |= cut;
        flip(&mut self.is_revoker_cut, cut)
    }

    fn replace_witness(&mut self, index: usize) -> bool {
        let witness = &mut self.witnesses[index];
        let fresh = WitnessProcess { id: witness.id + REPLACED_BY, ..WitnessProcess::default() };
        let is_first = witness.id < REPLACED_BY;
        *witness = WitnessProcess { is_cut: witness.is_cut, ..fresh };
        is_first
    }

    fn store(&mut self, record: SessionRecord) {
        self.stored = record;
        self.version += 1;
    }

    fn renew(&mut self, outcome: Outcome) -> bool {
        let now = units(self.now);
        if self.process != Process::Running {
            return false;
        }
        let Some(HolderCommand::Renew { record, expected_version }) = self.holder.poll(now) else {
            return false;
        };
        let expected = expected_version.parse::<u64>().expect("versions are numbers");
        if self.is_holder_cut {
            self.holder.fail(CallEffect::None, now);
            return outcome == Outcome::Answered;
        }
        if outcome == Outcome::Delayed {
            self.delayed_renewal = Some((record, expected));
            self.holder.fail(CallEffect::Unknown, now);
            return self.spend(true);
        }
        if expected != self.version {
            self.settle();
            return outcome == Outcome::Answered;
        }
        self.store(record.clone());
        if outcome == Outcome::ReplyLost {
            self.holder.fail(CallEffect::Unknown, now);
            return self.spend(true);
        }
        self.holder.acknowledge(record, self.version.to_string());
        true
    }

    fn settle(&mut self) {
        if self.stored.revoked {
            self.holder.end();
        } else {
            self.holder.acknowledge(self.stored.clone(), self.version.to_string());
        }
    }

    fn ask(&mut self) -> bool {
        if self.process != Process::Running || self.policy == Policy::StopAtTtl {
            return false;
        }
        let Some(request) = self.holder.poll_witnesses(units(self.now)) else { return false };
        for witness in &mut self.witnesses {
            // A reachable witness refuses, and an answer after a later cut counts for less time than
            // one to a later question: only questions to cut witnesses are explored.
            let is_named = request.witnesses.iter().any(|w| w.session_id == witness.id);
            if is_named && witness.is_cut {
                witness.asked = Some((self.now, request.renewals));
            }
        }
        true
    }

    fn answer(&mut self, index: usize) -> bool {
        let now = units(self.now);
        let witness = &mut self.witnesses[index];
        let Some((asked_at, renewals)) = witness.asked.take() else { return false };
        let reachable = !witness.is_cut;
        if witness.given.confirm(HOLDER_ID, renewals, reachable, now).is_ok() {
            self.holder.confirm(witness.id, units(asked_at));
        }
        true
    }

    fn observe(&mut self) -> bool {
        if self.is_revoker_cut {
            return false;
        }
        let now = units(self.now);
        if std::mem::take(&mut self.was_revoker_away) && self.waits != Waits::NoneAfterOutage {
            self.observer.restart_waits(now);
        }
        self.observer.observe(self.stored.clone(), self.version.to_string(), now);
        true
    }

    fn pledge(&mut self, index: usize) -> bool {
        let now = units(self.now);
        let witness = &mut self.witnesses[index];
        let asked = witness.id % REPLACED_BY;
        let requests = self.observer.missing_pledges(now);
        let Some(request) = requests.iter().find(|r| r.witness.session_id == asked) else {
            return false;
        };
        let answer = if witness.id == asked {
            witness.given.pledge(request.session_id, request.renewals, request.ttl, now)
        } else {
            Err(WitnessRefusal::Replaced)
        };
        let is_at_once = matches!(self.waits, Waits::ReplacedAtOnce | Waits::NoneAfterOutage);
        match answer {
            Ok(()) => self.observer.take_pledge(request.session_id, request.renewals, asked),
            Err(WitnessRefusal::Replaced) if is_at_once => {
                self.observer.take_gone(asked, now.saturating_sub(units(TTL)));
            }
            Err(WitnessRefusal::Replaced) => self.observer.take_gone(asked, now),
            Err(_) if self.waits == Waits::NoPledges => {
                self.observer.take_pledge(request.session_id, request.renewals, asked);
            }
            Err(_) => {}
        }
        true
    }

    fn revoke(&mut self, outcome: Outcome) -> bool {
        let expired = self.observer.expired(units(self.now));
        let Some((_, version)) = expired.first() else { return false };
        if self.is_revoker_cut || self.was_revoker_away {
            return false;
        }
        let expected = version.parse::<u64>().expect("versions are numbers");
        match outcome {
            Outcome::Answered => self.revoke_version(expected),
            Outcome::ReplyLost => return false,
            Outcome::Delayed => {
                self.delayed_revocation = Some(expected);
                self.spend(true);
            }
        }
        true
    }

    fn revoke_version(&mut self, expected: u64) {
        if expected == self.version {
            let record = SessionRecord { revoked: true, ..self.stored.clone() };
            self.store(record);
        }
    }

    /// Ends all faults and runs everybody in turn; gives the time until an owner stands again.
    pub fn time_to_owner(&self, limit: u64) -> Option<u64> {
        if self.has_owner() {
            return Some(0);
        }
        let mut world = self.clone();
        world.step(Action::Outage(false));
        world.step(Action::Resume);
        for waited in 0..=limit {
            for action in world.fair_round() {
                world.step(action);
            }
            if world.has_owner() {
                return Some(waited);
            }
            world.step(Action::Tick);
        }
        None
    }

    /// Lists what everybody does in one unit of time without further faults.
    pub fn fair_round(&self) -> Vec<Action> {
        let mut round = vec![
            Action::DelayedRenewalLands,
            Action::DelayedRevocationLands,
            Action::Renew(Outcome::Answered),
            Action::Ask,
        ];
        round.extend((0..self.witnesses.len()).map(Action::Answer));
        round.extend([Action::Observe, Action::FindHolderReplaced]);
        round.extend((0..self.witnesses.len()).map(Action::Pledge));
        round.push(Action::Revoke(Outcome::Answered));
        round
    }
}

/// Sets a switch; tells whether it changed.
fn flip(switch: &mut bool, to: bool) -> bool {
    std::mem::replace(switch, to) != to
}
