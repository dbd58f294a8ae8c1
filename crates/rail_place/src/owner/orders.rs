//! Orders to the engine, sent one at a time, and their effect on the tracked state.

use super::{
    EngineOwner, REPORT_INTERVAL,
    adapter::{AdapterEntry, LoadState, Occupancy},
    message::{AdapterPath, OrderKind, OrderResult, OwnerCommand},
};
use std::{cmp::Ordering, time::Duration};

/// Adapters that an engine keeps in host memory for each of its adapter slots.
const RECENT_PER_ADAPTER_SLOT: usize = 6;
/// First delay before a request is sent again to an adapter that was not ready.
const NOT_READY_DELAY: Duration = Duration::from_millis(25);
/// Consecutive failures after which that delay, which doubles each time, stops growing.
const NOT_READY_DELAY_STEPS: u32 = 4;
/// Delay before an order is sent again after the engine reported a conflict.
const CONFLICT_DELAY: Duration = Duration::from_millis(30);
/// Consecutive conflicts after which the engine's count of orders is read again from a report.
const MAX_CONSECUTIVE_CONFLICTS: u32 = 12;
/// Factor by which the estimate of a load grows when it was too short.
const ESTIMATE_GROWTH: f64 = 1.12;
/// Factor by which the estimate grows when the engine refused a load because too many are in
/// progress.
const CONFLICT_ESTIMATE_GROWTH: f64 = 1.03;
/// Upper bound of the estimate of a load.
const MAX_LOAD_ESTIMATE: Duration = Duration::from_secs(1);
/// Factor by which the estimate shrinks with each accepted load.
const ESTIMATE_DECAY: f64 = 0.99;

/// Room that late copies of orders find after a further order, beside the room before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RoomForLateCopies {
    /// They may overfill the engine by more adapters than before.
    Less,
    /// They may overfill the engine as before.
    AsMuch,
    /// They may overfill the engine, by fewer adapters than before.
    More,
    /// All of them find room.
    Enough,
}

impl EngineOwner {
    /// Records the result of the order that was sent last.
    pub fn finish_order(&mut self, result: OrderResult, now: Duration) {
        let Some(order) = self.sent.take() else { return };
        self.changed_at = now;
        self.late_copies.record_result(result == OrderResult::Unknown);
        if self.accepted_orders.is_none() {
            // The count was discarded while the order was on its way, so its effect is unknown.
            self.orders.insert(0, order);
            self.request_resync();
            return;
        }
        self.consecutive_unanswered = match result {
            OrderResult::Unknown | OrderResult::NotSent => self.consecutive_unanswered + 1,
            OrderResult::Accepted
            | OrderResult::Held
            | OrderResult::Pending
            | OrderResult::Conflict
            | OrderResult::Refused => 0,
        };
        match result {
            // The engine doesn't count the unload of an adapter that it doesn't hold.
            OrderResult::Accepted if self.is_unproven_unload(&order) => {
                self.apply_order(order, now);
                self.request_resync();
            }
            OrderResult::Held => {
                self.consecutive_conflicts = 0;
                self.has_unanswered_copy = false;
                self.apply_order(order, now);
            }
            // The entry stays until a report shows that the slot is free.
            OrderResult::Pending => {
                self.consecutive_conflicts = 0;
                self.has_unanswered_copy = false;
                self.accepted_orders = self.accepted_orders.map(|count| count + 1);
            }
            OrderResult::Accepted => {
                self.consecutive_conflicts = 0;
                self.has_unanswered_copy = false;
                self.accepted_orders = self.accepted_orders.map(|count| count + 1);
                if let OrderKind::Load(path, _) = &order
                    && let Some(entry) = self.adapters.get_mut(path)
                {
                    entry.occupancy = Occupancy::Proven;
                }
                self.apply_order(order, now);
            }
            // The same order is sent again with the same count, so at most one copy is carried out.
            OrderResult::Unknown => {
                self.has_unanswered_copy = true;
                self.orders.insert(0, order);
            }
            OrderResult::NotSent => self.orders.insert(0, order),
            // A conflict doesn't show whether the unanswered copy was carried out. Orders under a
            // count that the engine hasn't reached would be carried out when it reaches it.
            OrderResult::Conflict
                if !self.has_unanswered_copy
                    && self.consecutive_conflicts < MAX_CONSECUTIVE_CONFLICTS =>
            {
                self.consecutive_conflicts += 1;
                self.order_at = now + CONFLICT_DELAY;
                self.expect_slower_loads(&order, now);
                self.orders.insert(0, order);
            }
            OrderResult::Conflict | OrderResult::Refused => {
                self.orders.insert(0, order);
                self.request_resync();
            }
        }
    }

    pub(super) fn next_order(&mut self, now: Duration) -> Option<OwnerCommand> {
        let expected = self.accepted_orders?;
        if self.orders.is_empty() {
            return None;
        }
        if self.lacks_room(&self.orders[0]) {
            // Without an unload that waits, only a report can show whether there is room.
            if self.pending_unloads().next().is_none() {
                self.request_resync();
            }
            return None;
        }
        match self.room_for_late_copies(&self.orders[0], expected, now) {
            RoomForLateCopies::Enough | RoomForLateCopies::More => {}
            RoomForLateCopies::AsMuch => {
                let unload = self.unload_for_late_copies(RoomForLateCopies::More, expected, now);
                if let Some(unload) = unload {
                    self.orders.insert(0, unload);
                }
            }
            RoomForLateCopies::Less => {
                let unload =
                    self.unload_for_late_copies(RoomForLateCopies::AsMuch, expected, now)?;
                self.orders.insert(0, unload);
            }
        }
        let order = self.orders.remove(0);
        self.late_copies.record_sent(&order, expected, now);
        if let OrderKind::Load(path, _) = &order
            && let Some(entry) = self.adapters.get_mut(path)
        {
            entry.occupancy = entry.occupancy.max(Occupancy::Possible);
        }
        self.sent = Some(order.clone());
        Some(OwnerCommand::Order(order, expected))
    }

    /// Reports whether an order is a load that may exceed the engine's adapter slots.
    fn lacks_room(&self, order: &OrderKind) -> bool {
        let OrderKind::Load(path, _) = order else { return false };
        let is_placed =
            self.adapters.get(path).is_some_and(|entry| entry.occupancy != Occupancy::None);
        !is_placed && self.room(Duration::ZERO).occupied >= self.adapter_slots
    }

    /// Returns how much room late copies of orders find once an order is carried out.
    fn room_for_late_copies(
        &self,
        order: &OrderKind,
        expected: u64,
        now: Duration,
    ) -> RoomForLateCopies {
        let after = self.most_occupied(expected + 1, Some(order), None, now);
        if after <= self.adapter_slots {
            return RoomForLateCopies::Enough;
        }
        match after.cmp(&self.most_occupied(expected, None, None, now)) {
            Ordering::Less => RoomForLateCopies::More,
            Ordering::Equal => RoomForLateCopies::AsMuch,
            Ordering::Greater => RoomForLateCopies::Less,
        }
    }

    /// Returns the most adapter slots that can be occupied through late copies from a count of the
    /// engine on, with the effect of a further order, and with an adapter in use by a further
    /// request.
    fn most_occupied(
        &self,
        count: u64,
        order: Option<&OrderKind>,
        used: Option<&str>,
        now: Duration,
    ) -> usize {
        let has_place =
            |path: &str| self.adapters.get(path).is_some_and(AdapterEntry::occupies_slot);
        let is_idle = |path: &str| {
            let is_idle = |entry: &AdapterEntry| entry.is_idle(now) && !entry.may_be_held(now);
            used != Some(path) && self.adapters.get(path).is_some_and(is_idle)
        };
        let is_unused =
            |path: &str| self.adapters.get(path).is_some_and(|entry| !entry.may_be_held(now));
        let (loaded, unloaded) = match order {
            Some(OrderKind::Load(path, _)) => (Some(path.as_str()), None),
            Some(OrderKind::Unload(path)) if is_unused(path) => (None, Some(path.as_str())),
            Some(OrderKind::Unload(_) | OrderKind::LoadModel(_)) | None => (None, None),
        };
        let added = usize::from(loaded.is_some_and(|path| !has_place(path)));
        let freed = usize::from(unloaded.is_some_and(has_place));
        let occupied = self.room(now).occupied + added - freed;
        let is_placed =
            |path: &str| loaded == Some(path) || (unloaded != Some(path) && has_place(path));
        occupied + self.late_copies.most_added(count, is_placed, is_idle, now)
    }

    /// Selects an adapter to unload, so that late copies find this much room at least, and marks it.
    fn unload_for_late_copies(
        &mut self,
        least_room: RoomForLateCopies,
        expected: u64,
        now: Duration,
    ) -> Option<OrderKind> {
        if self.pending_unloads().next().is_some() {
            return None;
        }
        let unload = OrderKind::Unload(self.select_eviction(now)?);
        if self.room_for_late_copies(&unload, expected, now) < least_room {
            return None;
        }
        self.mark_unloading(&unload);
        Some(unload)
    }

    fn mark_unloading(&mut self, order: &OrderKind) {
        if let OrderKind::Unload(path) = order
            && let Some(entry) = self.adapters.get_mut(path)
        {
            entry.state = LoadState::Unloading;
        }
    }

    /// Reports whether a request may not use an adapter, since a late copy may unload it and
    /// another one then load a further adapter into its place. The adapter is loaded again, which
    /// makes the count of the copy pass.
    pub(super) fn is_withheld(&mut self, path: &str, now: Duration) -> bool {
        if !self.late_copies.may_unload(path) {
            return false;
        }
        let Some(count) = self.accepted_orders else { return true };
        let is_sent = self.sent.is_some();
        let mut counts = [Some(count), is_sent.then_some(count + 1)].into_iter().flatten();
        let is_safe = counts.all(|count| {
            let with_use = self.most_occupied(count, None, Some(path), now);
            with_use <= self.adapter_slots || with_use <= self.most_occupied(count, None, None, now)
        });
        let is_idle = self.adapters.get(path).is_some_and(|entry| entry.is_idle(now));
        if !is_safe && is_idle {
            let unload = OrderKind::Unload(path.to_owned());
            self.mark_unloading(&unload);
            self.orders.push(unload);
        }
        !is_safe
    }

    /// Reports whether an order unloads an adapter that the engine wasn't shown to hold.
    fn is_unproven_unload(&self, order: &OrderKind) -> bool {
        let OrderKind::Unload(path) = order else { return false };
        self.adapters.get(path).is_none_or(|entry| entry.occupancy != Occupancy::Proven)
    }

    /// Returns the adapters whose unload the engine accepted and may not have completed.
    pub(super) fn pending_unloads(&self) -> impl Iterator<Item = &AdapterPath> {
        let is_queued = |path: &AdapterPath| {
            let mut orders = self.orders.iter().chain(&self.sent);
            orders.any(|order| matches!(order, OrderKind::Unload(unloaded) if unloaded == path))
        };
        let unloading =
            self.adapters.iter().filter(|(_, entry)| entry.state == LoadState::Unloading);
        unloading.map(|(path, _)| path).filter(move |path| !is_queued(path))
    }

    /// Updates the tracked state for an order that the engine carries out.
    pub(super) fn apply_order(&mut self, order: OrderKind, now: Duration) {
        match order {
            OrderKind::LoadModel(_) => self.report_at = now + REPORT_INTERVAL,
            OrderKind::Load(path, _) => {
                // Parts that were read for other weights aren't used.
                self.kept.forget(&path);
                if let Some(entry) = self.adapters.get_mut(&path) {
                    let estimate = if entry.was_recent {
                        &mut self.recent_load_estimate
                    } else {
                        &mut self.cold_load_estimate
                    };
                    *estimate = estimate.mul_f64(ESTIMATE_DECAY);
                    if let LoadState::Loading { ready_at } = &mut entry.state {
                        *ready_at = now + *estimate;
                    }
                }
                self.record_recent(path, now);
            }
            OrderKind::Unload(path) => {
                self.adapters.remove(&path);
                self.record_recent(path, now);
            }
        }
    }

    /// Records that the engine's host memory has an adapter, and drops the oldest one beyond its
    /// capacity.
    pub(super) fn record_recent(&mut self, path: AdapterPath, now: Duration) {
        self.recent.insert(path, now);
        if self.recent.len() > self.adapter_slots * RECENT_PER_ADAPTER_SLOT {
            let oldest = self.recent.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(path, _)| path.clone()) {
                self.recent.remove(&oldest);
            }
        }
    }

    /// Drops the orders that were not sent, and discards the count of accepted orders until a
    /// report contains it again.
    pub(super) fn request_resync(&mut self) {
        self.accepted_orders = None;
        self.consecutive_conflicts = 0;
        self.consecutive_unanswered = 0;
        self.has_unanswered_copy = false;
        for order in std::mem::take(&mut self.orders) {
            match &order {
                OrderKind::LoadModel(_) => self.loading_model = None,
                OrderKind::Load(path, _) => {
                    self.adapters.remove(path);
                }
                OrderKind::Unload(path) => {
                    if let Some(entry) = self.adapters.get_mut(path) {
                        entry.state = LoadState::Resident;
                    }
                }
            }
        }
    }

    /// Raises the estimate of cold loads and postpones untried adapters when the engine refused a
    /// load, which shows that earlier loads are still in progress.
    pub(super) fn expect_slower_loads(&mut self, refused: &OrderKind, now: Duration) {
        if !matches!(refused, OrderKind::Load(..)) {
            return;
        }
        self.cold_load_estimate =
            self.cold_load_estimate.mul_f64(CONFLICT_ESTIMATE_GROWTH).min(MAX_LOAD_ESTIMATE);
        for entry in self.adapters.values_mut().filter(|entry| !entry.was_tried) {
            if matches!(entry.state, LoadState::Loading { ready_at } if ready_at <= now + CONFLICT_DELAY)
                || matches!(entry.state, LoadState::Unconfirmed { .. })
            {
                entry.state = LoadState::Loading { ready_at: now + CONFLICT_DELAY };
            }
        }
    }

    /// Delays the next request to an adapter that was not ready when it was expected to be, and
    /// raises the estimate for its kind of load.
    pub(super) fn postpone_adapter(&mut self, path: &str, now: Duration) {
        self.counts.not_ready += 1;
        if let Some(entry) = self.adapters.get_mut(path) {
            entry.not_ready_count += 1;
            if matches!(entry.state, LoadState::Resident | LoadState::Unconfirmed { .. }) {
                let retry_delay = NOT_READY_DELAY
                    * 2_u32.pow(entry.not_ready_count.min(NOT_READY_DELAY_STEPS) - 1);
                entry.state = LoadState::Loading { ready_at: now + retry_delay };
            }
            let estimate = if entry.was_recent {
                &mut self.recent_load_estimate
            } else {
                &mut self.cold_load_estimate
            };
            *estimate = estimate.mul_f64(ESTIMATE_GROWTH).min(MAX_LOAD_ESTIMATE);
        }
    }
}
