//! How long answers take, by route.

use crate::budget::HedgeShare;
use hdrhistogram::Histogram;
use std::{collections::HashMap, time::Duration};

/// Name of a route.
type RouteName = String;

/// Time over which answers are counted before an older count is dropped.
const WINDOW: Duration = Duration::from_secs(10);
/// Answers without which no quantile is known.
const MIN_ANSWERS: u64 = 50;
/// Longest answer that is told apart from longer ones.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(60);
/// Significant digits of the quantiles.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Answers are slow from this share of all on, even where more second attempts were allowed.
const MAX_SLOW_SHARE: f64 = 0.05;
/// Part of the allowed share that slow answers make up on average, so that the rest is left for
/// times with more of them.
const USED_PART: f64 = 0.75;
/// Time for which a computed quantile is used.
const QUANTILE_LIFETIME: Duration = Duration::from_millis(250);

/// Answers of the current and the previous window.
#[derive(Debug, Clone)]
struct Windows {
    started_at: Duration,
    current: Histogram<u64>,
    previous: Histogram<u64>,
    /// The last quantile, with its share of slow answers and the time at which it was computed.
    slow_after: Option<(f64, Duration, Duration)>,
}

impl Windows {
    fn new(now: Duration) -> Option<Self> {
        let max_us = MAX_ANSWER_TIME.as_micros() as u64;
        let histogram = Histogram::new_with_max(max_us, SIGNIFICANT_DIGITS).ok()?;
        let (current, previous) = (histogram.clone(), histogram);
        Some(Self { started_at: now, current, previous, slow_after: None })
    }

    /// Returns the time that this share of the answers exceeds; `None` if too few are known.
    fn slow_after(&mut self, slow_share: f64, now: Duration) -> Option<Duration> {
        if let Some((share, computed_at, slow_after)) = self.slow_after
            && share.total_cmp(&slow_share).is_eq()
            && now < computed_at + QUANTILE_LIFETIME
        {
            return Some(slow_after);
        }
        let slow_after = self.quantile(1.0 - slow_share)?;
        self.slow_after = Some((slow_share, now, slow_after));
        Some(slow_after)
    }

    fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.current.len() + self.previous.len() < MIN_ANSWERS {
            return None;
        }
        let mut all = self.current.clone();
        all.add(&self.previous).ok()?;
        Some(Duration::from_micros(all.value_at_quantile(quantile)))
    }

    fn advance(&mut self, now: Duration) {
        if now < self.started_at + WINDOW {
            return;
        }
        let is_previous_old = now >= self.started_at + WINDOW * 2;
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if is_previous_old {
            self.previous.reset();
        }
        self.slow_after = None;
        self.started_at = now;
    }
}

/// Times of the answers to the requests of each route.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    routes: HashMap<RouteName, Windows>,
}

impl AnswerTimes {
    /// Records the time from the first send of a request to its answer, whichever attempt gave it.
    pub fn record(&mut self, route: &str, took: Duration, now: Duration) {
        if !self.routes.contains_key(route) {
            let Some(windows) = Windows::new(now) else { return };
            self.routes.insert(route.to_owned(), windows);
        }
        if let Some(windows) = self.routes.get_mut(route) {
            windows.advance(now);
            windows.current.saturating_record(took.as_micros() as u64);
        }
    }

    /// Returns after which time the answer to a request counts as slow: a little fewer answers take
    /// longer than the share allows second attempts. Returns `None` if too few answers are known.
    pub fn slow_after(
        &mut self,
        route: &str,
        share: HedgeShare,
        now: Duration,
    ) -> Option<Duration> {
        let windows = self.routes.get_mut(route)?;
        windows.advance(now);
        windows.slow_after(share.as_fraction().min(MAX_SLOW_SHARE) * USED_PART, now)
    }

    /// Returns the time that half of the answers take; `None` if too few are known.
    pub fn typical(&mut self, route: &str, now: Duration) -> Option<Duration> {
        let windows = self.routes.get_mut(route)?;
        windows.advance(now);
        windows.quantile(0.5)
    }

    /// Removes the routes that `is_known` does not contain.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }
}
