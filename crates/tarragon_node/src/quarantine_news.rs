//! Spreads quarantine records to the other hosts, and stores those with several crashes.
//!
//! A changed record is sent to a few random hosts, which pass it on when it is new to them. Hosts
//! compare their records with each heartbeat exchange, so that a missed message is made up for. The
//! store keeps records in a fixed number of objects, from which a fleet that restarts at
//! once reads them.

use crate::{
    events::Event,
    node::{Node, SharedNode},
};
use rail_member::HostHeartbeat;
use rail_peer::{PeerReply, PeerRequest, QuarantineExchange};
use rail_request::{Fingerprint, QuarantineRecord, RecordNews, TableChange};
use rail_site::{Freshness, StoreError, StoredObject};
use rand::seq::{IteratorRandom, SliceRandom};
use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{sync::Notify, time::timeout};

/// Kind of the store's records of requests that crashed several upstreams.
const STORE_KIND: &str = "rail-quarantine";
/// Objects of that kind; a newer record replaces an older one with the same slot.
const STORE_SLOTS: u8 = 64;
/// Mean time between writes to the store under a flood.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// Writes that may follow each other at once.
const STORE_BURST: u32 = 4;
/// Longest pause between attempts while the store does not answer.
const MAX_STORE_PAUSE: Duration = Duration::from_secs(10);
/// Timeout of a store call.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts to read the records at the start; later the other hosts tell them.
const MAX_READ_ATTEMPTS: u32 = 5;
/// Records that wait to be stored; under a flood the oldest are dropped.
const MAX_STORE_QUEUE: usize = 32;
/// Records that wait to be sent; under a flood the oldest are dropped.
const MAX_NEWS_QUEUE: usize = 256;
/// Most records in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 16;
/// Hosts that are sent each new record.
const NEWS_FANOUT: usize = 3;
/// Shortest time between two messages of new records.
const NEWS_INTERVAL: Duration = Duration::from_millis(600);
/// Timeout of an exchange with another host.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Records that other hosts and the store must learn.
#[derive(Debug, Default)]
pub struct NewsQueue {
    to_send: RefCell<VecDeque<Fingerprint>>,
    to_store: RefCell<VecDeque<Fingerprint>>,
    is_sending_due: Notify,
    is_storing_due: Notify,
}

impl NewsQueue {
    /// Queues a changed record for other hosts.
    pub fn spread(&self, fingerprint: Fingerprint) {
        push_bounded(&self.to_send, fingerprint, MAX_NEWS_QUEUE);
        self.is_sending_due.notify_one();
    }

    /// Queues a record for the store.
    pub fn store(&self, fingerprint: Fingerprint) {
        push_bounded(&self.to_store, fingerprint, MAX_STORE_QUEUE);
        self.is_storing_due.notify_one();
    }
}

fn push_bounded(queue: &RefCell<VecDeque<Fingerprint>>, fingerprint: Fingerprint, max: usize) {
    let mut queue = queue.borrow_mut();
    if queue.contains(&fingerprint) {
        return;
    }
    if queue.len() >= max {
        queue.pop_front();
    }
    queue.push_back(fingerprint);
}

/// Time on the clock of the records at the start of the process. It exceeds the age of every record
/// that hosts keep, so that older records have a time too.
const CLOCK_START: Duration = Duration::from_secs(48 * 3600);

/// Returns the time on the clock of the records.
pub fn now_ms(node: &Node) -> u64 {
    (CLOCK_START + node.now()).as_millis() as u64
}

/// Spawns the tasks that send and store records.
pub fn spawn(node: &SharedNode) {
    actix_rt::spawn(send_news(Rc::clone(node)));
    actix_rt::spawn(read_stored(Rc::clone(node)));
    actix_rt::spawn(write_stored(Rc::clone(node)));
}

/// Merges records of another host and passes on those that are new here. Returns the records of
/// which this host knows a newer state.
pub fn merge_news(node: &SharedNode, news: Vec<RecordNews>) -> Vec<RecordNews> {
    let (changed, newer_here) = merge(node, news);
    for fingerprint in changed {
        node.quarantine.news.spread(fingerprint);
    }
    newer_here
}

/// Merges records. Returns which have changed, and the records of which this host knows a newer
/// state.
fn merge(node: &SharedNode, news: Vec<RecordNews>) -> (Vec<Fingerprint>, Vec<RecordNews>) {
    let now_ms = now_ms(node);
    let (mut changed, mut outdated) = (Vec::new(), Vec::new());
    for record in news {
        let fingerprint = Fingerprint::from(record.fingerprint);
        let change = node.quarantine.table.borrow_mut().merge(record, now_ms);
        log_change(node, fingerprint, change);
        match change {
            TableChange::Unchanged => {}
            TableChange::Outdated => outdated.push(fingerprint),
            TableChange::Changed | TableChange::Quarantined => changed.push(fingerprint),
            TableChange::Refuted => {
                outdated.push(fingerprint);
                changed.push(fingerprint);
            }
        }
    }
    let newer_here = node.quarantine.table.borrow().news(outdated, now_ms);
    (changed, newer_here)
}

/// Answers an exchange of another host with the records that it lacks.
pub fn serve(node: &SharedNode, exchange: QuarantineExchange) -> Vec<RecordNews> {
    let mut lacking = merge_news(node, exchange.news);
    let table = node.quarantine.table.borrow();
    if exchange.digest.is_some_and(|digest| digest != table.digest()) {
        lacking.extend(some_records(node));
    }
    lacking.truncate(MAX_RECORDS_PER_MESSAGE);
    lacking
}

/// Returns records for one message. If they are too many, half are those with the most
/// crashes or the newest and the others random, so that later messages bring the rest.
fn some_records(node: &SharedNode) -> Vec<RecordNews> {
    let table = node.quarantine.table.borrow();
    let mut fingerprints = table.fingerprints();
    if fingerprints.len() > MAX_RECORDS_PER_MESSAGE {
        let rest = &mut fingerprints[MAX_RECORDS_PER_MESSAGE / 2..];
        rest.shuffle(&mut rand::rng());
        fingerprints.truncate(MAX_RECORDS_PER_MESSAGE);
    }
    table.news(fingerprints, now_ms(node))
}

/// Compares the records with those of another host, in both directions.
pub async fn exchange_with(node: &SharedNode, peer: SocketAddr) {
    let digest = Some(node.quarantine.table.borrow().digest());
    let lacking = exchange(node, peer, QuarantineExchange { news: Vec::new(), digest }).await;
    // Every host compares its records, so what is new here need not be passed on.
    let (_changed, newer_here) = merge(node, lacking.unwrap_or_default());
    if !newer_here.is_empty() {
        exchange(node, peer, QuarantineExchange { news: newer_here, digest: None }).await;
    }
}

/// Sends one record to a host.
pub async fn send_record(node: &SharedNode, peer: SocketAddr, fingerprint: Fingerprint) {
    let news = node.quarantine.table.borrow().news([fingerprint], now_ms(node));
    exchange(node, peer, QuarantineExchange { news, digest: None }).await;
}

async fn exchange(
    node: &SharedNode,
    peer: SocketAddr,
    message: QuarantineExchange,
) -> Option<Vec<RecordNews>> {
    let mesh = node.peers.mesh()?;
    let exchange = async {
        let mut replies = mesh.call(peer, &PeerRequest::Quarantine(message)).await.ok()?;
        match replies.next().await {
            Ok(Some(PeerReply::Quarantine(records))) => Some(records),
            _ => None,
        }
    };
    timeout(EXCHANGE_TIMEOUT, exchange).await.ok().flatten()
}

/// Sends queued records to random hosts, at a bounded rate.
async fn send_news(node: SharedNode) {
    let queue = &node.quarantine.news;
    loop {
        queue.is_sending_due.notified().await;
        let news = take_news(&node);
        if news.is_empty() {
            continue;
        }
        for peer in random_peers(&node) {
            let (node, news) = (Rc::clone(&node), news.clone());
            actix_rt::spawn(async move {
                let newer = exchange(&node, peer, QuarantineExchange { news, digest: None }).await;
                merge_news(&node, newer.unwrap_or_default());
            });
        }
        tokio::time::sleep(NEWS_INTERVAL).await;
        if !queue.to_send.borrow().is_empty() {
            queue.is_sending_due.notify_one();
        }
    }
}

/// Takes the queued records with the most crashes.
fn take_news(node: &SharedNode) -> Vec<RecordNews> {
    let table = node.quarantine.table.borrow();
    let mut queue = node.quarantine.news.to_send.borrow_mut();
    // A part of prompts concerns more requests than one of them.
    let weight = |fingerprint: &Fingerprint| table.find(*fingerprint).map(|r| (r.crashes, r.kind));
    queue.make_contiguous().sort_by_key(|fingerprint| std::cmp::Reverse(weight(fingerprint)));
    let count = queue.len().min(MAX_RECORDS_PER_MESSAGE);
    let fingerprints: Vec<Fingerprint> = queue.drain(..count).collect();
    table.news(fingerprints, now_ms(node))
}

fn random_peers(node: &SharedNode) -> Vec<SocketAddr> {
    let hosts = node.hosts.borrow();
    let is_other = |heartbeat: &&HostHeartbeat| heartbeat.host != node.settings.host;
    let others = hosts.live(node.now()).filter(is_other);
    others.map(|heartbeat| heartbeat.peer_address).choose_multiple(&mut rand::rng(), NEWS_FANOUT)
}

/// Reads the stored records once after the start.
async fn read_stored(node: SharedNode) {
    for attempt in 1..=MAX_READ_ATTEMPTS {
        let listing = node.store.list(STORE_KIND, Freshness::MayBeStale, STORE_CALL_TIMEOUT).await;
        match listing {
            Ok(listing) => {
                let records = listing.objects.into_iter().filter_map(decode);
                merge_news(&node, records.collect());
                return;
            }
            Err(error) if error.is_answer() => return,
            Err(_unavailable) => tokio::time::sleep(store_pause(attempt)).await,
        }
    }
}

fn store_pause(failures: u32) -> Duration {
    (STORE_INTERVAL * 2_u32.saturating_pow(failures)).min(MAX_STORE_PAUSE)
}

/// Writes queued records to the store, at a bounded rate.
async fn write_stored(node: SharedNode) {
    let queue = &node.quarantine.news;
    let mut failures = 0;
    let mut paced_until = Duration::ZERO;
    loop {
        let next = queue.to_store.borrow_mut().pop_front();
        let Some(fingerprint) = next else {
            queue.is_storing_due.notified().await;
            continue;
        };
        paced_until = paced_until.max(node.now()) + STORE_INTERVAL;
        let burst_end = node.now() + STORE_INTERVAL * STORE_BURST;
        tokio::time::sleep(paced_until.saturating_sub(burst_end)).await;
        match write_record(&node, fingerprint).await {
            Ok(()) => failures = 0,
            Err(error) => {
                node.metrics.store_calls.count(&error.to_string());
                failures += 1;
                queue.store(fingerprint);
                tokio::time::sleep(store_pause(failures)).await;
            }
        }
    }
}

/// Writes a record to its slot, over an older record there.
async fn write_record(node: &SharedNode, fingerprint: Fingerprint) -> Result<(), StoreError> {
    let Some(value) = encode(node, fingerprint) else { return Ok(()) };
    let bytes: [u8; 16] = fingerprint.into();
    let name = format!("slot-{}", bytes[0] % STORE_SLOTS);
    match node.store.create(STORE_KIND, &name, value.clone(), STORE_CALL_TIMEOUT).await {
        Ok(_) => Ok(()),
        Err(StoreError::Conflict(Some(object))) => {
            let object = StoredObject { value, ..*object };
            node.store.replace(STORE_KIND, object, STORE_CALL_TIMEOUT).await.map(drop)
        }
        Err(error) => Err(error),
    }
}

/// Returns a record as it is stored: its time is the time of day, since it outlives the process.
fn encode(node: &SharedNode, fingerprint: Fingerprint) -> Option<serde_json::Value> {
    let table = node.quarantine.table.borrow();
    let record = table.find(fingerprint)?;
    let age_ms = now_ms(node).saturating_sub(record.changed_at_ms);
    let changed_at_ms = unix_ms().saturating_sub(age_ms);
    let stored = QuarantineRecord { changed_at_ms, trial: None, ..record.clone() };
    serde_json::to_value(stored).ok()
}

fn decode(object: StoredObject) -> Option<RecordNews> {
    let record = serde_json::from_value::<QuarantineRecord>(object.value).ok()?;
    Some(RecordNews {
        fingerprint: record.fingerprint.into(),
        kind: record.kind,
        crashes: record.crashes,
        clearances: record.clearances,
        age_ms: unix_ms().saturating_sub(record.changed_at_ms),
        ends: record.ends,
    })
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Counts and logs a changed record and wakes waiting calls.
pub fn log_change(node: &Node, fingerprint: Fingerprint, change: TableChange) {
    match change {
        TableChange::Unchanged | TableChange::Outdated => return,
        TableChange::Changed => node.metrics.quarantine.count("recorded"),
        TableChange::Refuted => node.metrics.quarantine.count("refuted"),
        TableChange::Quarantined => {
            node.metrics.quarantine.count("quarantined");
            let table = node.quarantine.table.borrow();
            if let Some(record) = table.find(fingerprint) {
                let (key, ends) = (record.kind.name(), record.ends.as_slice());
                node.events.important(&Event::Quarantined { key, fingerprint, ends });
            }
        }
    }
    node.quarantine.wake();
}
