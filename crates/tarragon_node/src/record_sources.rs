//! Follows the store's records, either at the store itself or through the feed of another host.

use crate::{
    bad_records,
    events::Event,
    feed,
    node::{Node, SharedNode},
    registry::{self, store_kind},
};
use rail_member::{
    HostHeartbeat, refresh,
    replica::RecordKind,
    source::{Source, SourceCandidate, SourceChooser, StoreAccess},
};
use rail_runtime::time_since_boot;
use rail_site::{
    Freshness, StoreError,
    objects::{Change, Changes, Listing, UnreadableObject},
    records::{CONFIG_KIND, CONFIG_NAME},
};
use rand::seq::IteratorRandom;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{task::JoinHandle, time::timeout};

/// Timeout of a store call. For a watch, the time that it waits for changes is added.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which configuration versions of other hosts are compared with the own one.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which the own source may lag behind another host's configuration before it is fetched
/// from there.
const CONFIG_LAG_TOLERANCE: Duration = Duration::from_millis(300);
/// Backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Factor by which the backoff grows with each consecutive failure.
const BACKOFF_FACTOR: f64 = 1.25;
/// Consecutive failures after which the backoff stops growing.
const MAX_BACKOFF_STEPS: u32 = 6;
/// Interval at which the tasks of other kinds check whether the store answers again.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which an incomplete listing is repeated, since what it leaves out may not change soon.
const INCOMPLETE_LISTING_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the source is reconsidered while the store is followed.
const SOURCE_CHOICE_INTERVAL: Duration = Duration::from_millis(700);
/// Time after the start in which hosts discover each other before a source is chosen.
const JOIN_PERIOD: Duration = Duration::from_millis(900);
/// Shortest time for which a host follows the store before it may switch to another host.
const MIN_STORE_FOLLOW_TIME: Duration = Duration::from_millis(900);

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
                let lost = tokio::select! {
                    lost = feed::follow_host(&node, &host) => lost,
                    () = wait_for_store(&node, &chooser) => continue,
                };
                let reason = lost.to_string();
                node.events.important(&Event::SourceLost { source: &host, reason: &reason });
                chooser.borrow_mut().avoid(&host, node.now());
            }
        }
    }
}

/// Waits until this host must follow the store again, and the store has answered it.
async fn wait_for_store(node: &SharedNode, chooser: &RefCell<SourceChooser>) {
    loop {
        tokio::time::sleep(SOURCE_CHOICE_INTERVAL).await;
        let (live, now) = (source_candidates(node), node.now());
        if !chooser.borrow().must_follow_store(&live, store_access(node, now), now) {
            continue;
        }
        // The other source is kept while the store does not answer.
        if refresh_kind(node, RecordKind::Upstreams).await {
            return;
        }
        chooser.borrow_mut().avoid_store(node.now());
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
    chooser.borrow_mut().choose(&live, store_access(node, now), now)
}

fn store_access(node: &Node, now: Duration) -> StoreAccess {
    StoreAccess {
        is_failing: node.store_health.is_failing(now),
        answers: node.store_health.answers(now),
    }
}

/// Reads every record once, which suffices until a source is chosen.
async fn read_all_records(node: &SharedNode) {
    node.store_health.is_following_store.set(true);
    let reads = RecordKind::ALL.map(|kind| list_kind(node, kind));
    futures_util::future::join_all(reads).await;
    tokio::time::sleep(JOIN_PERIOD.saturating_sub(node.now())).await;
    node.store_health.is_following_store.set(false);
}

/// Lists the records of a kind. The configuration has a name of its own, so it is found even if the
/// listing can't be read to its end.
async fn list_records(
    node: &Node,
    kind: RecordKind,
    freshness: Freshness,
    call_timeout: Duration,
) -> Result<Listing, StoreError> {
    let mut listing = node.store.list(store_kind(kind), freshness, call_timeout).await?;
    if kind == RecordKind::Config && !listing.is_complete {
        match node.store.read(CONFIG_KIND, CONFIG_NAME, freshness, call_timeout).await {
            Ok(config) => listing.objects.push(config),
            Err(StoreError::NotFound) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(listing)
}

async fn list_kind(node: &SharedNode, kind: RecordKind) {
    loop {
        match list_records(node, kind, Freshness::MayBeStale, STORE_CALL_TIMEOUT).await {
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
    node.store_health.start_following(node.now());
    let watch = |kind| actix_rt::spawn(follow_kind(Rc::clone(node), kind));
    let watches = WatchTasks(RecordKind::ALL.map(watch).into());
    tokio::time::sleep(MIN_STORE_FOLLOW_TIME).await;
    loop {
        tokio::time::sleep(SOURCE_CHOICE_INTERVAL).await;
        if choose_source(node, chooser) != Source::Store {
            break;
        }
    }
    if node.store_health.is_failing(node.now()) {
        chooser.borrow_mut().avoid_store(node.now());
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
        match list_records(&node, kind, freshness, STORE_CALL_TIMEOUT).await {
            Ok(listing) => {
                record_call_result(&node, kind, None);
                apply_listing(&node, kind, &listing);
                if freshness == Freshness::Latest {
                    node.confirmations.borrow_mut().record(kind, asked_at);
                    registry::publish_ages(&node);
                }
                let watch = watch_from(&node, kind, &listing);
                if listing.is_complete {
                    watch.await;
                } else {
                    let _listed_again = timeout(INCOMPLETE_LISTING_INTERVAL, watch).await;
                }
                freshness = Freshness::Latest;
            }
            Err(error) => handle_call_failure(&node, kind, &error).await,
        }
    }
}

/// Watches changes of a kind since a listing until its history is gone and it must be listed again.
async fn watch_from(node: &SharedNode, kind: RecordKind, listing: &Listing) {
    let mut revision = listing.revision;
    let mut pause = Duration::ZERO;
    loop {
        let budget = node.record_bounds().budget(kind);
        tokio::time::sleep(std::mem::replace(&mut pause, budget.watch_pause())).await;
        // In a later era the store may count past this revision without the changes before it.
        if revision.era < node.store.era() {
            return;
        }
        let age = node.record_ages().of(kind).unwrap_or_default();
        let max_wait = budget.watch_wait(age);
        let watch_call = node.store.watch(store_kind(kind), revision, max_wait, STORE_CALL_TIMEOUT);
        let asked_at = time_since_boot();
        let watch_result = tokio::select! {
            watch_result = watch_call => watch_result,
            () = node.store_health.wait_for_restart() => continue,
        };
        match watch_result {
            Ok(changes) => {
                record_call_result(node, kind, None);
                apply_changes(node, kind, &changes);
                node.confirmations.borrow_mut().record_watch(
                    kind,
                    asked_at,
                    time_since_boot(),
                    max_wait,
                    !changes.changes.is_empty(),
                );
                revision = changes.revision;
                // Otherwise records that the listing left out would count as removed.
                if listing.is_complete {
                    node.registry.advance(kind, revision);
                }
                registry::publish_ages(node);
            }
            Err(StoreError::HistoryGone) => {
                record_call_result(node, kind, Some(&StoreError::HistoryGone));
                return;
            }
            Err(error) => handle_call_failure(node, kind, &error).await,
        }
    }
}

/// Asks the store for the changes of a kind, over another call than those of the watches, and
/// returns whether it answered.
pub async fn refresh_kind(node: &SharedNode, kind: RecordKind) -> bool {
    let asked_at = time_since_boot();
    let revision = node.registry.revision(kind);
    let changes = if revision.is_unknown() {
        Err(StoreError::HistoryGone)
    } else {
        let no_wait = Duration::ZERO;
        node.store.watch(store_kind(kind), revision, no_wait, refresh::STORE_CALL_TIMEOUT).await
    };
    let result = match changes {
        Ok(changes) => {
            apply_changes(node, kind, &changes);
            node.registry.advance(kind, changes.revision);
            Ok(())
        }
        Err(StoreError::HistoryGone) => {
            let listing = list_records(node, kind, Freshness::Latest, refresh::STORE_CALL_TIMEOUT);
            listing.await.map(|listing| apply_listing(node, kind, &listing))
        }
        Err(error) => Err(error),
    };
    record_call_result(node, kind, result.as_ref().err());
    match result {
        Ok(()) => {
            node.confirmations.borrow_mut().record(kind, asked_at);
            registry::publish_ages(node);
            true
        }
        Err(error) => {
            if matches!(error, StoreError::NoAnswer) {
                node.store.close_idle();
            }
            false
        }
    }
}

/// Applies the changes that a watch reported. A record that was removed and created again is not
/// removed, since its newer state may have arrived over another path.
fn apply_changes(node: &SharedNode, kind: RecordKind, changes: &Changes) {
    log_unreadable(node, kind, &changes.unreadable);
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
    while kind != RecordKind::Upstreams && node.store_health.consecutive_failures() > 0 {
        tokio::time::sleep(RECOVERY_CHECK_INTERVAL).await;
    }
}

/// Records a failed call and waits for the backoff.
async fn record_call_failure(node: &Node, kind: RecordKind, error: &StoreError) {
    record_call_result(node, kind, Some(error));
    if matches!(error, StoreError::NoAnswer) && kind == RecordKind::Upstreams {
        node.store.close_idle();
        node.store_health.restart_watches();
    }
    tokio::time::sleep(backoff(node.store_health.consecutive_failures())).await;
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
    if is_unavailable {
        node.store_health.record_failure();
    } else {
        node.store_health.record_answer(node.now());
    }
    if kind != RecordKind::Upstreams {
        return;
    }
    if !is_unavailable {
        registry::record_store_answer(node);
    }
    if !node.store_health.record_availability(!is_unavailable) {
        return;
    }
    let kind = store_kind(kind);
    node.events.important(&Event::Store { kind, answers: !is_unavailable, reason: &reason });
}

fn log_unreadable(node: &SharedNode, kind: RecordKind, unreadable: &[UnreadableObject]) {
    for UnreadableObject { name, reason } in unreadable {
        bad_records::log(node, kind, name.as_deref().unwrap_or_default(), reason.clone());
    }
}

fn apply_listing(node: &SharedNode, kind: RecordKind, listing: &Listing) {
    log_unreadable(node, kind, &listing.unreadable);
    let names: Vec<String> = listing.objects.iter().map(|object| object.name.clone()).collect();
    for object in &listing.objects {
        registry::apply_stored_record(node, kind, object);
    }
    if listing.is_complete {
        registry::apply_complete_listing(node, kind, &names, listing.revision);
    } else {
        registry::record_incomplete_listing(node, kind, listing.revision);
    }
}
