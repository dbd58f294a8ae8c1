//! Starts of upstreams that get no more requests, whatever their records say.

use crate::{events::Event, node::SharedNode};
use rail_member::RecordKind;
use rail_revision::Era;
use rail_route::{Upstream, UpstreamState};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

/// Starts that are remembered of each kind; the one with the smallest id is forgotten first.
const MAX_STARTS: usize = 4096;

/// Starts of upstreams that drain or have drained, by id and start time.
#[derive(Debug, Default)]
pub struct DrainedUpstreams {
    /// Those whose record said so, with the era of that record. An older copy of the store may list
    /// them as ready.
    recorded: RefCell<BTreeMap<(String, u64), Era>>,
    /// Those that say in their answers that they leave.
    leaving: RefCell<BTreeSet<(String, Option<u64>)>>,
}

impl DrainedUpstreams {
    /// Returns the state of an upstream: one that says that it leaves, or has drained in an earlier
    /// era, does not return to work because its record lists it so.
    pub fn lasting_state(&self, upstream: &Upstream, era: Era) -> UpstreamState {
        if self.leaving.borrow().contains(&(upstream.id.clone(), upstream.started_unix_ms)) {
            return UpstreamState::Draining;
        }
        let Some(started) = upstream.started_unix_ms else { return upstream.state };
        let mut recorded = self.recorded.borrow_mut();
        let start = (upstream.id.clone(), started);
        if upstream.state == UpstreamState::Draining {
            if recorded.len() >= MAX_STARTS {
                recorded.pop_first();
            }
            recorded.entry(start).or_insert(era);
            return UpstreamState::Draining;
        }
        let has_drained = recorded.get(&start).is_some_and(|drained_in| *drained_in < era);
        if has_drained { UpstreamState::Draining } else { upstream.state }
    }

    /// Records that a start of an upstream leaves; returns whether that is new.
    fn record_leaving(&self, upstream: &Upstream) -> bool {
        let mut leaving = self.leaving.borrow_mut();
        let is_new = leaving.insert((upstream.id.clone(), upstream.started_unix_ms));
        if leaving.len() > MAX_STARTS {
            leaving.pop_first();
        }
        is_new
    }
}

/// Records that an upstream says in an answer that it leaves: from now on it gets no requests from
/// this host.
pub fn record_leaving(node: &SharedNode, upstream: &Upstream) {
    if !node.drained_upstreams.record_leaving(upstream) {
        return;
    }
    let mut upstreams = node.upstreams.borrow_mut();
    let Some(known) = upstreams.find(&upstream.id) else { return };
    if known.started_unix_ms == upstream.started_unix_ms {
        let left = Upstream { state: UpstreamState::Draining, ..known.as_ref().clone() };
        node.events.important(&Event::Upstream {
            upstream: &left.id,
            service: &left.service,
            state: "says_that_it_leaves",
            revision: node.registry.revision(RecordKind::Upstreams),
        });
        upstreams.insert(left);
        node.records_changed.notify_waiters();
    }
}
