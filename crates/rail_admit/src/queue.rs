//! Bounded queue of the requests that wait for one engine.

use crate::{
    rate::ServiceRate,
    refusal::{Refusal, RefusalReason, Refused},
    request::{AdmissionRequest, CallerId, Urgency},
};
use std::{collections::BTreeMap, str::FromStr, time::Duration};

/// Factor on the estimated time to finish, as a request may finish later than estimated.
const FINISH_TIME_MARGIN: f64 = 1.25;
/// A deferrable request counts as urgent at most during the last quarter (one divided by this) of
/// the time from its arrival to its deadline, so that one with a short deadline is not urgent from
/// the start.
const PROMOTION_DIVISOR: u32 = 4;

/// Identifies a waiting request within its queue; grows with arrival.
pub type EntryId = u64;

/// Rules for the order and the refusals of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueuePolicy {
    /// Orders by urgency and deadline, refuses requests that can't meet their deadline, and
    /// displaces requests of lower urgency or of callers over their fair share.
    #[default]
    Deadline,
    /// Arrival order, refusing only when the queue is full: a baseline for measurements.
    FirstCome,
}

/// Error for a name that is not a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected deadline or first-come")]
pub struct UnknownQueuePolicy;

impl FromStr for QueuePolicy {
    type Err = UnknownQueuePolicy;

    fn from_str(s: &str) -> Result<Self, UnknownQueuePolicy> {
        match s {
            "deadline" => Ok(Self::Deadline),
            "first-come" => Ok(Self::FirstCome),
            _ => Err(UnknownQueuePolicy),
        }
    }
}

/// Limits and rules of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Most requests that may wait.
    pub max_requests: usize,
    /// Most bytes that the waiting requests may use.
    pub max_bytes: usize,
    /// Requests that the engine runs at once. The estimate for a new request assumes that all of
    /// them must finish before it.
    pub engine_slots: usize,
    /// Time before its deadline from which a deferrable request counts as urgent, but at most
    /// a quarter of the time from its arrival to its deadline.
    pub promote_before: Duration,
    /// Wait after which a deferrable request counts as urgent, so that it never starves.
    pub promote_after: Duration,
    /// Rules for order and refusals.
    pub policy: QueuePolicy,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_requests: 512,
            max_bytes: 16 << 20,
            engine_slots: 0,
            promote_before: Duration::from_secs(30),
            promote_after: Duration::from_secs(300),
            policy: QueuePolicy::Deadline,
        }
    }
}

#[derive(Debug, Clone)]
struct Entry<T> {
    request: AdmissionRequest,
    arrived_at: Duration,
    item: T,
}

/// Bounded queue of the requests that wait for one engine.
#[derive(Debug, Clone)]
pub struct AdmissionQueue<T> {
    limits: QueueLimits,
    entries: BTreeMap<EntryId, Entry<T>>,
    queued_by_caller: BTreeMap<CallerId, usize>,
    queued_bytes: usize,
    next_id: EntryId,
    rate: ServiceRate,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            queued_by_caller: BTreeMap::new(),
            queued_bytes: 0,
            next_id: 0,
            rate: ServiceRate::default(),
        }
    }

    /// Admits a request, and returns the requests that were displaced for it.
    ///
    /// # Errors
    /// Returns the request when it can't meet its deadline or the queue has no space for it.
    pub fn push(
        &mut self,
        request: AdmissionRequest,
        item: T,
        now: Duration,
    ) -> Result<Vec<Refused<T>>, Refused<T>> {
        if let Some(refusal) = self.refuse_missed_deadline(&request, now) {
            return Err(Refused { item, refusal });
        }
        let mut displaced = Vec::new();
        while let Some(reason) = self.exceeded_limit(&request) {
            let Some(id) = self.select_displaced(&request, now) else {
                // The request is refused after all, so the displaced requests are restored.
                for (id, entry) in displaced {
                    self.insert(id, entry);
                }
                let refusal = Refusal::new(reason, self.time_until_half_drained());
                return Err(Refused { item, refusal });
            };
            displaced.extend(self.remove(id).map(|entry| (id, entry)));
        }
        self.insert(self.next_id, Entry { request, arrived_at: now, item });
        self.next_id += 1;
        let refuse = |(_, entry): (EntryId, Entry<T>)| self.refuse_entry(entry);
        Ok(displaced.into_iter().map(refuse).collect())
    }

    /// Returns the waiting requests in the order in which they should start.
    pub fn start_order(&self, now: Duration) -> Vec<EntryId> {
        let mut ids: Vec<EntryId> = self.entries.keys().copied().collect();
        if self.limits.policy == QueuePolicy::Deadline {
            ids.sort_by_key(|id| {
                let entry = &self.entries[id];
                (self.effective_urgency(entry, now), entry.request.deadline, *id)
            });
        }
        ids
    }

    /// Iterates over the waiting requests in the order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, &T)> {
        self.entries.iter().map(|(id, entry)| (*id, &entry.item))
    }

    /// Returns a waiting request without removing it.
    pub fn find(&self, id: EntryId) -> Option<(&AdmissionRequest, &T)> {
        self.entries.get(&id).map(|entry| (&entry.request, &entry.item))
    }

    /// Removes a request, to start it or because its caller disconnected.
    pub fn dequeue(&mut self, id: EntryId) -> Option<T> {
        self.remove(id).map(|entry| entry.item)
    }

    /// Removes every request whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Refused<T>> {
        let expired: Vec<EntryId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.request.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        let refusal = Refusal::new(RefusalReason::Deadline, self.time_until_half_drained());
        let removed = expired.into_iter().filter_map(|id| self.dequeue(id));
        removed.map(|item| Refused { item, refusal }).collect()
    }

    /// Removes every request, without refusing it.
    pub fn drain(&mut self) -> Vec<T> {
        self.queued_by_caller.clear();
        self.queued_bytes = 0;
        std::mem::take(&mut self.entries).into_values().map(|entry| entry.item).collect()
    }

    /// Records a request that the engine finished; `saturated` is whether its batch was full.
    pub fn record_completion(&mut self, now: Duration, saturated: bool) {
        self.rate.record_completion(now, saturated && !self.entries.is_empty());
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory that the waiting requests use, in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Returns a refusal if the request would finish after its deadline.
    fn refuse_missed_deadline(&self, request: &AdmissionRequest, now: Duration) -> Option<Refusal> {
        if self.limits.policy == QueuePolicy::FirstCome {
            return None;
        }
        let time_left = request.deadline.saturating_sub(now);
        let ahead = self.count_ahead(request, now);
        let time_to_finish = self.rate.time_for(ahead + self.limits.engine_slots + 1);
        let time_to_finish = time_to_finish.mul_f64(FINISH_TIME_MARGIN);
        let misses_deadline = time_to_finish > time_left || time_left.is_zero();
        misses_deadline.then(|| {
            Refusal::new(RefusalReason::Deadline, time_to_finish.saturating_sub(time_left))
        })
    }

    /// Counts the waiting requests that would start before a new one.
    fn count_ahead(&self, request: &AdmissionRequest, now: Duration) -> usize {
        let position = (self.urgency_at(request, now, now), request.deadline);
        let is_ahead = |entry: &&Entry<T>| {
            (self.effective_urgency(entry, now), entry.request.deadline) <= position
        };
        self.entries.values().filter(is_ahead).count()
    }

    fn effective_urgency(&self, entry: &Entry<T>, now: Duration) -> Urgency {
        self.urgency_at(&entry.request, entry.arrived_at, now)
    }

    /// Returns the urgency of a request, which is raised near the deadline and after a long wait.
    fn urgency_at(
        &self,
        request: &AdmissionRequest,
        arrived_at: Duration,
        now: Duration,
    ) -> Urgency {
        let time_to_deadline = request.deadline.saturating_sub(arrived_at);
        let promotion_time = self.limits.promote_before.min(time_to_deadline / PROMOTION_DIVISOR);
        let is_near_deadline = request.deadline <= now + promotion_time;
        let has_waited_long = now >= arrived_at + self.limits.promote_after;
        if is_near_deadline || has_waited_long { Urgency::Urgent } else { request.urgency }
    }

    fn exceeded_limit(&self, request: &AdmissionRequest) -> Option<RefusalReason> {
        if self.entries.len() >= self.limits.max_requests {
            Some(RefusalReason::QueueFull)
        } else if self.queued_bytes + request.size_bytes > self.limits.max_bytes {
            Some(RefusalReason::QueueBytes)
        } else {
            None
        }
    }

    /// Selects the request that is displaced by a new one. An urgent request displaces a deferrable
    /// one. Otherwise the caller with the most waiting requests loses the one with the latest
    /// deadline among those that are no more urgent, if the new caller has at least two fewer.
    fn select_displaced(&self, request: &AdmissionRequest, now: Duration) -> Option<EntryId> {
        if self.limits.policy == QueuePolicy::FirstCome
            || request.size_bytes > self.limits.max_bytes
        {
            return None;
        }
        if request.urgency == Urgency::Urgent {
            let deferrable =
                self.find_latest(|entry| self.effective_urgency(entry, now) == Urgency::Deferrable);
            if deferrable.is_some() {
                return deferrable;
            }
        }
        let queued = self.queued_by_caller.get(&request.caller).copied().unwrap_or(0);
        let (largest_caller, max_queued) =
            self.queued_by_caller.iter().max_by_key(|(_, queued)| **queued)?;
        // With a difference of one, the new request would make its caller the next to be displaced.
        if *max_queued <= queued + 1 {
            return None;
        }
        self.find_latest(|entry| {
            entry.request.caller == *largest_caller && entry.request.urgency >= request.urgency
        })
    }

    /// Finds the matching request with the latest deadline.
    fn find_latest(&self, matches: impl Fn(&Entry<T>) -> bool) -> Option<EntryId> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches(entry))
            .max_by_key(|(id, entry)| (entry.request.deadline, **id))
            .map(|(id, _)| *id)
    }

    fn refuse_entry(&self, entry: Entry<T>) -> Refused<T> {
        let reason = match entry.request.urgency {
            Urgency::Urgent => RefusalReason::OverShare,
            Urgency::Deferrable => RefusalReason::QueueFull,
        };
        Refused { item: entry.item, refusal: Refusal::new(reason, self.time_until_half_drained()) }
    }

    fn insert(&mut self, id: EntryId, entry: Entry<T>) {
        *self.queued_by_caller.entry(entry.request.caller.clone()).or_default() += 1;
        self.queued_bytes += entry.request.size_bytes;
        self.entries.insert(id, entry);
    }

    fn remove(&mut self, id: EntryId) -> Option<Entry<T>> {
        let entry = self.entries.remove(&id)?;
        self.queued_bytes -= entry.request.size_bytes;
        if let Some(queued) = self.queued_by_caller.get_mut(&entry.request.caller) {
            *queued -= 1;
            if *queued == 0 {
                self.queued_by_caller.remove(&entry.request.caller);
            }
        }
        Some(entry)
    }

    /// Estimates the time until half of the waiting requests are finished.
    fn time_until_half_drained(&self) -> Duration {
        self.rate.time_for(self.entries.len().div_ceil(2))
    }
}
