//! Follows the store's records, either at the store itself or through the feed of another host.

use crate::{
    events::Event,
    feed,
    node::{Node, SharedNode},
    registry::{self, store_kind},
};
use rail_member::{
    HostHeartbeat,
    replica::RecordKind,
    source::{Source, SourceCandidate, SourceChooser},
};
use rail_revision::Revision;
use rail_runtime::time_since_boot;
use rail_site::{
    Freshness, StoreError,
    store::{Change, Changes, Listing},
};
use rand::seq::IteratorRandom;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, task::JoinHandle};

/// Timeout of a store call. For a watch, the time that it waits for changes is added.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which configuration versions of other hosts are compared with the own one.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which the own source may lag behind another host's configuration before it is fetched
/// from there.
const CONFIG_LAG_TOLERANCE: Duration = Duration::from_millis(300);
/// Records that are followed through another host count as stale once the store's last response is
/// this old.
const MAX_RECORD_AGE: Duration = Duration::from_secs(3);
/// Backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Factor by which the backoff grows with each consecutive failure.
const BACKOFF_FACTOR: f64 = 1.25;
/// Consecutive failures after which the backoff stops growing.
const MAX_BACKOFF_STEPS: u32 = 6;
/// Interval at which the tasks of other kinds check whether the store answers again.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a response after which the store counts as unavailable for this host.
const STORE_LOST_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive failed calls after which the store counts as unavailable for this host.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Interval at which the source is reconsidered while the store is followed.
const SOURCE_CHOICE_INTERVAL: Duration = Duration::from_millis(700);
/// Time after the start in which hosts discover each other before a source is chosen.
const JOIN_PERIOD: Duration = Duration::from_millis(900);
/// Shortest time for which a host follows the store before it may switch to another host.
const MIN_STORE_FOLLOW_TIME: Duration = Duration::from_millis(900);

/// Whether the store answers, directly or through other hosts.
#[derive(Debug, Default)]
pub struct StoreHealth {
    is_following_store: Cell<bool>,
    last_call_answered: Cell<bool>,
    last_answer_at: Cell<Duration>,
    /// Consecutive calls that the store did not answer.
    consecutive_failures: Cell<u32>,
    is_unavailable: Cell<bool>,
    /// Restarts waiting watches after idle connections to the store were closed.
    watch_restart: Notify,
    /// When the store last answered, as reported by the host whose feed is followed.
    last_answer_through_host: Cell<Option<Duration>>,
}

impl StoreHealth {
    /// Returns whether records are fresh enough to feed other hosts.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some()
    }

    /// Returns the time since the store last answered, directly or through other hosts, or `None`
    /// if the records are stale. The age is passed along the feed, so that hosts that feed each
    /// other in a cycle become stale together.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        if self.is_following_store.get() && self.last_call_answered.get() && !self.is_failing(now) {
            return Some(now.saturating_sub(self.last_answer_at.get()));
        }
        let age = now.saturating_sub(self.last_answer_through_host.get()?);
        (age < MAX_RECORD_AGE).then_some(age)
    }

    /// Records that the store answered another host `age` ago.
    pub fn record_source_age(&self, now: Duration, age: Duration) {
        let answered_at = now.saturating_sub(age);
        self.last_answer_through_host
            .set(self.last_answer_through_host.get().max(Some(answered_at)));
    }

    /// Ends waiting watches, which start again from the revisions known.
    pub fn restart_watches(&self) {
        self.watch_restart.notify_waiters();
    }

    fn is_failing(&self, now: Duration) -> bool {
        let is_silent = now >= self.last_answer_at.get() + STORE_LOST_TIMEOUT;
        self.is_following_store.get()
            && (is_silent || self.consecutive_failures.get() >= MAX_CONSECUTIVE_FAILURES)
    }
}

/// Returns the longest time that one watch waits for changes.
///
/// Upstreams renew their records continually, so the short watch of that kind detects dead
/// connections to the store early.
fn max_watch_wait(kind: RecordKind) -> Duration {
    match kind {
        RecordKind::Upstreams => Duration::from_millis(1200),
        RecordKind::Config | RecordKind::Versions | RecordKind::Owners => Duration::from_secs(15),
    }
}

/// Returns the pause between two watches, in which changes accumulate.
fn watch_pause(kind: RecordKind) -> Duration {
    match kind {
        RecordKind::Upstreams => Duration::from_millis(600),
        RecordKind::Config => Duration::from_millis(150),
        RecordKind::Versions | RecordKind::Owners => Duration::from_millis(300),
    }
}

/// Spawns the tasks that follow the records.
pub fn spawn(node: &SharedNode) {
    actix_rt::spawn(follow_sources(Rc::clone(node)));
    actix_rt::spawn(check_config(Rc::clone(node)));
}

/// Fetches the configuration from a host that has a newer one, if the own source does not deliver
/// it in time.
async fn check_config(node: SharedNode) {
    let mut behind_since = None;
    loop {
        tokio::time::sleep(CONFIG_CHECK_INTERVAL).await;
        let now = node.now();
        let Some(host) = newest_config_host(&node) else {
            behind_since = None;
            continue;
        };
        if now < *behind_since.get_or_insert(now) + CONFIG_LAG_TOLERANCE {
            continue;
        }
        let fetched = feed::fetch_config(&node, &host).await;
        let reason = fetched.map_or_else(|error| error.to_string(), |()| "fetched".to_owned());
        node.events.important(&Event::ConfigFetched { source: &host, reason: &reason });
    }
}

/// Returns a random host with a newer configuration. The choice is random since all hosts that lag
/// behind look for one at the same time.
fn newest_config_host(node: &Node) -> Option<String> {
    let own_version = node.config_version();
    let hosts = node.hosts.borrow();
    let newer = hosts.live(node.now()).filter(|heartbeat| heartbeat.config_version > own_version);
    newer.map(|heartbeat| heartbeat.host.clone()).choose(&mut rand::rng())
}

/// Chooses a source and follows it until it is lost, in a loop.
async fn follow_sources(node: SharedNode) {
    let chooser = RefCell::new(SourceChooser::new(&node.settings.host, &node.settings.zone));
    // Read the store first: after all hosts restarted at once, no other host has records yet.
    read_all_records(&node).await;
    loop {
        match choose_source(&node, &chooser) {
            Source::Store => follow_store(&node, &chooser).await,
            Source::Host(host) => {
                node.events.important(&Event::Source { source: &host });
                let reason = feed::follow_host(&node, &host).await.to_string();
                node.events.important(&Event::SourceLost { source: &host, reason: &reason });
                chooser.borrow_mut().avoid(&host, node.now());
            }
        }
    }
}

fn source_candidates(node: &Node) -> Vec<SourceCandidate> {
    let hosts = node.hosts.borrow();
    let candidate = |heartbeat: &HostHeartbeat| SourceCandidate {
        host: heartbeat.host.clone(),
        zone: heartbeat.zone.clone(),
        is_fresh: heartbeat.is_fresh,
    };
    hosts.live(node.now()).map(candidate).collect()
}

fn choose_source(node: &Node, chooser: &RefCell<SourceChooser>) -> Source {
    let now = node.now();
    let live = source_candidates(node);
    chooser.borrow_mut().choose(&live, node.store_health.is_failing(now), now)
}

/// Reads every record once, which suffices until a source is chosen.
async fn read_all_records(node: &SharedNode) {
    node.store_health.is_following_store.set(true);
    let reads = RecordKind::ALL.map(|kind| list_kind(node, kind));
    futures_util::future::join_all(reads).await;
    tokio::time::sleep(JOIN_PERIOD.saturating_sub(node.now())).await;
    node.store_health.is_following_store.set(false);
}

async fn list_kind(node: &SharedNode, kind: RecordKind) {
    loop {
        match node.store.list(store_kind(kind), Freshness::MayBeStale, STORE_CALL_TIMEOUT).await {
            Ok(listing) => {
                record_call_result(node, kind, None);
                return apply_listing(node, kind, &listing);
            }
            // Each kind calls again by itself: the task of upstreams may have finished already.
            Err(error) => record_call_failure(node, kind, &error).await,
        }
    }
}

/// Aborts the watch tasks when dropped.
struct WatchTasks(Vec<JoinHandle<()>>);

impl Drop for WatchTasks {
    fn drop(&mut self) {
        for watch in &self.0 {
            watch.abort();
        }
    }
}

/// Follows the store until the chooser prefers another source.
async fn follow_store(node: &SharedNode, chooser: &RefCell<SourceChooser>) {
    node.events.important(&Event::Source { source: "store" });
    node.store_health.last_answer_at.set(node.now());
    node.store_health.consecutive_failures.set(0);
    node.store_health.last_call_answered.set(false);
    node.store_health.is_following_store.set(true);
    let watch = |kind| actix_rt::spawn(follow_kind(Rc::clone(node), kind));
    let watches = WatchTasks(RecordKind::ALL.map(watch).into());
    tokio::time::sleep(MIN_STORE_FOLLOW_TIME).await;
    loop {
        tokio::time::sleep(SOURCE_CHOICE_INTERVAL).await;
        if choose_source(node, chooser) != Source::Store {
            break;
        }
    }
    node.store_health.is_following_store.set(false);
    drop(watches);
}

/// Lists the records of a kind and watches their changes; lists them again when the watch ends.
async fn follow_kind(node: SharedNode, kind: RecordKind) {
    // The first watch delivers what a stale listing lacks. Only if that history was compacted must
    // the listing be the latest.
    let mut freshness = Freshness::MayBeStale;
    loop {
        let asked_at = time_since_boot();
        match node.store.list(store_kind(kind), freshness, STORE_CALL_TIMEOUT).await {
            Ok(listing) => {
                record_call_result(&node, kind, None);
                apply_listing(&node, kind, &listing);
                if freshness == Freshness::Latest {
                    node.confirmations.borrow_mut().record(kind, asked_at);
                }
                watch_from(&node, kind, listing.revision).await;
                freshness = Freshness::Latest;
            }
            Err(error) => handle_call_failure(&node, kind, &error).await,
        }
    }
}

/// Watches changes of a kind until its history is gone and it must be listed again.
async fn watch_from(node: &SharedNode, kind: RecordKind, revision: Revision) {
    let mut revision = revision;
    let mut pause = Duration::ZERO;
    loop {
        tokio::time::sleep(std::mem::replace(&mut pause, watch_pause(kind))).await;
        // In a later era the store may count past this revision without the changes before it.
        if revision.era < node.store.era() {
            return;
        }
        let watch_call =
            node.store.watch(store_kind(kind), revision, max_watch_wait(kind), STORE_CALL_TIMEOUT);
        let asked_at = time_since_boot();
        let watch_result = tokio::select! {
            watch_result = watch_call => watch_result,
            () = node.store_health.watch_restart.notified() => continue,
        };
        match watch_result {
            Ok(changes) => {
                record_call_result(node, kind, None);
                let has_changes = !changes.changes.is_empty();
                apply_changes(node, kind, &changes);
                node.confirmations.borrow_mut().record_watch(
                    kind,
                    asked_at,
                    time_since_boot(),
                    max_watch_wait(kind),
                    has_changes,
                );
                revision = changes.revision;
                node.registry.advance(kind, revision);
            }
            Err(StoreError::HistoryGone) => {
                record_call_result(node, kind, Some(&StoreError::HistoryGone));
                return;
            }
            Err(error) => handle_call_failure(node, kind, &error).await,
        }
    }
}

/// Applies the changes that a watch reported. A record that was removed and created again is not
/// removed, since its newer state may have arrived over another path.
fn apply_changes(node: &SharedNode, kind: RecordKind, changes: &Changes) {
    for (index, change) in changes.changes.iter().enumerate() {
        match change {
            Change::Put(object) => registry::apply_stored_record(node, kind, object),
            Change::Removed(name) => {
                let is_created_again = changes.changes[index..]
                    .iter()
                    .any(|later| matches!(later, Change::Put(object) if object.name == *name));
                if !is_created_again {
                    registry::remove_record(node, kind, name, changes.revision);
                }
            }
        }
    }
}

/// Records a failed call and waits until the next one may be made.
async fn handle_call_failure(node: &Node, kind: RecordKind, error: &StoreError) {
    record_call_failure(node, kind, error).await;
    // Only the task of upstreams calls an unavailable store; the others wait until it answers.
    while kind != RecordKind::Upstreams && node.store_health.consecutive_failures.get() > 0 {
        tokio::time::sleep(RECOVERY_CHECK_INTERVAL).await;
    }
}

/// Records a failed call and waits for the backoff.
async fn record_call_failure(node: &Node, kind: RecordKind, error: &StoreError) {
    record_call_result(node, kind, Some(error));
    if matches!(error, StoreError::NoAnswer) && kind == RecordKind::Upstreams {
        node.store.close_idle();
        node.store_health.watch_restart.notify_waiters();
    }
    tokio::time::sleep(backoff(node.store_health.consecutive_failures.get())).await;
}

/// Returns the pause after consecutive failed calls. It grows since every store call is billed.
fn backoff(consecutive_failures: u32) -> Duration {
    INITIAL_BACKOFF.mul_f64(BACKOFF_FACTOR.powi(consecutive_failures.min(MAX_BACKOFF_STEPS) as i32))
}

/// Records the result of a store call in metrics and [`StoreHealth`], and logs a changed
/// availability.
fn record_call_result(node: &Node, kind: RecordKind, error: Option<&StoreError>) {
    let reason = error.map_or_else(|| "ok".to_owned(), ToString::to_string);
    node.metrics.store_calls.count(&reason);
    let is_unavailable = error.is_some_and(|error| !error.is_answer());
    node.store_health.last_call_answered.set(!is_unavailable);
    if is_unavailable {
        node.store_health
            .consecutive_failures
            .set(node.store_health.consecutive_failures.get() + 1);
    } else {
        node.store_health.consecutive_failures.set(0);
        node.store_health.last_answer_at.set(node.now());
    }
    if kind != RecordKind::Upstreams
        || node.store_health.is_unavailable.replace(is_unavailable) == is_unavailable
    {
        return;
    }
    if !is_unavailable {
        node.registry.record_store_recovery(node.now());
    }
    let kind = store_kind(kind);
    node.events.important(&Event::Store { kind, answers: !is_unavailable, reason: &reason });
}

fn apply_listing(node: &SharedNode, kind: RecordKind, listing: &Listing) {
    let names: Vec<String> = listing.objects.iter().map(|object| object.name.clone()).collect();
    for object in &listing.objects {
        registry::apply_stored_record(node, kind, object);
    }
    registry::apply_complete_listing(node, kind, &names, listing.revision);
}
