//! Copies of orders that an engine may carry out after it has started again.
//!
//! An order that got no answer may be carried out much later, once the engine has accepted as many
//! orders as it names. Within one start of the engine that is harmless: another order has used up
//! the count, or the copy is the order that its owner still wants. A restarted engine counts from
//! zero, reaches the same counts again, and then carries out copies that its owner has no use for.
//! Such a copy can be carried out only while the engine's count is the one that it names, and moves
//! the count on by one, so those that may follow each other have successive counts.

use super::message::{AdapterPath, OrderKind};
use std::{collections::BTreeMap, time::Duration};

/// Time after which an order is not carried out any more.
const LATE_ORDER_TIME: Duration = Duration::from_secs(30);
/// Copies of an earlier owner's orders that may follow each other, as nothing is known of them.
const UNKNOWN_COPIES: usize = 2;

/// Number of a start of the engine, as its owner counts them.
type StartNumber = u32;

#[derive(Debug, Clone)]
struct LateCopy {
    order: OrderKind,
    expected: u64,
    start: StartNumber,
    sent_at: Duration,
}

/// Orders that may still be carried out in a later start of the engine than the one they were for.
#[derive(Debug, Clone, Default)]
pub(super) struct LateCopies {
    start: StartNumber,
    unanswered: Vec<LateCopy>,
    /// The order on its way, which may get no answer.
    in_flight: Option<LateCopy>,
    taken_over_at: Option<Duration>,
    /// Time until which copies of an earlier owner's orders may be carried out.
    unknown_until: Duration,
}

impl LateCopies {
    /// Records that another host or process may have sent orders until now. `engine_age` is the
    /// time since the start of the engine.
    pub(super) fn record_takeover(&mut self, engine_age: Duration, now: Duration) {
        self.taken_over_at = Some(now);
        if engine_age < LATE_ORDER_TIME {
            self.unknown_until = now + LATE_ORDER_TIME;
        }
    }

    pub(super) fn record_sent(&mut self, order: &OrderKind, expected: u64, now: Duration) {
        let (order, start) = (order.clone(), self.start);
        self.in_flight = Some(LateCopy { order, expected, start, sent_at: now });
    }

    /// Records the end of the order on its way.
    pub(super) fn record_result(&mut self, is_unanswered: bool) {
        let ended = self.in_flight.take().filter(|_| is_unanswered);
        self.unanswered.extend(ended);
    }

    /// Records that the engine has started again.
    pub(super) fn record_restart(&mut self) {
        self.start += 1;
        if let Some(taken_over_at) = self.taken_over_at {
            self.unknown_until = taken_over_at + LATE_ORDER_TIME;
        }
    }

    pub(super) fn prune(&mut self, now: Duration) {
        self.unanswered.retain(|copy| now < copy.sent_at + LATE_ORDER_TIME);
    }

    /// Reports whether an adapter may be unloaded by a copy at any count.
    pub(super) fn may_unload(&self, path: &str) -> bool {
        let is_unload = |order: &OrderKind| matches!(order, OrderKind::Unload(p) if p == path);
        self.of_earlier_starts().any(|copy| is_unload(&copy.order))
    }

    /// Returns the most places that copies can add to those in use, from a count of the engine on.
    ///
    /// `is_placed` tells which adapters have a place, and `is_idle` which of these lose it at once
    /// when they are unloaded.
    pub(super) fn most_added(
        &self,
        mut count: u64,
        is_placed: impl Fn(&str) -> bool,
        is_idle: impl Fn(&str) -> bool,
        now: Duration,
    ) -> usize {
        let unknown = if now < self.unknown_until { UNKNOWN_COPIES } else { 0 };
        let mut changed: BTreeMap<&AdapterPath, bool> = BTreeMap::new();
        let (mut added, mut most) = (0_i64, 0);
        loop {
            let copies = self.of_earlier_starts().filter(|copy| copy.expected == count);
            let effects = copies.map(|copy| match &copy.order {
                OrderKind::LoadModel(_) => (0, None),
                OrderKind::Load(path, _) => {
                    let has_place = changed.get(path).copied().unwrap_or_else(|| is_placed(path));
                    (i64::from(!has_place), Some((path, true)))
                }
                OrderKind::Unload(path) => {
                    let loses_place = !changed.contains_key(path) && is_placed(path);
                    (-i64::from(loses_place && is_idle(path)), Some((path, false)))
                }
            });
            let Some((effect, change)) = effects.max_by_key(|(effect, _)| *effect) else { break };
            if effect != 0 {
                changed.extend(change);
            }
            added += effect;
            most = most.max(added);
            count += 1;
        }
        most as usize + unknown
    }

    fn of_earlier_starts(&self) -> impl Iterator<Item = &LateCopy> {
        let copies = self.unanswered.iter().chain(&self.in_flight);
        copies.filter(|copy| copy.start < self.start)
    }
}
