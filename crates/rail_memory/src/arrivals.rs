//! Requests whose bodies are arriving, and which of them give way when memory is short.

use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    task::{Context, Poll, Waker},
    time::Duration,
};

/// Number of an arrival; later ones have greater numbers.
pub(crate) type ArrivalId = u64;

/// Time without progress after which an arrival gives way to any other.
const STALL_TIME: Duration = Duration::from_secs(1);

/// A request whose body is arriving.
#[derive(Debug)]
struct Arrival {
    caller: IpAddr,
    held_bytes: usize,
    progressed_at: Duration,
    is_displaced: bool,
    waker: Option<Waker>,
}

/// Requests whose bodies are arriving.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    open: BTreeMap<ArrivalId, Arrival>,
    next_id: ArrivalId,
    /// Memory that displaced arrivals have not returned yet.
    returning_bytes: usize,
}

impl Arrivals {
    pub(crate) fn start(&mut self, caller: IpAddr, now: Duration) -> ArrivalId {
        self.next_id += 1;
        let arrival =
            Arrival { caller, held_bytes: 0, progressed_at: now, is_displaced: false, waker: None };
        self.open.insert(self.next_id, arrival);
        self.next_id
    }

    /// Ends an arrival, which does not give way any more.
    pub(crate) fn end(&mut self, id: ArrivalId) {
        if let Some(arrival) = self.open.remove(&id)
            && arrival.is_displaced
        {
            self.returning_bytes -= arrival.held_bytes;
        }
    }

    pub(crate) fn record_progress(&mut self, id: ArrivalId, now: Duration) {
        if let Some(arrival) = self.open.get_mut(&id) {
            arrival.progressed_at = now;
        }
    }

    pub(crate) fn record_held_bytes(&mut self, id: ArrivalId, held_bytes: usize) {
        let Some(arrival) = self.open.get_mut(&id) else { return };
        if arrival.is_displaced {
            self.returning_bytes = self.returning_bytes - arrival.held_bytes + held_bytes;
        }
        arrival.held_bytes = held_bytes;
    }

    /// Returns ready once an arrival must give way.
    pub(crate) fn poll_displaced(&mut self, id: ArrivalId, context: &Context<'_>) -> Poll<()> {
        let Some(arrival) = self.open.get_mut(&id) else { return Poll::Pending };
        if arrival.is_displaced {
            return Poll::Ready(());
        }
        if !arrival.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
            arrival.waker = Some(context.waker().clone());
        }
        Poll::Pending
    }

    /// Makes arrivals give way until this much memory returns; returns whether enough will. If they
    /// have too little, none gives way.
    pub(crate) fn displace(&mut self, asking: ArrivalId, needed: usize, now: Duration) -> bool {
        let Some(missing) = needed.checked_sub(self.returning_bytes).filter(|left| *left > 0)
        else {
            return true;
        };
        let mut found_bytes = 0;
        let mut displaced = Vec::new();
        for (id, held_bytes) in self.candidates(asking, now) {
            if found_bytes >= missing {
                break;
            }
            found_bytes += held_bytes;
            displaced.push(id);
        }
        if found_bytes < missing {
            return false;
        }
        for id in displaced {
            let Some(arrival) = self.open.get_mut(&id) else { continue };
            arrival.is_displaced = true;
            self.returning_bytes += arrival.held_bytes;
            if let Some(waker) = arrival.waker.take() {
                waker.wake();
            }
        }
        true
    }

    /// Lists the arrivals that give way to this one, with their memory: stalled ones, the largest
    /// first, then the latest of the callers with the most open bodies.
    fn candidates(&self, asking: ArrivalId, now: Duration) -> Vec<(ArrivalId, usize)> {
        let mut open_bodies = HashMap::<IpAddr, usize>::new();
        for arrival in self.open.values().filter(|arrival| !arrival.is_displaced) {
            *open_bodies.entry(arrival.caller).or_default() += 1;
        }
        let bodies_of = |caller: &IpAddr| open_bodies.get(caller).copied().unwrap_or(0);
        let own_bodies = self.open.get(&asking).map_or(0, |arrival| bodies_of(&arrival.caller));
        let is_candidate = |(id, arrival): &(&ArrivalId, &Arrival)| {
            **id != asking && !arrival.is_displaced && arrival.held_bytes > 0
        };
        let is_stalled = |arrival: &Arrival| now >= arrival.progressed_at + STALL_TIME;
        let others = self.open.iter().filter(is_candidate);
        let (mut stalled, active): (Vec<_>, Vec<_>) =
            others.partition(|(_, arrival)| is_stalled(arrival));
        stalled.sort_by_key(|(_, arrival)| std::cmp::Reverse(arrival.held_bytes));
        let mut of_many: Vec<_> = active
            .into_iter()
            .filter(|(_, arrival)| bodies_of(&arrival.caller) > own_bodies)
            .collect();
        of_many.sort_by_key(|(id, arrival)| std::cmp::Reverse((bodies_of(&arrival.caller), **id)));
        let ordered = stalled.into_iter().chain(of_many);
        ordered.map(|(id, arrival)| (*id, arrival.held_bytes)).collect()
    }
}
