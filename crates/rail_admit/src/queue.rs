//! Requests that wait for one engine.

use crate::{
    rate::ServiceRate,
    refusal::{Refusal, RefusalReason, Refused},
    request::{AdmissionRequest, CallerId, Urgency},
};
use std::{collections::BTreeMap, str::FromStr, time::Duration};

/// Factor by which a finish may be later than estimated.
const ESTIMATE_MARGIN: f64 = 1.25;
/// Share of its whole allowance before the deadline from which a deferrable request is promoted.
const PROMOTED_SHARE: u32 = 4;

/// Identity of a waiting request within its queue; grows with arrival.
pub type EntryId = u64;

/// Which rules a queue follows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueuePolicy {
    /// Urgency, deadlines, shares and shedding.
    #[default]
    Deadline,
    /// Arrival order, refusing only when full: the baseline of measurements.
    FirstCome,
}

/// A policy name that is not known.
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

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that may wait.
    pub max_requests: usize,
    /// Bytes that may wait.
    pub max_bytes: usize,
    /// Requests that the engine runs at once.
    pub engine_slots: usize,
    /// Longest time before its deadline from which a deferrable request counts as urgent.
    pub promote_before: Duration,
    /// Wait after which a deferrable request counts as urgent, so that none starves.
    pub promote_after: Duration,
    /// Rules.
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
    ticket: AdmissionRequest,
    arrived_at: Duration,
    item: T,
}

/// Bounded queue of one engine.
#[derive(Debug, Clone)]
pub struct AdmissionQueue<T> {
    limits: QueueLimits,
    entries: BTreeMap<EntryId, Entry<T>>,
    held_by: BTreeMap<CallerId, usize>,
    queued_bytes: usize,
    next_id: EntryId,
    rate: ServiceRate,
}

impl<T> AdmissionQueue<T> {
    /// Starts an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            held_by: BTreeMap::new(),
            queued_bytes: 0,
            next_id: 0,
            rate: ServiceRate::default(),
        }
    }

    /// Admits a request; returns requests that were displaced to make room.
    ///
    /// # Errors
    /// Hands the request back when it can't make its deadline, or there is no room for it.
    pub fn push(
        &mut self,
        ticket: AdmissionRequest,
        item: T,
        now: Duration,
    ) -> Result<Vec<Refused<T>>, Refused<T>> {
        if let Some(refusal) = self.check_deadline(&ticket, now) {
            return Err(Refused { item, refusal });
        }
        let mut displaced = Vec::new();
        while let Some(reason) = self.lack_of_room(&ticket) {
            let Some(id) = self.pick_displaced(&ticket, now) else {
                // Nothing gives way for a request that is refused in the end.
                for (id, entry) in displaced {
                    self.insert(id, entry);
                }
                let refusal = Refusal::new(reason, self.time_to_half());
                return Err(Refused { item, refusal });
            };
            displaced.extend(self.remove(id).map(|entry| (id, entry)));
        }
        self.insert(self.next_id, Entry { ticket, arrived_at: now, item });
        self.next_id += 1;
        let refuse = |(_, entry): (EntryId, Entry<T>)| self.refuse_displaced(entry);
        Ok(displaced.into_iter().map(refuse).collect())
    }

    /// Lists waiting requests in the order in which they should start.
    pub fn start_order(&self, now: Duration) -> Vec<EntryId> {
        let mut ids: Vec<EntryId> = self.entries.keys().copied().collect();
        if self.limits.policy == QueuePolicy::Deadline {
            ids.sort_by_key(|id| {
                let entry = &self.entries[id];
                (self.effective_urgency(entry, now), entry.ticket.deadline_at, *id)
            });
        }
        ids
    }

    /// Iterates over waiting requests in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, &T)> {
        self.entries.iter().map(|(id, entry)| (*id, &entry.item))
    }

    /// Looks at a waiting request.
    pub fn find(&self, id: EntryId) -> Option<(&AdmissionRequest, &T)> {
        self.entries.get(&id).map(|entry| (&entry.ticket, &entry.item))
    }

    /// Takes a request out, to start it or because its caller is gone.
    pub fn dequeue(&mut self, id: EntryId) -> Option<T> {
        self.remove(id).map(|entry| entry.item)
    }

    /// Takes out every request whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Refused<T>> {
        let expired: Vec<EntryId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.ticket.deadline_at <= now)
            .map(|(id, _)| *id)
            .collect();
        let refusal = Refusal::new(RefusalReason::Deadline, self.time_to_half());
        let taken = expired.into_iter().filter_map(|id| self.dequeue(id));
        taken.map(|item| Refused { item, refusal }).collect()
    }

    /// Takes out every request.
    pub fn drain(&mut self) -> Vec<T> {
        self.held_by.clear();
        self.queued_bytes = 0;
        std::mem::take(&mut self.entries).into_values().map(|entry| entry.item).collect()
    }

    /// Counts a request that the engine finished; `saturated` tells whether its batch was full.
    pub fn record_completion(&mut self, now: Duration, saturated: bool) {
        self.rate.record_completion(now, saturated && !self.entries.is_empty());
    }

    /// Counts waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counts waiting bytes.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Refuses a request that would finish after its deadline.
    fn check_deadline(&self, ticket: &AdmissionRequest, now: Duration) -> Option<Refusal> {
        if self.limits.policy == QueuePolicy::FirstCome {
            return None;
        }
        let left = ticket.deadline_at.saturating_sub(now);
        let ahead = self.count_ahead(ticket, now);
        let finish = self.rate.time_for(ahead + self.limits.engine_slots + 1);
        let finish = finish.mul_f64(ESTIMATE_MARGIN);
        let missed = finish > left || left.is_zero();
        missed.then(|| Refusal::new(RefusalReason::Deadline, finish.saturating_sub(left)))
    }

    fn count_ahead(&self, ticket: &AdmissionRequest, now: Duration) -> usize {
        let key = (self.promoted(ticket, now, now), ticket.deadline_at);
        let is_ahead = |entry: &&Entry<T>| {
            (self.effective_urgency(entry, now), entry.ticket.deadline_at) <= key
        };
        self.entries.values().filter(is_ahead).count()
    }

    fn effective_urgency(&self, entry: &Entry<T>, now: Duration) -> Urgency {
        self.promoted(&entry.ticket, entry.arrived_at, now)
    }

    fn promoted(&self, ticket: &AdmissionRequest, arrived_at: Duration, now: Duration) -> Urgency {
        let allowance = ticket.deadline_at.saturating_sub(arrived_at);
        let before = self.limits.promote_before.min(allowance / PROMOTED_SHARE);
        let near_deadline = ticket.deadline_at <= now + before;
        let has_waited_long = now >= arrived_at + self.limits.promote_after;
        if near_deadline || has_waited_long { Urgency::Urgent } else { ticket.urgency }
    }

    fn lack_of_room(&self, ticket: &AdmissionRequest) -> Option<RefusalReason> {
        if self.entries.len() >= self.limits.max_requests {
            Some(RefusalReason::QueueFull)
        } else if self.queued_bytes + ticket.size_bytes > self.limits.max_bytes {
            Some(RefusalReason::QueueBytes)
        } else {
            None
        }
    }

    /// Picks what gives way to a new request: deferrable work for urgent work, else the latest
    /// work of the caller that holds most, when the new request's caller holds clearly less.
    fn pick_displaced(&self, ticket: &AdmissionRequest, now: Duration) -> Option<EntryId> {
        if self.limits.policy == QueuePolicy::FirstCome || ticket.size_bytes > self.limits.max_bytes
        {
            return None;
        }
        if ticket.urgency == Urgency::Urgent {
            let deferrable =
                self.latest(|entry| self.effective_urgency(entry, now) == Urgency::Deferrable);
            if deferrable.is_some() {
                return deferrable;
            }
        }
        let held = self.held_by.get(&ticket.caller).copied().unwrap_or(0);
        let (greediest, most) = self.held_by.iter().max_by_key(|(_, held)| **held)?;
        // One more for the newcomer must not make it the next to give way.
        if *most <= held + 1 {
            return None;
        }
        self.latest(|entry| {
            entry.ticket.caller == *greediest && entry.ticket.urgency >= ticket.urgency
        })
    }

    fn latest(&self, matches: impl Fn(&Entry<T>) -> bool) -> Option<EntryId> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches(entry))
            .max_by_key(|(id, entry)| (entry.ticket.deadline_at, **id))
            .map(|(id, _)| *id)
    }

    fn refuse_displaced(&self, entry: Entry<T>) -> Refused<T> {
        let reason = match entry.ticket.urgency {
            Urgency::Urgent => RefusalReason::OverShare,
            Urgency::Deferrable => RefusalReason::QueueFull,
        };
        Refused { item: entry.item, refusal: Refusal::new(reason, self.time_to_half()) }
    }

    fn insert(&mut self, id: EntryId, entry: Entry<T>) {
        *self.held_by.entry(entry.ticket.caller.clone()).or_default() += 1;
        self.queued_bytes += entry.ticket.size_bytes;
        self.entries.insert(id, entry);
    }

    fn remove(&mut self, id: EntryId) -> Option<Entry<T>> {
        let entry = self.entries.remove(&id)?;
        self.queued_bytes -= entry.ticket.size_bytes;
        if let Some(held) = self.held_by.get_mut(&entry.ticket.caller) {
            *held -= 1;
            if *held == 0 {
                self.held_by.remove(&entry.ticket.caller);
            }
        }
        Some(entry)
    }

    /// Estimates the time until half of the backlog is gone.
    fn time_to_half(&self) -> Duration {
        self.rate.time_for(self.entries.len().div_ceil(2))
    }
}
