//! Search of one request for an engine among those that its adapter prefers.
//!
//! Load pattern: a popular adapter fills its first engine while other engines that have it, or could
//! load it, are mostly free. Owners of engines refuse with the wait that they expect, so a request
//! first asks a few engines for a start almost at once, and queues where the wait is the shortest if
//! none of them is free. Comparing a few engines keeps hosts that choose at the same time from all
//! choosing the same one, and needs no state that hosts share.

use std::{collections::VecDeque, time::Duration};

/// Engines whose waits are compared.
const COMPARED_ENGINES: usize = 3;
/// Most engines that one request asks.
const MAX_ASKED_ENGINES: usize = 8;
/// Engines that are asked again after every engine refused a start in time.
const MAX_LATE_ENGINES: usize = 3;
/// Longest estimated wait at an engine that counts as free, as a share of the target latency.
const FREE_WAIT_SHARE: f64 = 0.05;
/// Longest backlog of prompts at an engine that counts as free, as a share of the target latency.
const FREE_BACKLOG_SHARE: f64 = 0.1;
/// Longest estimated wait that a request accepts while other engines may still serve it sooner.
const MAX_EARLY_WAIT: Duration = Duration::from_millis(450);
/// Longest backlog of prompts that it accepts then, as a share of the target latency.
const EARLY_BACKLOG_SHARE: f64 = 0.4;
/// Longest backlog that a request accepts when it may be late, as a multiple of its longest wait.
/// Owners assume that an engine processes prompts at half of its speed, so that running streams
/// are not slowed down; the real backlog is therefore about half of the estimate.
const LATE_BACKLOG_FACTOR: u32 = 2;

/// How long a request is ready to wait at the engine that it asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Only where it starts almost at once.
    Immediate,
    /// As long as its answer can be in time.
    InTime,
    /// As long as an answer is of use to the caller.
    Late,
}

/// Longest waits that a request accepts at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// Longest wait, as estimated by the owner, at which the owner may queue the request.
    pub estimated_wait: Duration,
    /// Longest actual wait after the owner queued the request.
    pub actual_wait: Duration,
    /// Longest estimated time of the prompts ahead of it.
    pub backlog: Duration,
    /// Whether it may be queued although its first event would be late.
    pub may_be_late: bool,
}

impl Patience {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Immediate => "immediate",
            Self::InTime => "in_time",
            Self::Late => "late",
        }
    }

    /// Returns the waits that a request of this target latency accepts if an answer is of use to its
    /// caller only after a wait of `useful_wait` at most.
    pub fn limits(self, target_latency: Duration, useful_wait: Duration) -> WaitLimits {
        let early = |estimated_wait, backlog_share| WaitLimits {
            estimated_wait,
            actual_wait: useful_wait,
            backlog: target_latency.mul_f64(backlog_share),
            may_be_late: false,
        };
        match self {
            Self::Immediate => early(target_latency.mul_f64(FREE_WAIT_SHARE), FREE_BACKLOG_SHARE),
            Self::InTime => early(MAX_EARLY_WAIT, EARLY_BACKLOG_SHARE),
            Self::Late => WaitLimits {
                estimated_wait: useful_wait,
                actual_wait: useful_wait,
                backlog: useful_wait * LATE_BACKLOG_FACTOR,
                may_be_late: true,
            },
        }
    }
}

/// An engine whose owner refused the request.
#[derive(Debug, Clone, Copy)]
struct RefusedEngine {
    position: usize,
    /// Time after which the owner expects that the request can start.
    wait: Duration,
}

/// The engines that one request has asked and will ask. The caller asks the owner of each engine that
/// [`GrantSearch::next_engine`] names and records the answer, until an owner grants the request.
#[derive(Debug, Clone)]
pub struct GrantSearch {
    /// Engines that were not asked yet, as positions in the ranking of the adapter.
    unasked: VecDeque<usize>,
    refused: Vec<RefusedEngine>,
    /// Refused engines that are asked again, the shortest wait first.
    again: VecDeque<usize>,
    patience: Patience,
    compared: usize,
}

impl GrantSearch {
    /// Starts a search over engines, in the order in which they are to be asked.
    pub fn new(order: Vec<usize>) -> Self {
        Self {
            unasked: order.into_iter().take(MAX_ASKED_ENGINES).collect(),
            refused: Vec::new(),
            again: VecDeque::new(),
            patience: Patience::Immediate,
            compared: 0,
        }
    }

    /// Returns the position of the engine to ask next, and how long the request would wait there;
    /// `None` once all have refused.
    pub fn next_engine(&mut self) -> Option<(usize, Patience)> {
        if self.patience == Patience::Immediate {
            if self.compared < COMPARED_ENGINES
                && let Some(position) = self.unasked.pop_front()
            {
                self.compared += 1;
                return Some((position, self.patience));
            }
            self.patience = Patience::InTime;
            self.again = self.by_wait(|engine| engine.wait <= MAX_EARLY_WAIT);
        }
        if self.patience == Patience::InTime {
            let next = self.again.pop_front().or_else(|| self.unasked.pop_front());
            if let Some(position) = next {
                return Some((position, self.patience));
            }
            self.patience = Patience::Late;
            self.again = self.by_wait(|_| true);
            self.again.truncate(MAX_LATE_ENGINES);
        }
        self.again.pop_front().map(|position| (position, self.patience))
    }

    /// Records that the owner of an engine refused the request, and the wait that it expects.
    pub fn record_refusal(&mut self, position: usize, wait: Duration) {
        match self.refused.iter_mut().find(|engine| engine.position == position) {
            Some(engine) => engine.wait = wait,
            None => self.refused.push(RefusedEngine { position, wait }),
        }
    }

    /// Returns how many engines had no room for the request at once.
    pub fn refusals(&self) -> usize {
        self.refused.len()
    }

    /// Returns the shortest wait that an owner expects, if one refused.
    pub fn shortest_wait(&self) -> Option<Duration> {
        self.refused.iter().map(|engine| engine.wait).min()
    }

    fn by_wait(&self, is_wanted: impl Fn(&RefusedEngine) -> bool) -> VecDeque<usize> {
        let mut wanted: Vec<RefusedEngine> =
            self.refused.iter().copied().filter(|engine| is_wanted(engine)).collect();
        wanted.sort_by_key(|engine| engine.wait);
        wanted.into_iter().map(|engine| engine.position).collect()
    }
}
