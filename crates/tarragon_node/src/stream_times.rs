//! Times of the parts of one streamed response, as its caller gets them.

use rail_place::StreamTiming;
use rail_route::Route;
use std::time::{Duration, Instant};

/// Why the answer to a caller is late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lateness {
    /// The first part came after the target latency of the route.
    FirstPart,
    /// A pause between two parts was longer than the route allows.
    Pause,
}

impl Lateness {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstPart => "first_part",
            Self::Pause => "pause",
        }
    }
}

/// Times of the parts of a response. A stream that another engine resumes goes on for its caller
/// and begins anew for the engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamTimes {
    /// Time from the arrival of the request to the first part.
    pub first_part: Option<Duration>,
    /// Longest time between two parts.
    pub longest_gap: Duration,
    last_part_at: Option<Instant>,
    /// Time from the send to the current engine to its first part, and when that arrived.
    engine_first: Option<(Duration, Instant)>,
    /// Parts of the current engine after its first one.
    engine_parts: u32,
}

impl StreamTimes {
    /// Records a part of the response to a request that arrived and was sent at these times.
    /// Returns the time since the part before.
    pub fn record_part(&mut self, arrived_at: Instant, sent_at: Instant) -> Option<Duration> {
        let now = Instant::now();
        self.first_part.get_or_insert(now.duration_since(arrived_at));
        match self.engine_first {
            None => self.engine_first = Some((now.duration_since(sent_at), now)),
            Some(_) => self.engine_parts += 1,
        }
        let gap = self.last_part_at.replace(now).map(|previous| now.duration_since(previous));
        self.longest_gap = self.longest_gap.max(gap.unwrap_or_default());
        gap
    }

    /// Returns the times at the current engine, once it has sent a part, and begins those of the
    /// engine that resumes the stream.
    pub fn take_engine_timing(&mut self) -> Option<StreamTiming> {
        let parts = std::mem::take(&mut self.engine_parts);
        let (first_event, first_at) = self.engine_first.take()?;
        let last_part_at = self.last_part_at.filter(|_| parts > 0);
        let event_interval = last_part_at.map(|last| last.duration_since(first_at) / parts);
        Some(StreamTiming { first_event, event_interval })
    }

    /// Returns for how long no part has arrived, `None` before the first one.
    pub fn silence(&self) -> Option<Duration> {
        self.last_part_at.map(|at| at.elapsed())
    }

    /// Returns why the answer is late by the aims of its route, if it is.
    pub fn lateness(&self, route: &Route) -> Option<Lateness> {
        if self.first_part? > route.target_latency {
            return Some(Lateness::FirstPart);
        }
        let is_paused = route.max_event_gap.is_some_and(|max| self.longest_gap > max);
        is_paused.then_some(Lateness::Pause)
    }
}
