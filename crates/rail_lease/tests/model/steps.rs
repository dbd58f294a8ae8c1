//! Effect of each action on the model.

use super::{
    Action, HOLDER_ID, ModelState, Policy, Process, REPLACEMENT_ID_OFFSET, RevocationPolicy, TTL,
    WitnessProcess, WriteOutcome, units,
};
use rail_lease::{CallEffect, HolderCommand, SessionRecord, WitnessRefusal};
use std::rc::Rc;

impl ModelState {
    /// Returns the state after an action; none when the action is impossible or changes nothing.
    pub fn apply(&self, action: Action) -> Option<Self> {
        let mut next = self.clone();
        let is_possible = next.step(action);
        (is_possible && next != *self).then_some(next)
    }

    fn step(&mut self, action: Action) -> bool {
        match action {
            Action::Tick => {
                self.now += 1;
                if self.process == Process::Running {
                    Rc::make_mut(&mut self.holder).tick(units(self.now));
                }
                true
            }
            Action::Renew(outcome) => self.renew(outcome),
            Action::DelayedRenewalTakesEffect => {
                let Some((record, expected)) = self.delayed_renewal.take() else { return false };
                if expected == self.version {
                    self.store(record);
                }
                true
            }
            Action::RequestConfirmations => self.request_confirmations(),
            Action::AnswerHolder(index) => self.answer_holder(index),
            Action::Pause => self.change_process(Process::Running, Process::Paused),
            Action::Resume => {
                let resumed = self.process == Process::Paused;
                if resumed {
                    self.process = Process::Running;
                    Rc::make_mut(&mut self.holder).tick(units(self.now));
                }
                resumed
            }
            Action::Kill => self.change_process(Process::Running, Process::Ended),
            Action::ReplaceHolder => self.change_process(Process::Running, Process::Replaced),
            Action::CutHolder(is_cut) => {
                self.use_fault(is_cut) && set_flag(&mut self.is_holder_cut, is_cut)
            }
            Action::CutRevoker(is_cut) => self.use_fault(is_cut) && self.cut_revoker(is_cut),
            Action::CutWitness(index, is_cut) => {
                self.use_fault(is_cut)
                    && set_flag(&mut Rc::make_mut(&mut self.witnesses[index]).is_cut, is_cut)
            }
            Action::Outage(is_cut) => {
                self.use_fault(is_cut);
                self.is_holder_cut = is_cut;
                self.cut_revoker(is_cut);
                self.witnesses.iter_mut().for_each(|w| Rc::make_mut(w).is_cut = is_cut);
                true
            }
            Action::ReplaceWitness(index) => self.use_fault(true) && self.replace_witness(index),
            Action::ReplaceAll => {
                self.process = Process::Replaced;
                self.use_fault(true) && (0..self.witnesses.len()).all(|i| self.replace_witness(i))
            }
            Action::Observe => self.observe(),
            Action::RequestPromise(index) => self.request_promise(index),
            Action::DetectReplacedHolder => {
                if self.process == Process::Replaced {
                    Rc::make_mut(&mut self.observer).record_replaced(HOLDER_ID, units(self.now));
                }
                true
            }
            Action::Revoke(outcome) => self.revoke(outcome),
            Action::DelayedRevocationTakesEffect => {
                let Some(expected) = self.delayed_revocation.take() else { return false };
                self.revoke_version(expected);
                true
            }
        }
    }

    fn use_fault(&mut self, is_fault: bool) -> bool {
        self.faults_left -= u8::from(is_fault);
        true
    }

    fn change_process(&mut self, from: Process, to: Process) -> bool {
        let is_possible = self.process == from;
        self.process = to;
        self.use_fault(true) && is_possible
    }

    fn cut_revoker(&mut self, is_cut: bool) -> bool {
        self.was_revoker_cut |= is_cut;
        set_flag(&mut self.is_revoker_cut, is_cut)
    }

    fn replace_witness(&mut self, index: usize) -> bool {
        let witness = Rc::make_mut(&mut self.witnesses[index]);
        let replacement =
            WitnessProcess { id: witness.id + REPLACEMENT_ID_OFFSET, ..WitnessProcess::default() };
        let is_first = witness.id < REPLACEMENT_ID_OFFSET;
        *witness = WitnessProcess { is_cut: witness.is_cut, ..replacement };
        is_first
    }

    fn store(&mut self, record: SessionRecord) {
        self.stored = Rc::new(record);
        self.version += 1;
    }

    fn renew(&mut self, outcome: WriteOutcome) -> bool {
        let now = units(self.now);
        if self.process != Process::Running {
            return false;
        }
        let Some(HolderCommand::Renew { record, expected_version }) =
            Rc::make_mut(&mut self.holder).poll(now)
        else {
            return false;
        };
        let expected = expected_version.parse::<u64>().expect("versions are numbers");
        if self.is_holder_cut {
            Rc::make_mut(&mut self.holder).record_failure(CallEffect::None, now);
            return outcome == WriteOutcome::Answered;
        }
        if outcome == WriteOutcome::Delayed {
            self.delayed_renewal = Some((record, expected));
            Rc::make_mut(&mut self.holder).record_failure(CallEffect::Unknown, now);
            return self.use_fault(true);
        }
        if expected != self.version {
            self.resolve_conflict();
            return outcome == WriteOutcome::Answered;
        }
        self.store(record.clone());
        if outcome == WriteOutcome::ReplyLost {
            Rc::make_mut(&mut self.holder).record_failure(CallEffect::Unknown, now);
            return self.use_fault(true);
        }
        Rc::make_mut(&mut self.holder).acknowledge(record, self.version.to_string());
        true
    }

    fn resolve_conflict(&mut self) {
        if self.stored.revoked {
            Rc::make_mut(&mut self.holder).record_revocation();
        } else {
            Rc::make_mut(&mut self.holder)
                .acknowledge(SessionRecord::clone(&self.stored), self.version.to_string());
        }
    }

    fn request_confirmations(&mut self) -> bool {
        if self.process != Process::Running || self.policy == Policy::StopAtTtl {
            return false;
        }
        let Some(request) = Rc::make_mut(&mut self.holder).poll_witnesses(units(self.now)) else {
            return false;
        };
        for witness in &mut self.witnesses {
            let witness = Rc::make_mut(witness);
            // Only requests to witnesses that are cut off are explored: a witness that reaches the
            // platform refuses, and if it is cut off before it answers, a later request would yield
            // a confirmation that counts for longer.
            let is_named = request.witnesses.iter().any(|w| w.session_id == witness.id);
            if is_named && witness.is_cut {
                witness.pending_request = Some((self.now, request.renewals));
            }
        }
        true
    }

    fn answer_holder(&mut self, index: usize) -> bool {
        let now = units(self.now);
        let witness = Rc::make_mut(&mut self.witnesses[index]);
        let Some((requested_at, renewals)) = witness.pending_request.take() else { return false };
        let reachable = !witness.is_cut;
        if witness.commitments.confirm(HOLDER_ID, renewals, reachable, now).is_ok() {
            Rc::make_mut(&mut self.holder).record_confirmation(witness.id, units(requested_at));
        }
        true
    }

    fn observe(&mut self) -> bool {
        if self.is_revoker_cut {
            return false;
        }
        let now = units(self.now);
        if std::mem::take(&mut self.was_revoker_cut)
            && self.revocation != RevocationPolicy::NoWaitAfterOutage
        {
            Rc::make_mut(&mut self.observer).restart_waits(now);
        }
        Rc::make_mut(&mut self.observer).observe(
            SessionRecord::clone(&self.stored),
            self.version.to_string(),
            now,
        );
        true
    }

    fn request_promise(&mut self, index: usize) -> bool {
        let now = units(self.now);
        let witness = Rc::make_mut(&mut self.witnesses[index]);
        let requested_id = witness.id % REPLACEMENT_ID_OFFSET;
        let requests = self.observer.missing_promises(now);
        let Some(request) = requests.iter().find(|r| r.witness.session_id == requested_id) else {
            return false;
        };
        let answer = if witness.id == requested_id {
            witness.commitments.promise(request.session_id, request.renewals, request.ttl, now)
        } else {
            Err(WitnessRefusal::Replaced)
        };
        let counts_replaced_immediately = self.revocation != RevocationPolicy::AllConditions;
        match answer {
            Ok(()) => Rc::make_mut(&mut self.observer).record_promise(
                request.session_id,
                request.renewals,
                requested_id,
            ),
            Err(WitnessRefusal::Replaced) if counts_replaced_immediately => {
                Rc::make_mut(&mut self.observer)
                    .record_replaced(requested_id, now.saturating_sub(units(TTL)));
            }
            Err(WitnessRefusal::Replaced) => {
                Rc::make_mut(&mut self.observer).record_replaced(requested_id, now);
            }
            Err(_) if self.revocation == RevocationPolicy::NoPromises => {
                Rc::make_mut(&mut self.observer).record_promise(
                    request.session_id,
                    request.renewals,
                    requested_id,
                );
            }
            Err(_) => {}
        }
        true
    }

    fn revoke(&mut self, outcome: WriteOutcome) -> bool {
        let revocable = self.observer.revocable(units(self.now));
        let Some((_, version)) = revocable.first() else { return false };
        if self.is_revoker_cut || self.was_revoker_cut {
            return false;
        }
        let expected = version.parse::<u64>().expect("versions are numbers");
        match outcome {
            WriteOutcome::Answered => self.revoke_version(expected),
            WriteOutcome::ReplyLost => return false,
            WriteOutcome::Delayed => {
                self.delayed_revocation = Some(expected);
                self.use_fault(true);
            }
        }
        true
    }

    fn revoke_version(&mut self, expected: u64) {
        if expected == self.version {
            let record = SessionRecord { revoked: true, ..SessionRecord::clone(&self.stored) };
            self.store(record);
        }
    }

    /// Ends all faults, runs all processes in turn and returns the time until an owner exists.
    pub fn time_to_owner(&self, limit: u64) -> Option<u64> {
        if self.has_owner() {
            return Some(0);
        }
        let mut state = self.clone();
        state.step(Action::Outage(false));
        state.step(Action::Resume);
        for elapsed in 0..=limit {
            for action in state.fair_round() {
                state.step(action);
            }
            if state.has_owner() {
                return Some(elapsed);
            }
            state.step(Action::Tick);
        }
        None
    }

    /// Lists the actions of all processes in one time unit without further faults.
    pub fn fair_round(&self) -> Vec<Action> {
        let mut round = vec![
            Action::DelayedRenewalTakesEffect,
            Action::DelayedRevocationTakesEffect,
            Action::Renew(WriteOutcome::Answered),
            Action::RequestConfirmations,
        ];
        round.extend((0..self.witnesses.len()).map(Action::AnswerHolder));
        round.extend([Action::Observe, Action::DetectReplacedHolder]);
        round.extend((0..self.witnesses.len()).map(Action::RequestPromise));
        round.push(Action::Revoke(WriteOutcome::Answered));
        round
    }
}

/// Sets a flag and reports whether it changed.
fn set_flag(flag: &mut bool, value: bool) -> bool {
    std::mem::replace(flag, value) != value
}
