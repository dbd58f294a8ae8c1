//! Speed at which an engine reads prompts, learned from the times of its answers.
//!
//! Under load an engine always reads several prompts, so the prompts ahead of a request count as part
//! of what it had to read until the request's first event.

use std::time::Duration;

/// Speed of an engine of which no answer is known, in tokens per second.
const START_TOKENS_PER_S: f64 = 16_000.0;
/// Length of the longer one of the two assumed answers with which an estimate starts, in tokens.
const START_TOKENS: f64 = 2_000.0;
/// Weight of each of these two, in answers.
const START_WEIGHT: f64 = 2.0;
/// Share of its weight that an answer keeps with each further one.
const WEIGHT_DECAY: f64 = 0.95;
/// Bounds of the speed, in tokens per second.
const TOKENS_PER_S_RANGE: (f64, f64) = (500.0, 200_000.0);
/// Longest part of the time that counts as independent of what the engine had to read, in seconds.
/// Without a bound, an engine with more to read than is known would seem fast.
const MAX_BASE_S: f64 = 0.02;
/// Multiple of the expected time at which a longer one is cut off, so that one answer that was held
/// up for another reason doesn't change the estimate much.
const MAX_TIME_FACTOR: f64 = 4.0;

/// Linear regression of the time until the first event over the tokens that the engine had to read
/// for it, in which older answers count less.
#[derive(Debug, Clone, Copy)]
pub struct ReadingSpeed {
    weight: f64,
    sum_tokens: f64,
    sum_s: f64,
    sum_tokens_squared: f64,
    sum_tokens_s: f64,
}

impl Default for ReadingSpeed {
    fn default() -> Self {
        let empty = Self {
            weight: 0.0,
            sum_tokens: 0.0,
            sum_s: 0.0,
            sum_tokens_squared: 0.0,
            sum_tokens_s: 0.0,
        };
        let long_s = MAX_BASE_S + START_TOKENS / START_TOKENS_PER_S;
        empty.add(0.0, MAX_BASE_S, START_WEIGHT).add(START_TOKENS, long_s, START_WEIGHT)
    }
}

impl ReadingSpeed {
    /// Returns the estimated speed in tokens per second.
    pub fn tokens_per_s(&self) -> f64 {
        // The slope of the line through a given base that fits the answers best.
        let s_per_token = (self.sum_tokens_s - self.base_s() * self.sum_tokens)
            / self.sum_tokens_squared.max(f64::MIN_POSITIVE);
        let (min, max) = TOKENS_PER_S_RANGE;
        if s_per_token <= 0.0 { max } else { (1.0 / s_per_token).clamp(min, max) }
    }

    /// Estimates the time in which the engine reads this many tokens.
    pub fn time_for(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.tokens_per_s())
    }

    /// Records the time until the first event of an answer for which the engine had to read this many
    /// tokens, those of prompts ahead included.
    pub fn observe(&mut self, tokens: f64, first_event: Duration) {
        let expected_s = self.base_s() + tokens / self.tokens_per_s();
        let time_s = first_event.as_secs_f64().min(expected_s * MAX_TIME_FACTOR);
        let decayed = Self {
            weight: self.weight * WEIGHT_DECAY,
            sum_tokens: self.sum_tokens * WEIGHT_DECAY,
            sum_s: self.sum_s * WEIGHT_DECAY,
            sum_tokens_squared: self.sum_tokens_squared * WEIGHT_DECAY,
            sum_tokens_s: self.sum_tokens_s * WEIGHT_DECAY,
        };
        *self = decayed.add(tokens, time_s, 1.0);
    }

    /// Returns the part of the time that doesn't depend on what the engine has to read.
    fn base_s(&self) -> f64 {
        let spread = self.weight * self.sum_tokens_squared - self.sum_tokens * self.sum_tokens;
        let intercept = self.sum_s * self.sum_tokens_squared - self.sum_tokens * self.sum_tokens_s;
        (intercept / spread.max(f64::MIN_POSITIVE)).clamp(0.0, MAX_BASE_S)
    }

    fn add(self, tokens: f64, time_s: f64, weight: f64) -> Self {
        Self {
            weight: self.weight + weight,
            sum_tokens: self.sum_tokens + weight * tokens,
            sum_s: self.sum_s + weight * time_s,
            sum_tokens_squared: self.sum_tokens_squared + weight * tokens * tokens,
            sum_tokens_s: self.sum_tokens_s + weight * tokens * time_s,
        }
    }
}
