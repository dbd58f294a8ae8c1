//! What each action does to the world.

use super::{
    Action, HOLDER_ID, Outcome, Policy, Process, REPLACED_BY, TTL, Waits, WitnessProcess, World,
    units,
};
use rail_lease::{CallEffect, HolderCommand, SessionRecord, WitnessRefusal};
use std::rc::Rc;

impl World {
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
                    Rc::make_mut(&mut self.holder).tick(units(self.now));
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
                    Rc::make_mut(&mut self.holder).tick(units(self.now));
                }
                resumed
            }
            Action::Kill => self.change_process(Process::Running, Process::Gone),
            Action::ReplaceHolder => self.change_process(Process::Running, Process::Replaced),
            Action::CutHolder(cut) => self.spend(cut) && flip(&mut self.is_holder_cut, cut),
            Action::CutRevoker(cut) => self.spend(cut) && self.cut_revoker(cut),
            Action::CutWitness(index, cut) => {
                self.spend(cut) && flip(&mut Rc::make_mut(&mut self.witnesses[index]).is_cut, cut)
            }
            Action::Outage(cut) => {
                self.spend(cut);
                self.is_holder_cut = cut;
                self.cut_revoker(cut);
                self.witnesses.iter_mut().for_each(|w| Rc::make_mut(w).is_cut = cut);
                true
            }
            Action::ReplaceWitness(index) => self.spend(true) && self.replace_witness(index),
            Action::ReplaceAll => {
                self.process = Process::Replaced;
                self.spend(true) && (0..self.witnesses.len()).all(|i| self.replace_witness(i))
            }
            Action::Observe => self.observe(),
            Action::Pledge(index) => self.promise(index),
            Action::FindHolderReplaced => {
                if self.process == Process::Replaced {
                    Rc::make_mut(&mut self.observer).record_replaced(HOLDER_ID, units(self.now));
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
        let witness = Rc::make_mut(&mut self.witnesses[index]);
        let fresh = WitnessProcess { id: witness.id + REPLACED_BY, ..WitnessProcess::default() };
        let is_first = witness.id < REPLACED_BY;
        *witness = WitnessProcess { is_cut: witness.is_cut, ..fresh };
        is_first
    }

    fn store(&mut self, record: SessionRecord) {
        self.stored = Rc::new(record);
        self.version += 1;
    }

    fn renew(&mut self, outcome: Outcome) -> bool {
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
            return outcome == Outcome::Answered;
        }
        if outcome == Outcome::Delayed {
            self.delayed_renewal = Some((record, expected));
            Rc::make_mut(&mut self.holder).record_failure(CallEffect::Unknown, now);
            return self.spend(true);
        }
        if expected != self.version {
            self.settle();
            return outcome == Outcome::Answered;
        }
        self.store(record.clone());
        if outcome == Outcome::ReplyLost {
            Rc::make_mut(&mut self.holder).record_failure(CallEffect::Unknown, now);
            return self.spend(true);
        }
        Rc::make_mut(&mut self.holder).acknowledge(record, self.version.to_string());
        true
    }

    fn settle(&mut self) {
        if self.stored.revoked {
            Rc::make_mut(&mut self.holder).record_revocation();
        } else {
            Rc::make_mut(&mut self.holder)
                .acknowledge(SessionRecord::clone(&self.stored), self.version.to_string());
        }
    }

    fn ask(&mut self) -> bool {
        if self.process != Process::Running || self.policy == Policy::StopAtTtl {
            return false;
        }
        let Some(request) = Rc::make_mut(&mut self.holder).poll_witnesses(units(self.now)) else {
            return false;
        };
        for witness in &mut self.witnesses {
            let witness = Rc::make_mut(witness);
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
        let witness = Rc::make_mut(&mut self.witnesses[index]);
        let Some((asked_at, renewals)) = witness.asked.take() else { return false };
        let reachable = !witness.is_cut;
        if witness.given.confirm(HOLDER_ID, renewals, reachable, now).is_ok() {
            Rc::make_mut(&mut self.holder).record_confirmation(witness.id, units(asked_at));
        }
        true
    }

    fn observe(&mut self) -> bool {
        if self.is_revoker_cut {
            return false;
        }
        let now = units(self.now);
        if std::mem::take(&mut self.was_revoker_away) && self.waits != Waits::NoneAfterOutage {
            Rc::make_mut(&mut self.observer).restart_waits(now);
        }
        Rc::make_mut(&mut self.observer).observe(
            SessionRecord::clone(&self.stored),
            self.version.to_string(),
            now,
        );
        true
    }

    fn promise(&mut self, index: usize) -> bool {
        let now = units(self.now);
        let witness = Rc::make_mut(&mut self.witnesses[index]);
        let asked = witness.id % REPLACED_BY;
        let requests = self.observer.missing_promises(now);
        let Some(request) = requests.iter().find(|r| r.witness.session_id == asked) else {
            return false;
        };
        let answer = if witness.id == asked {
            witness.given.promise(request.session_id, request.renewals, request.ttl, now)
        } else {
            Err(WitnessRefusal::Replaced)
        };
        let is_at_once = self.waits != Waits::Chosen;
        match answer {
            Ok(()) => Rc::make_mut(&mut self.observer).record_promise(
                request.session_id,
                request.renewals,
                asked,
            ),
            Err(WitnessRefusal::Replaced) if is_at_once => {
                Rc::make_mut(&mut self.observer)
                    .record_replaced(asked, now.saturating_sub(units(TTL)));
            }
            Err(WitnessRefusal::Replaced) => {
                Rc::make_mut(&mut self.observer).record_replaced(asked, now)
            }
            Err(_) if self.waits == Waits::NoPledges => {
                Rc::make_mut(&mut self.observer).record_promise(
                    request.session_id,
                    request.renewals,
                    asked,
                );
            }
            Err(_) => {}
        }
        true
    }

    fn revoke(&mut self, outcome: Outcome) -> bool {
        let expired = self.observer.revocable(units(self.now));
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
            let record = SessionRecord { revoked: true, ..SessionRecord::clone(&self.stored) };
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
