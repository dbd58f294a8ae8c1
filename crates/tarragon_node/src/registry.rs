//! Applies records of the store to the state of the process and publishes them to followers.

use crate::{
    bad_records,
    events::Event,
    node::{Node, OwnerRecord, Ownership, SharedNode},
    store_return, stream_origins,
};
use rail_member::{
    Confirmations, DeferredRemovals, RecordText, outage,
    replica::{PutOutcome, Record, RecordKind, Replica},
};
use rail_peer::FeedItem;
use rail_revision::Revision;
use rail_route::{RouteTable, UpstreamState};
use rail_runtime::time_since_boot;
use rail_site::{
    StoredObject, decode_announcement, decode_route_table, decode_upstream,
    records::{CONFIG_KIND, CONFIG_NAME, UPSTREAM_KIND, VERSION_KIND, stable_upstream_fields},
};
use serde_json::Value;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::mpsc;

/// Kind of the store's records that name the owners of engines.
pub const OWNER_KIND: &str = "rail-owners";
/// Time after a store outage within which upstreams may renew records that expired during the
/// outage. Until then their removal is not applied.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(1900);
/// Changes queued for a slow follower before its feed is dropped.
const MAX_QUEUED_CHANGES: usize = 512;

/// Returns the name of a record kind in the store.
pub fn store_kind(kind: RecordKind) -> &'static str {
    match kind {
        RecordKind::Config => CONFIG_KIND,
        RecordKind::Upstreams => UPSTREAM_KIND,
        RecordKind::Versions => VERSION_KIND,
        RecordKind::Owners => OWNER_KIND,
    }
}

/// Replica of the store's records on this host, and the feeds of hosts that follow it.
#[derive(Debug, Default)]
pub struct Registry {
    replicas: RefCell<BTreeMap<RecordKind, Replica>>,
    followers: RefCell<Vec<mpsc::Sender<FeedItem>>>,
    /// Upstreams whose removal is deferred by [`REREGISTRATION_GRACE`].
    possibly_expired: RefCell<DeferredRemovals>,
    /// End of the last store outage; zero if there was none.
    store_recovered_at: Cell<Duration>,
    /// Whether an incomplete listing named upstreams.
    has_incomplete_upstreams: Cell<bool>,
    /// Record of the applied configuration.
    applied_config: RefCell<Option<(Revision, RecordText)>>,
}

impl Registry {
    /// Returns an item with the ages of records at a time of the boot clock, which confirms the items
    /// sent before it.
    pub fn ages_item(&self, confirmations: &Confirmations, at: Duration) -> FeedItem {
        let revisions = RecordKind::ALL.map(|kind| self.revision(kind));
        let record_ages = confirmations.ages(at);
        FeedItem::Alive { revisions, record_ages, at_ms: at.as_millis() as u64 }
    }

    /// Returns an item that tells of the store's return, while removals are deferred for it.
    fn recovery_item(&self, now: Duration) -> Option<FeedItem> {
        let recovered_at = self.store_recovered_at.get();
        let ago = now.saturating_sub(recovered_at);
        let is_recent = !recovered_at.is_zero() && ago < REREGISTRATION_GRACE;
        is_recent.then_some(FeedItem::StoreRecovered { ago_ms: ago.as_millis() as u32 })
    }

    /// Returns the records that changed after these revisions, one for each kind, and what a host
    /// needs to know to remove upstreams and owners that are gone. Announced versions stay.
    pub fn changes_since(&self, revisions: &[Revision; 4], now: Duration) -> Vec<FeedItem> {
        let replicas = self.replicas.borrow();
        let mut items = Vec::from_iter(self.recovery_item(now));
        for (kind, replica) in replicas.iter() {
            let since = revisions[*kind as usize];
            let changed = replica.iter().filter(|(_, record)| record.revision > since);
            items.extend(changed.map(|(name, record)| FeedItem::Put {
                kind: *kind,
                name: name.clone(),
                revision: record.revision,
                text: record.text.clone(),
            }));
        }
        for kind in [RecordKind::Upstreams, RecordKind::Owners] {
            let Some(replica) = replicas.get(&kind) else { continue };
            let names = replica.iter().map(|(name, _)| name.clone()).collect();
            items.push(FeedItem::Complete { kind, names, revision: replica.revision() });
        }
        items
    }

    /// Returns the revision up to which records of a kind are known.
    pub fn revision(&self, kind: RecordKind) -> Revision {
        self.replicas.borrow().get(&kind).map(Replica::revision).unwrap_or_default()
    }

    /// Returns whether the upstreams are known, as far as they can be read.
    pub fn knows_upstreams(&self) -> bool {
        let is_known = !self.revision(RecordKind::Upstreams).is_unknown();
        is_known || self.has_incomplete_upstreams.get()
    }

    /// Records that every change of a kind up to a revision is known.
    pub fn advance(&self, kind: RecordKind, revision: Revision) {
        self.replicas.borrow_mut().entry(kind).or_default().advance(revision);
    }

    /// Returns every record, and a channel that delivers the changes after them.
    pub fn subscribe(&self, now: Duration) -> (Vec<FeedItem>, mpsc::Receiver<FeedItem>) {
        let mut items = Vec::from_iter(self.recovery_item(now));
        for (kind, replica) in self.replicas.borrow().iter() {
            items.extend(replica.iter().map(|(name, record)| FeedItem::Put {
                kind: *kind,
                name: name.clone(),
                revision: record.revision,
                text: record.text.clone(),
            }));
            let names = replica.iter().map(|(name, _)| name.clone()).collect();
            items.push(FeedItem::Complete { kind: *kind, names, revision: replica.revision() });
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHANGES);
        self.followers.borrow_mut().push(sender);
        (items, receiver)
    }

    /// Returns the record of the applied configuration. After the store returned from an older copy,
    /// the replica may contain an older one.
    pub fn applied_config(&self) -> Option<FeedItem> {
        let (kind, name) = (RecordKind::Config, CONFIG_NAME.to_owned());
        let (revision, text) = self.applied_config.borrow().clone()?;
        Some(FeedItem::Put { kind, name, revision, text })
    }

    /// Returns the number of hosts that follow this one.
    pub fn follower_count(&self) -> usize {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|follower| !follower.is_closed());
        followers.len()
    }

    fn publish(&self, item: &FeedItem) {
        // A follower with a full queue is dropped and starts again from another source.
        self.followers.borrow_mut().retain(|follower| follower.try_send(item.clone()).is_ok());
    }
}

/// Tells followers how old the records are, and wakes tasks that wait for recent ones.
pub fn publish_ages(node: &Node) {
    node.records_confirmed.notify_waiters();
    node.registry.publish(&node.ages_item());
}

/// Records that the store has answered this host, which may show that it was away for all hosts.
pub fn record_store_answer(node: &Node) {
    let budget = node.record_bounds().budget(RecordKind::Upstreams);
    let running = node.running_time.get().at(time_since_boot());
    if outage::ends_outage(&budget, &node.record_ages(), running) {
        record_store_recovery(node, Duration::ZERO);
    }
}

/// Records that another host told of the end of an outage some time ago.
pub fn record_told_recovery(node: &Node, ago: Duration) {
    let budget = node.record_bounds().budget(RecordKind::Upstreams);
    if outage::believes_outage(&budget, &node.record_ages()) {
        record_store_recovery(node, ago);
    }
}

/// Records that the store first answered some time ago after it was unavailable to all hosts.
pub fn record_store_recovery(node: &Node, ago: Duration) {
    let recovered_at = node.now().saturating_sub(ago);
    if recovered_at > node.registry.store_recovered_at.get() {
        node.registry.store_recovered_at.set(recovered_at);
        node.registry.publish(&FeedItem::StoreRecovered { ago_ms: ago.as_millis() as u32 });
    }
}

/// Applies a record read from the store.
pub fn apply_stored_record(node: &SharedNode, kind: RecordKind, object: &StoredObject) {
    let StoredObject { name, revision, value } = object;
    let shared = match kind {
        RecordKind::Upstreams => stable_upstream_fields(value).to_string(),
        RecordKind::Config | RecordKind::Versions | RecordKind::Owners => value.to_string(),
    };
    let text = RecordText::pack(&shared);
    if merge_text(node, kind, name, *revision, text.clone()) == PutOutcome::Stale {
        return;
    }
    // Apply the record as read, since the shared text omits the counters and resident adapters.
    apply_value(node, kind, name, *revision, value, text);
}

/// Applies a record received from another host.
pub fn apply_fed_record(
    node: &SharedNode,
    kind: RecordKind,
    name: &str,
    revision: Revision,
    text: RecordText,
) {
    let put_outcome = merge_text(node, kind, name, revision, text.clone());
    if !matches!(put_outcome, PutOutcome::Changed | PutOutcome::UnchangedInNewEra) {
        return;
    }
    apply_text(node, kind, name, revision, text);
}

fn apply_text(
    node: &SharedNode,
    kind: RecordKind,
    name: &str,
    revision: Revision,
    text: RecordText,
) {
    match decode_text(text.clone()) {
        Ok(value) => apply_value(node, kind, name, revision, &value, text),
        Err(reason) => bad_records::log(node, kind, name, reason),
    }
}

/// Applies a configuration that another host has applied, if its version is newer. Its record is not
/// kept if it is of an earlier era: a version that was confirmed stays in force until a newer one
/// comes, although the store has lost it.
pub fn apply_fetched_config(node: &SharedNode, name: &str, revision: Revision, text: RecordText) {
    merge_text(node, RecordKind::Config, name, revision, text.clone());
    apply_text(node, RecordKind::Config, name, revision, text);
}

fn decode_text(text: RecordText) -> Result<Value, String> {
    let text = text.unpack().map_err(|error| error.to_string())?;
    serde_json::from_str::<Value>(&text).map_err(|error| error.to_string())
}

/// Stores the text of a record in the replica, and publishes it if its content changed.
fn merge_text(
    node: &SharedNode,
    kind: RecordKind,
    name: &str,
    revision: Revision,
    text: RecordText,
) -> PutOutcome {
    store_return::record_era(node, revision.era);
    let registry = &node.registry;
    let put_outcome = {
        let mut replicas = registry.replicas.borrow_mut();
        replicas.entry(kind).or_default().put(name, revision, text.clone())
    };
    node.metrics.records.count(put_outcome.name());
    // The record of an engine's owner has the name of the engine.
    if kind == RecordKind::Upstreams && put_outcome != PutOutcome::Stale {
        registry.possibly_expired.borrow_mut().cancel(name, revision);
    }
    // Followers must not keep the revision of an earlier era.
    if matches!(put_outcome, PutOutcome::Changed | PutOutcome::UnchangedInNewEra) {
        let name = name.to_owned();
        registry.publish(&FeedItem::Put { kind, name, revision, text });
    }
    put_outcome
}

/// Applies a decoded record, logs it if it is invalid, and wakes waiting tasks.
fn apply_value(
    node: &SharedNode,
    kind: RecordKind,
    name: &str,
    revision: Revision,
    value: &Value,
    text: RecordText,
) {
    let version_before = node.config_version();
    if let Err(reason) = apply_change(node, kind, name, revision, value) {
        bad_records::log(node, kind, name, reason);
    }
    if node.config_version() != version_before {
        *node.registry.applied_config.borrow_mut() = Some((revision, text));
    }
    node.records_changed.notify_waiters();
}

/// Applies the removal of a record that was gone at a revision of the store. After a store outage, the
/// removal of an upstream is deferred by [`REREGISTRATION_GRACE`], since its record may only have
/// expired during the outage.
pub fn remove_record(node: &SharedNode, kind: RecordKind, name: &str, revision: Revision) {
    let store_recovered_at = node.registry.store_recovered_at.get();
    let (now, due_at) = (node.now(), store_recovered_at + REREGISTRATION_GRACE);
    if kind != RecordKind::Upstreams || store_recovered_at.is_zero() || now >= due_at {
        return delete_record(node, kind, name, revision);
    }
    node.registry.possibly_expired.borrow_mut().defer(name, revision, due_at);
    let (node, name) = (Rc::clone(node), name.to_owned());
    actix_rt::spawn(async move {
        tokio::time::sleep(due_at.saturating_sub(now)).await;
        let removal = node.registry.possibly_expired.borrow_mut().take_due(&name, node.now());
        if let Some(gone_at) = removal {
            delete_record(&node, kind, &name, gone_at);
        }
    });
}

/// Records that a listing as of a revision leaves out objects which can't be read: it doesn't tell which
/// records are gone.
pub fn record_incomplete_listing(node: &SharedNode, kind: RecordKind, revision: Revision) {
    store_return::record_era(node, revision.era);
    if kind == RecordKind::Upstreams {
        node.registry.has_incomplete_upstreams.set(true);
    }
    node.events.important(&Event::ListingIncomplete { kind: store_kind(kind), revision });
}

/// Removes all records of a kind that are not in `names`, the complete list as of a revision.
pub fn apply_complete_listing(
    node: &SharedNode,
    kind: RecordKind,
    names: &[String],
    revision: Revision,
) {
    store_return::record_era(node, revision.era);
    let is_new_era = revision.era > node.registry.revision(kind).era;
    let unlisted = {
        let mut replicas = node.registry.replicas.borrow_mut();
        let replica = replicas.entry(kind).or_default();
        if revision < replica.revision() {
            let (kind, known) = (store_kind(kind), replica.revision());
            node.events.important(&Event::ListingOutdated { kind, revision, known });
        }
        let known_records: Vec<(String, Record)> =
            replica.iter().map(|(name, record)| (name.clone(), record.clone())).collect();
        let unlisted = replica.remove_unlisted(names, revision);
        // Restore the records, so that `remove_record` decides whether each is deleted now or
        // later.
        for (name, record) in known_records {
            if unlisted.contains(&name) {
                replica.restore(name, record);
            }
        }
        unlisted
    };
    for name in unlisted {
        remove_record(node, kind, &name, revision);
    }
    if is_new_era {
        let names = names.to_vec();
        node.registry.publish(&FeedItem::Complete { kind, names, revision });
    }
}

fn delete_record(node: &SharedNode, kind: RecordKind, name: &str, revision: Revision) {
    let was_known =
        node.registry.replicas.borrow_mut().entry(kind).or_default().remove(name, revision);
    if !was_known {
        return;
    }
    node.registry.publish(&FeedItem::Removed { kind, name: name.to_owned(), revision });
    match kind {
        RecordKind::Config | RecordKind::Versions => {}
        RecordKind::Owners => {
            node.owners.borrow_mut().remove(name);
        }
        RecordKind::Upstreams => delete_upstream(node, name),
    }
    node.records_changed.notify_waiters();
}

fn delete_upstream(node: &SharedNode, name: &str) {
    let removed = node.upstreams.borrow_mut().remove(name);
    if let Some(upstream) = removed {
        node.events.important(&Event::Upstream {
            upstream: name,
            service: &upstream.service,
            state: "gone",
            revision: Revision::default(),
        });
    }
}

fn apply_change(
    node: &SharedNode,
    kind: RecordKind,
    name: &str,
    revision: Revision,
    value: &Value,
) -> Result<(), String> {
    match kind {
        RecordKind::Config if name == CONFIG_NAME => {
            let table = decode_route_table(value).map_err(|error| error.to_string())?;
            log_workspace_faults(node, &table);
            apply_routes(node, table);
        }
        RecordKind::Config => {}
        RecordKind::Upstreams => {
            // A record that can't be used names no upstream, whatever it named before.
            apply_upstream(node, name, revision, value)
                .inspect_err(|_reason| delete_upstream(node, name))?;
        }
        RecordKind::Versions => {
            let announced = decode_announcement(value).map_err(|error| error.to_string())?;
            apply_version(node, &announced.0, announced.1);
        }
        RecordKind::Owners => {
            let record = serde_json::from_value::<OwnerRecord>(value.clone());
            merge_owner(node, name, record.map_err(|error| error.to_string())?, revision);
        }
    }
    Ok(())
}

/// Logs workspaces of a configuration that can't be used.
fn log_workspace_faults(node: &Node, table: &RouteTable) {
    let faults = table.workspaces.iter().flat_map(|workspaces| workspaces.faults());
    for fault in faults {
        bad_records::log(node, RecordKind::Config, &fault.workspace, fault.error.to_string());
    }
}

/// Applies a configuration unless one with the same or a later version is applied.
fn apply_routes(node: &SharedNode, table: RouteTable) {
    let before = node.config_version();
    if table.version <= before {
        return;
    }
    let (version, routes) = (table.version, table.routes().count());
    node.metrics.config_version.set(version as i64);
    node.events.important(&Event::Config { version, before, routes });
    *node.routes.borrow_mut() = Some(Arc::new(table));
}

fn apply_upstream(
    node: &SharedNode,
    name: &str,
    revision: Revision,
    value: &Value,
) -> Result<(), String> {
    let mut upstream = decode_upstream(name, value).map_err(|error| error.to_string())?;
    upstream.state = node.drained_upstreams.lasting_state(&upstream, revision.era);
    let mut upstreams = node.upstreams.borrow_mut();
    let before = upstreams.find(&upstream.id).map(|before| before.state);
    if before != Some(upstream.state) {
        node.events.important(&Event::Upstream {
            upstream: &upstream.id,
            service: &upstream.service,
            state: state_name(upstream.state),
            revision,
        });
    }
    let is_restart = upstreams.iter().any(|known| {
        (known.id == upstream.id) != (known.address == upstream.address)
            || (known.id == upstream.id && known.started_unix_ms != upstream.started_unix_ms)
    });
    stream_origins::observe_upstream(node, &upstream);
    upstreams.insert(upstream);
    drop(upstreams);
    if is_restart {
        node.upstream_ends.record_restart();
    }
    Ok(())
}

fn apply_version(node: &SharedNode, adapter: &str, version: u64) {
    let age = node.record_ages().of(RecordKind::Versions);
    // Before the versions were last confirmed, this one was not announced.
    let announced_after = age.map(|age| time_since_boot().saturating_sub(age));
    if node.versions.borrow_mut().record(adapter, version, announced_after) {
        node.engines.announce_version(node, adapter, version, announced_after);
        let announced_within_ms = age.map(|age| age.as_millis() as u64);
        node.events.important(&Event::Version { adapter, version, announced_within_ms });
    }
}

/// Applies an owner record unless one with the same or a later revision is known.
pub fn merge_owner(node: &SharedNode, engine: &str, record: OwnerRecord, revision: Revision) {
    let mut owners = node.owners.borrow_mut();
    let known = owners.get(engine);
    if known.is_some_and(|known| known.revision >= revision) {
        return;
    }
    let is_other = |known: &Ownership| {
        (&known.record.host, known.record.epoch) != (&record.host, record.epoch)
    };
    let has_predecessor = known.is_some_and(|known| known.has_predecessor || is_other(known));
    node.peers.record_seen(&record.host);
    node.events.important(&Event::Owner {
        engine,
        host: &record.host,
        epoch: record.epoch,
        fence: revision.fence(),
    });
    owners.insert(engine.to_owned(), Ownership { record, revision, has_predecessor });
    node.records_changed.notify_waiters();
}

fn state_name(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Ready => "ready",
        UpstreamState::Draining => "draining",
    }
}
