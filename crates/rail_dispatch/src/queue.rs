//! Requests that wait until an instance has room.

use crate::dispatcher::{RunId, RunRequest};
use std::{collections::BTreeMap, time::Duration};

/// Time that one step of priority is worth.
const PRIORITY_STEP: Duration = Duration::from_millis(100);

/// Waiting requests: first those that can still be in time, the one with the least time left first;
/// then those that are late already, in the order of their arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitQueue {
    in_time: BTreeMap<(Duration, RunId), RunRequest>,
    late: BTreeMap<RunId, RunRequest>,
}

impl WaitQueue {
    pub(crate) fn insert(&mut self, id: RunId, request: RunRequest, now: Duration) {
        if request.late_at <= now {
            self.late.insert(id, request);
        } else {
            self.in_time.insert((urgency(&request), id), request);
        }
    }

    /// Moves the first requests to the late ones, if they would be late even if they started now.
    pub(crate) fn set_late(&mut self, work: Duration, now: Duration) {
        while let Some(entry) = self.in_time.first_entry()
            && entry.get().late_at <= now + work
        {
            let ((_, id), request) = entry.remove_entry();
            self.late.insert(id, request);
        }
    }

    /// Iterates over the requests in the order in which they start.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RunId, &RunRequest)> {
        let in_time = self.in_time.iter().map(|((_, id), request)| (*id, request));
        in_time.chain(self.late.iter().map(|(id, request)| (*id, request)))
    }

    pub(crate) fn remove(&mut self, id: RunId, late_at: Duration, priority: u8) -> bool {
        let key = (late_at + PRIORITY_STEP * u32::from(priority), id);
        self.in_time.remove(&key).is_some() || self.late.remove(&id).is_some()
    }

    /// Returns the number of requests that start before a new one.
    pub(crate) fn ahead_of(&self, request: &RunRequest, now: Duration) -> usize {
        if request.late_at <= now { self.len() } else { self.in_time.len() }
    }

    pub(crate) fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}

fn urgency(request: &RunRequest) -> Duration {
    request.late_at + PRIORITY_STEP * u32::from(request.priority)
}
