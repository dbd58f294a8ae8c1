//! Orders to the engine: one at a time, and what is believed of their effect.

use super::{
    EngineOwner, REPORT_PAUSE,
    held::HeldState,
    message::{AdapterPath, OrderKind, OrderResult, OwnerCommand},
};
use std::time::Duration;

/// Adapters that an engine's host memory keeps, for each place.
const RECENT_PER_PLACE: usize = 6;
/// Wait before a request is sent again to an adapter that was not ready.
const NOT_READY_PAUSE: Duration = Duration::from_millis(25);
/// Doublings of that wait.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Pause before an order that the engine can't take yet is sent again.
const CONFLICT_PAUSE: Duration = Duration::from_millis(30);
/// Conflicts in a row after which the engine's count of orders is read anew.
const MAX_CONFLICTS: u32 = 12;
/// Growth of an estimate that was too short.
const ESTIMATE_GROWTH: f64 = 1.12;
/// Growth of the estimate after an engine refused a load since too many are on their way.
const CONFLICT_GROWTH: f64 = 1.03;
/// Longest estimate of a load.
const MAX_LOAD: Duration = Duration::from_secs(1);
/// Shrinking of an estimate that held.
const ESTIMATE_DECAY: f64 = 0.99;

impl EngineOwner {
    /// Takes how the engine answered the order that was sent last.
    pub fn finish_order(&mut self, result: OrderResult, now: Duration) {
        let Some(order) = self.sent.take() else { return };
        self.changed_at = now;
        self.unanswered = match result {
            OrderResult::Unknown | OrderResult::NotSent => self.unanswered + 1,
            OrderResult::Accepted | OrderResult::Conflict | OrderResult::Refused => 0,
        };
        match result {
            OrderResult::Accepted => {
                self.conflicts = 0;
                self.has_unknown = false;
                self.accepted_orders = self.accepted_orders.map(|count| count + 1);
                self.take_effect(order, now);
            }
            // The same order with the same count: at most one copy is carried out.
            OrderResult::Unknown => {
                self.has_unknown = true;
                self.orders.insert(0, order);
            }
            OrderResult::NotSent => self.orders.insert(0, order),
            // The copy without an answer was carried out, since only this owner gives orders.
            OrderResult::Conflict if self.has_unknown => {
                self.has_unknown = false;
                self.accepted_orders = self.accepted_orders.map(|count| count + 1);
                self.take_effect(order, now);
            }
            OrderResult::Conflict if self.conflicts < MAX_CONFLICTS => {
                self.conflicts += 1;
                self.order_at = now + CONFLICT_PAUSE;
                self.expect_slower_loads(&order, now);
                self.orders.insert(0, order);
            }
            OrderResult::Conflict | OrderResult::Refused => {
                self.orders.insert(0, order);
                self.resync();
            }
        }
    }

    pub(super) fn next_order(&mut self) -> Option<OwnerCommand> {
        let expected = self.accepted_orders?;
        if self.orders.is_empty() {
            return None;
        }
        let order = self.orders.remove(0);
        self.sent = Some(order.clone());
        Some(OwnerCommand::Order(order, expected))
    }

    pub(super) fn take_effect(&mut self, order: OrderKind, now: Duration) {
        match order {
            OrderKind::LoadModel(_) => self.read_at = now + REPORT_PAUSE,
            OrderKind::Load(path, _) => {
                if let Some(held) = self.held.get_mut(&path) {
                    let rate =
                        if held.was_recent { &mut self.recent_load } else { &mut self.cold_load };
                    *rate = rate.mul_f64(ESTIMATE_DECAY);
                    if let HeldState::Loading { ready_at } = &mut held.state {
                        *ready_at = now + *rate;
                    }
                }
                self.remember(path, now);
            }
            OrderKind::Unload(path) => {
                self.held.remove(&path);
                self.remember(path, now);
            }
        }
    }

    pub(super) fn remember(&mut self, path: AdapterPath, now: Duration) {
        self.recent.insert(path, now);
        if self.recent.len() > self.places * RECENT_PER_PLACE {
            let oldest = self.recent.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(path, _)| path.clone()) {
                self.recent.remove(&oldest);
            }
        }
    }

    /// Drops the orders that were not sent and has the engine's state read anew.
    pub(super) fn resync(&mut self) {
        self.accepted_orders = None;
        self.conflicts = 0;
        self.unanswered = 0;
        self.has_unknown = false;
        for order in std::mem::take(&mut self.orders) {
            match &order {
                OrderKind::LoadModel(_) => self.loading_model = None,
                OrderKind::Load(path, _) => {
                    self.held.remove(path);
                }
                OrderKind::Unload(path) => {
                    if let Some(held) = self.held.get_mut(path) {
                        held.state = HeldState::Resident;
                    }
                }
            }
        }
    }

    /// Takes a refused load as a sign that earlier ones are still on their way.
    pub(super) fn expect_slower_loads(&mut self, refused: &OrderKind, now: Duration) {
        if !matches!(refused, OrderKind::Load(..)) {
            return;
        }
        self.cold_load = self.cold_load.mul_f64(CONFLICT_GROWTH).min(MAX_LOAD);
        for held in self.held.values_mut().filter(|held| !held.has_proof) {
            if matches!(held.state, HeldState::Loading { ready_at } if ready_at <= now + CONFLICT_PAUSE)
                || matches!(held.state, HeldState::Proving { .. })
            {
                held.state = HeldState::Loading { ready_at: now + CONFLICT_PAUSE };
            }
        }
    }

    /// Puts off an adapter that was not ready when it was expected to be.
    pub(super) fn delay(&mut self, path: &str, now: Duration) {
        self.counts.not_ready += 1;
        if let Some(held) = self.held.get_mut(path) {
            held.delays += 1;
            if matches!(held.state, HeldState::Resident | HeldState::Proving { .. }) {
                let pause = NOT_READY_PAUSE * 2_u32.pow(held.delays.min(MAX_PAUSE_DOUBLINGS) - 1);
                held.state = HeldState::Loading { ready_at: now + pause };
            }
            let rate = if held.was_recent { &mut self.recent_load } else { &mut self.cold_load };
            *rate = rate.mul_f64(ESTIMATE_GROWTH).min(MAX_LOAD);
        }
    }
}
