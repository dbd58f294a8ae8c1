//! When a host asks for newer records, and whom, because its copy gets old.
//!
//! A host receives records from one source at a time. It doesn't try to find out whether that
//! source, the source's source or the store has failed; it compares the age of its records with the
//! bound within which a change must take effect. Well before the bound it asks the store and
//! several other hosts at the same time, whatever its source does. A host that is asked keeps the
//! question open until its own records are recent, so a change passes on as soon as any host has
//! it. The time until every host has it therefore doesn't grow with the number of sources that
//! failed.

use crate::{confirmation::RecordAges, replica::RecordKind};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Interval at which a host compares the ages of its records with the bounds.
pub const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which the store answers a call when nothing disturbs it.
pub const STORE_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time in which records reach a host that asked for them, and are applied.
pub const DELIVERY_TIME: Duration = Duration::from_millis(250);
/// Timeout of the call by which a host asks the store.
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a host keeps a question open when its own records are not recent.
pub const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which hosts know the owner of an engine; until then they learn from the refusal of
/// the earlier owner that it has changed.
const OWNER_BOUND: Duration = Duration::from_secs(10);
/// Hosts that are asked in the first round; each further round asks twice as many.
const FIRST_ROUND_HOSTS: usize = 4;
/// Most hosts that one host asks at the same time.
const MAX_OPEN_QUESTIONS: usize = 16;
/// Pause after the first call that the store did not answer.
const INITIAL_STORE_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause between calls to a store that doesn't answer.
const MAX_STORE_BACKOFF: Duration = Duration::from_secs(1);

/// Times within which changes must take effect on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordBounds {
    /// For the configuration.
    pub config: Duration,
    /// For upstreams that begin to leave.
    pub upstreams: Duration,
    /// For versions of adapters.
    pub versions: Duration,
}

impl RecordBounds {
    /// Returns the shares of the bound of one kind.
    pub fn budget(&self, kind: RecordKind) -> RefreshBudget {
        let bound = match kind {
            RecordKind::Config => self.config,
            RecordKind::Upstreams => self.upstreams,
            RecordKind::Versions => self.versions,
            RecordKind::Owners => OWNER_BOUND,
        };
        RefreshBudget { bound }
    }

    /// Returns whether a host with records of some ages has news for one that asked `waited` ago
    /// and named the ages of its own: a kind that is old there is more recent here.
    pub fn has_news(&self, here: &RecordAges, there: &RecordAges, waited: Duration) -> bool {
        RecordKind::ALL.into_iter().any(|kind| {
            let budget = self.budget(kind);
            let known = there.of(kind).map(|age| age + waited);
            let is_old = known.is_none_or(|age| age >= budget.refresh_age());
            let is_news = here.of(kind).is_some_and(|age| {
                let is_gain = known.is_none_or(|known| age + budget.least_gain() <= known);
                age < budget.refresh_age() && is_gain
            });
            is_old && is_news
        })
    }
}

/// How the time from the store's acknowledgement of a change to its effect on the last host is
/// divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefreshBudget {
    /// Time within which a change must take effect.
    pub bound: Duration,
}

impl RefreshBudget {
    /// Longest time between two confirmations at a host that follows the store.
    pub fn watch_period(&self) -> Duration {
        self.bound.mul_f64(0.3)
    }

    /// Pause between two watches, in which changes accumulate.
    pub fn watch_pause(&self) -> Duration {
        self.bound.mul_f64(0.2)
    }

    /// Longest wait of a watch.
    pub fn longest_watch_wait(&self) -> Duration {
        self.watch_period().saturating_sub(self.watch_pause())
    }

    /// Returns for how long a watch may wait if the kind has been confirmed up to an age.
    pub fn watch_wait(&self, age: Duration) -> Duration {
        self.watch_period().saturating_sub(age).min(self.longest_watch_wait())
    }

    /// Age of records from which a host asks for newer ones.
    pub fn refresh_age(&self) -> Duration {
        self.bound.mul_f64(0.425)
    }

    /// Age up to which records count as recent, so that other hosts may follow this one.
    pub fn recent_age(&self) -> Duration {
        self.bound.mul_f64(0.5)
    }

    /// Time by which the records of a host must be more recent than those of a host that asks it.
    pub fn least_gain(&self) -> Duration {
        self.bound.mul_f64(0.1)
    }

    /// Pause between two rounds of questions.
    pub fn round_interval(&self) -> Duration {
        self.bound.mul_f64(0.125)
    }

    /// Returns the longest time from the store's acknowledgement of a change until a host has
    /// applied it, if some host reaches the store and one that has the change, or has it soon, is
    /// asked in the given round, the first being 0.
    pub fn longest_time(&self, round: u32) -> Duration {
        let until_asked = self.refresh_age() + AGE_CHECK_INTERVAL + self.round_interval() * round;
        until_asked + STORE_ANSWER_TIME + DELIVERY_TIME
    }
}

/// Whom to ask now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Round {
    /// Whether to ask the store.
    pub asks_store: bool,
    /// Other hosts to ask.
    pub hosts: Vec<String>,
}

/// Plans the questions of one host while its records are too old.
#[derive(Debug, Clone)]
pub struct RefreshPlanner {
    host: String,
    round: u32,
    next_round_at: Duration,
    /// Hosts with an open question, each with the time at which it ends.
    open_questions: BTreeMap<String, Duration>,
    /// Time of the next call to the store; none while a call is in progress.
    store_call_at: Option<Duration>,
    store_failures: u32,
}

impl RefreshPlanner {
    /// Creates the planner of a host.
    pub fn new(host: &str) -> Self {
        Self {
            host: host.to_owned(),
            round: 0,
            next_round_at: Duration::ZERO,
            open_questions: BTreeMap::new(),
            store_call_at: Some(Duration::ZERO),
            store_failures: 0,
        }
    }

    /// Ends all rounds, since the records are recent again.
    pub fn stop(&mut self) {
        self.round = 0;
        self.next_round_at = Duration::ZERO;
        self.open_questions.clear();
    }

    /// Returns whom to ask now, while records are too old; `live` are the other live hosts.
    pub fn poll(
        &mut self,
        live: &[String],
        round_interval: Duration,
        now: Duration,
    ) -> Option<Round> {
        if now < self.next_round_at {
            return None;
        }
        self.next_round_at = now + round_interval;
        self.open_questions.retain(|_, ends_at| now < *ends_at);
        let asks_store = self.store_call_at.is_some_and(|call_at| now >= call_at);
        if asks_store {
            self.store_call_at = None;
        }
        let hosts = self.choose_hosts(live);
        for host in &hosts {
            self.open_questions.insert(host.clone(), now + QUESTION_TIMEOUT);
        }
        self.round = self.round.saturating_add(1);
        Some(Round { asks_store, hosts })
    }

    /// Records whether the store answered the call.
    pub fn record_store_call(&mut self, is_answered: bool, now: Duration) {
        self.store_failures = if is_answered { 0 } else { self.store_failures.saturating_add(1) };
        let backoff = INITIAL_STORE_BACKOFF * self.store_failures;
        self.store_call_at = Some(now + backoff.min(MAX_STORE_BACKOFF));
    }

    /// Records that the question to a host has ended, so that it may be asked again.
    pub fn record_end(&mut self, host: &str) {
        self.open_questions.remove(host);
    }

    /// Chooses hosts without an open question, in an order that differs by host and round.
    fn choose_hosts(&self, live: &[String]) -> Vec<String> {
        let doubled = FIRST_ROUND_HOSTS << self.round.min(MAX_OPEN_QUESTIONS.ilog2());
        let free = MAX_OPEN_QUESTIONS.saturating_sub(self.open_questions.len());
        let mut hosts: Vec<&String> =
            live.iter().filter(|host| !self.open_questions.contains_key(*host)).collect();
        hosts.sort_by_cached_key(|host| {
            xxh3_64(format!("{}/{}/{host}", self.host, self.round).as_bytes())
        });
        hosts.into_iter().take(doubled.min(free)).cloned().collect()
    }
}
