//! Pacing of prompts: when an engine may read the next one without holding up running streams.
//!
//! An engine reads prompts between the tokens of the streams that it runs, so every prompt delays
//! the next event of each of them. Load pattern: first events have time left while pauses between
//! events are short, so a prompt that waits for some 0.1 s keeps many streams in time and is in time
//! itself. [`PromptPacer`] bounds the time that the engine reads within the longest pause that one of
//! its streams allows. A prompt that takes longer than that by itself can't be read without a pause;
//! it starts once no other prompt is being read, so that one pause doesn't become two.

use crate::{owner::StartId, reading::ReadingSpeed};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Part of the longest pause that is left for the way of an event to the caller, at most half of it.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50);
/// Smallest share of that time in which the engine may read, however long its steps take.
const MIN_READING_SHARE: f64 = 0.5;
/// Expected time between two events of a stream before any was observed.
const INITIAL_EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Weight of a shorter mean interval in the estimate, and of a longer one. Prompts that are read
/// meanwhile lengthen the interval of a stream, so the estimate follows the shorter ones.
const SHORTER_WEIGHT: f64 = 0.2;
const LONGER_WEIGHT: f64 = 0.02;

/// Times of one stream, as the host that passed it on saw them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamTiming {
    /// Time from the send of the request to the first event.
    pub first_event: Duration,
    /// Mean time between two events, if there were several.
    pub event_interval: Option<Duration>,
}

/// What a request needs of the engine that reads its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Longest pause between two events for which the answer is in time; `None` if any is.
    pub max_event_gap: Option<Duration>,
}

/// A span of time in which the engine should read a prompt.
#[derive(Debug, Clone, Copy)]
struct Reading {
    id: StartId,
    begins_at: Duration,
    ends_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RunningPrompt {
    max_event_gap: Option<Duration>,
    tokens: u32,
    /// Tokens that the engine had to read for it, those of prompts ahead included.
    tokens_to_read: f64,
}

/// Prompts that one engine reads beside the streams that run there.
#[derive(Debug, Clone, Default)]
pub struct PromptPacer {
    speed: ReadingSpeed,
    event_interval: Option<Duration>,
    running: HashMap<StartId, RunningPrompt>,
    /// Readings that may share a pause with the next one, oldest first.
    readings: VecDeque<Reading>,
}

impl PromptPacer {
    /// Returns the earliest time at which the engine may read a prompt.
    pub fn earliest_start(&self, prompt: Prompt, now: Duration) -> Duration {
        let now = now.max(self.read_until());
        let Some(window) = self.window() else { return now };
        let duration = self.reading_time(prompt.tokens);
        let budget = self.reading_time_within(window);
        if duration > budget {
            let last_end = self.readings.back().map(|last| last.ends_at);
            return last_end.map_or(now, |ends_at| now.max(ends_at + self.expected_interval()));
        }
        // The newest readings fit beside the prompt in one window up to `shared`; what was read
        // before must have left the window when the prompt has been read.
        let mut shared = budget.saturating_sub(duration);
        for reading in self.readings.iter().rev() {
            let length = reading.ends_at.saturating_sub(reading.begins_at);
            if length > shared {
                let left_at = (reading.ends_at + window).saturating_sub(shared + duration);
                return now.max(left_at);
            }
            shared = shared.saturating_sub(length);
        }
        now
    }

    /// Estimates when the first event of a prompt comes if it is the next one that the engine reads.
    pub fn first_event_at(&self, prompt: Prompt, now: Duration) -> Duration {
        let reading_time = self.reading_time(prompt.tokens);
        self.earliest_start(prompt, now) + reading_time + self.expected_interval()
    }

    /// Returns whether a prompt may be sent now. The engine may still read the prompt before.
    pub fn may_start(&self, prompt: Prompt, now: Duration) -> bool {
        self.earliest_start(prompt, now) <= now.max(self.read_until())
    }

    /// Estimates the time in which the engine reads a prompt.
    pub fn reading_time(&self, tokens: u32) -> Duration {
        self.speed.time_for(tokens.into())
    }

    /// Estimates the time in which the engine reads several prompts that wait, as it paces them.
    pub fn paced_time(&self, tokens: u32) -> Duration {
        let share = match self.window() {
            Some(window) => self.reading_time_within(window).as_secs_f64() / window.as_secs_f64(),
            None => 1.0,
        };
        self.reading_time(tokens).div_f64(share)
    }

    /// Records that a prompt was sent.
    pub fn start(&mut self, id: StartId, prompt: Prompt, now: Duration) {
        let read_until = self.read_until();
        let begins_at = read_until.max(now);
        let ahead_s = read_until.saturating_sub(now).as_secs_f64();
        let tokens_to_read = ahead_s * self.speed.tokens_per_s() + f64::from(prompt.tokens);
        let Prompt { tokens, max_event_gap } = prompt;
        self.running.insert(id, RunningPrompt { max_event_gap, tokens, tokens_to_read });
        let ends_at = begins_at + self.reading_time(tokens);
        self.readings.push_back(Reading { id, begins_at, ends_at });
        let longest_window = self.window().unwrap_or_default();
        while self.readings.front().is_some_and(|first| first.ends_at + longest_window < now) {
            self.readings.pop_front();
        }
    }

    /// Records that the engine reads no further in the prompt of a request, since it has answered,
    /// has rejected the request or was left by its caller. The prompts behind it are read sooner.
    /// Returns the tokens that it has not read. `was_read` is false if it has read none.
    pub fn stop_reading(&mut self, id: StartId, was_read: bool, now: Duration) -> u32 {
        let tokens = self.running.get(&id).map_or(0, |running| running.tokens);
        let position = self.readings.iter().position(|reading| reading.id == id);
        // What is not planned any more was read long ago, unless the engine rejected it.
        let Some(position) = position else { return if was_read { 0 } else { tokens } };
        let Reading { begins_at, ends_at, .. } = self.readings[position];
        let stopped_at = if was_read { now.clamp(begins_at, ends_at) } else { begins_at };
        if stopped_at == begins_at {
            self.readings.remove(position);
        } else {
            self.readings[position].ends_at = stopped_at;
        }
        self.advance_readings_after(ends_at, ends_at.saturating_sub(now.max(begins_at)));
        let unread = ends_at.saturating_sub(stopped_at).as_secs_f64();
        let planned = ends_at.saturating_sub(begins_at).as_secs_f64();
        (f64::from(tokens) * unread / planned.max(f64::MIN_POSITIVE)) as u32
    }

    /// Plans the prompts that were to be read from a time on by this much sooner.
    fn advance_readings_after(&mut self, time: Duration, by: Duration) {
        let skipped_tokens = by.as_secs_f64() * self.speed.tokens_per_s();
        for reading in self.readings.iter_mut().filter(|reading| reading.begins_at >= time) {
            reading.begins_at = reading.begins_at.saturating_sub(by);
            reading.ends_at = reading.ends_at.saturating_sub(by);
            if let Some(running) = self.running.get_mut(&reading.id) {
                let without_skipped = running.tokens_to_read - skipped_tokens;
                running.tokens_to_read = without_skipped.max(f64::from(running.tokens));
            }
        }
    }

    /// Records the end of a request, with the times of its answer if it was a stream.
    pub fn end(&mut self, id: StartId, timing: Option<StreamTiming>) {
        let Some(running) = self.running.remove(&id) else { return };
        let Some(timing) = timing else { return };
        self.speed.observe(running.tokens_to_read, timing.first_event);
        if let Some(interval) = timing.event_interval {
            let estimate = self.expected_interval();
            let weight = if interval < estimate { SHORTER_WEIGHT } else { LONGER_WEIGHT };
            let blended = estimate.mul_f64(1.0 - weight) + interval.mul_f64(weight);
            self.event_interval = Some(blended);
        }
    }

    /// Forgets what the engine runs and how fast it is, after it has restarted.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the time by which the engine should have read the prompts that were sent.
    pub fn read_until(&self) -> Duration {
        self.readings.back().map_or(Duration::ZERO, |last| last.ends_at)
    }

    /// Returns the estimated speed at which the engine reads, in tokens per second.
    pub fn tokens_per_s(&self) -> f64 {
        self.speed.tokens_per_s()
    }

    /// Returns the shortest time within which a running stream must get its next event, if one must.
    fn window(&self) -> Option<Duration> {
        let limits = self.running.values().filter_map(|running| running.max_event_gap);
        limits.min().map(|limit| limit.saturating_sub(DELIVERY_MARGIN).max(limit / 2))
    }

    /// Returns how long the engine may read within a window, beside the steps of one event.
    fn reading_time_within(&self, window: Duration) -> Duration {
        let beside_steps = window.saturating_sub(self.expected_interval());
        beside_steps.max(window.mul_f64(MIN_READING_SHARE))
    }

    fn expected_interval(&self) -> Duration {
        self.event_interval.unwrap_or(INITIAL_EVENT_INTERVAL)
    }
}
