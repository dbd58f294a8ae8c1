//! Follows the accepted configuration and applies each newer generation.

use crate::{
    client::PlatformClient,
    error::{Error, Result},
    object::{Object, ObjectKind},
    watch::WatchCache,
};
use rail_config::{Fleet, Generation, Head, segment::matches_content};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};
use tokio::sync::watch;

/// Name of the object that contains the head of the accepted configuration.
pub const HEAD_NAME: &str = "config-head";
/// Delay before a generation that could not be read is read again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Applies the newest generation of the configuration; clones share the state.
#[derive(Debug, Clone)]
pub struct ConfigFollower {
    client: PlatformClient,
    heads: WatchCache,
    state: Rc<RefCell<State>>,
    changes: watch::Sender<Generation>,
    /// Cached result of [`Self::newest_generation`], with the revision of `heads` that it belongs
    /// to.
    newest_cache: Rc<Cell<Option<(u64, Generation)>>>,
}

#[derive(Debug, Default)]
struct State {
    accepted: Rc<Fleet>,
    /// The accepted generation, with upstreams marked as leaving by the host list.
    applied: Rc<Fleet>,
    head: Head,
    segments: BTreeMap<String, Rc<str>>,
    /// Addresses that the host list marks as leaving.
    leaving: BTreeSet<IpAddr>,
    /// Whether the configuration was read from the platform or a peer at least once.
    confirmed: bool,
}

/// A generation in its stored form, as sent to a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Head of the generation.
    pub head: Head,
    /// Text, by name, of each segment that the receiver lacks.
    pub segments: BTreeMap<String, String>,
}

impl ConfigFollower {
    /// Spawns a task on the current actix thread that applies each newer generation.
    pub fn spawn(client: PlatformClient) -> Self {
        let heads = WatchCache::spawn(client.clone(), ObjectKind::ConfigHead);
        let changes = watch::Sender::new(0);
        let (state, newest_cache) = (Rc::default(), Rc::default());
        let follower = Self { client, heads, state, changes, newest_cache };
        let task_follower = follower.clone();
        actix_rt::spawn(async move {
            let mut changes = task_follower.heads.subscribe();
            loop {
                match task_follower.apply_head().await {
                    Ok(()) => {
                        if changes.changed().await.is_err() {
                            return;
                        }
                    }
                    Err(error) => {
                        log::debug!("accepted configuration could not be read, retrying: {error}");
                        actix_rt::time::sleep(RETRY_DELAY).await;
                    }
                }
            }
        });
        follower
    }

    /// Returns the applied generation.
    pub fn applied(&self) -> Rc<Fleet> {
        Rc::clone(&self.state.borrow().applied)
    }

    /// Returns whether the configuration was read from the platform or a peer at least once.
    pub fn is_confirmed(&self) -> bool {
        self.state.borrow().confirmed
    }

    /// Subscribes to the number of the applied generation; the first confirmation counts as a
    /// change.
    pub fn subscribe(&self) -> watch::Receiver<Generation> {
        self.changes.subscribe()
    }

    /// Marks the upstreams at these addresses as leaving, in addition to those that the applied
    /// generation marks.
    pub fn set_leaving(&self, leaving: BTreeSet<IpAddr>) {
        let mut state = self.state.borrow_mut();
        if state.leaving != leaving {
            log::info!("host list marks upstreams as leaving: {leaving:?}");
            state.leaving = leaving;
            state.mark_leaving();
        }
    }

    /// Returns the newest generation in the local copy of the head; 0 when there is none.
    pub fn newest_generation(&self) -> Generation {
        let revision = self.heads.revision();
        if let Some((_, newest)) = self.newest_cache.get().filter(|(seen, _)| *seen == revision) {
            return newest;
        }
        let head = self.heads.find(HEAD_NAME).and_then(|object| parse_head(&object).ok());
        let newest = head.map_or(0, |head| head.generation);
        self.newest_cache.set(Some((revision, newest)));
        newest
    }

    /// Reads the head from the platform and applies its generation if it is newer.
    ///
    /// # Errors
    /// Any failure of the calls.
    pub async fn refresh(&self) -> Result<()> {
        match self.client.get(HEAD_NAME).await {
            Ok(object) => self.apply(parse_head(&object)?).await,
            Err(Error::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Returns the names of the segments of the applied generation.
    pub fn segment_names(&self) -> Vec<String> {
        self.state.borrow().head.segments.clone()
    }

    /// Returns the applied generation if it is newer than `above`, without the segments that the
    /// receiver has.
    pub fn snapshot(&self, above: Generation, known_segments: &[String]) -> Option<Snapshot> {
        let state = self.state.borrow();
        if state.head.generation <= above {
            return None;
        }
        let missing = state.head.segments.iter().filter(|name| !known_segments.contains(name));
        let segments = missing
            .map(|name| Some((name.clone(), state.segments.get(name)?.to_string())))
            .collect::<Option<_>>()?;
        Some(Snapshot { head: state.head.clone(), segments })
    }

    /// Applies a generation received from a peer, if it is newer than the applied one.
    ///
    /// # Errors
    /// [`Error::Unreadable`] when a segment is missing or does not match its name.
    pub fn apply_snapshot(&self, snapshot: Snapshot) -> Result<()> {
        if snapshot.head.generation <= self.applied().generation {
            return Ok(());
        }
        let mut texts = self.state.borrow().segments.clone();
        for (name, text) in snapshot.segments {
            if !matches_content(&name, &text) {
                return Err(Error::Unreadable);
            }
            texts.insert(name, text.into());
        }
        let ordered_texts: Option<Vec<_>> =
            snapshot.head.segments.iter().map(|name| texts.get(name).cloned()).collect();
        let ordered_texts = ordered_texts.ok_or(Error::Unreadable)?;
        self.apply_segments(snapshot.head, &ordered_texts)
    }

    /// Returns the time since the platform last confirmed the head; `None` before the first time.
    pub fn age(&self) -> Option<Duration> {
        self.heads.age()
    }

    /// Reads the accepted generation and its head from the platform, bypassing the local copy.
    ///
    /// Returns the empty generation when the platform has no head.
    ///
    /// # Errors
    /// Any failure of the calls.
    pub async fn read_accepted(&self) -> Result<(Fleet, Option<Object>)> {
        let mut incomplete_version = None;
        loop {
            let object = match self.client.get(HEAD_NAME).await {
                Ok(object) => object,
                Err(Error::NotFound) => return Ok((Fleet::default(), None)),
                Err(error) => return Err(error),
            };
            match self.read_fleet(&parse_head(&object)?).await {
                // The head may have been replaced and its segments deleted since it was read. A
                // segment that is missing for the same head again is an error.
                Err(Error::NotFound) if incomplete_version.as_ref() != Some(&object.version) => {
                    incomplete_version = Some(object.version);
                }
                result => return Ok((result?, Some(object))),
            }
        }
    }

    async fn apply_head(&self) -> Result<()> {
        let Some(object) = self.heads.find(HEAD_NAME) else {
            if self.heads.age().is_some() {
                self.confirm();
            }
            return Ok(());
        };
        self.apply(parse_head(&object)?).await
    }

    async fn apply(&self, head: Head) -> Result<()> {
        if head.generation > self.applied().generation {
            let texts = self.read_segments(&head).await?;
            self.apply_segments(head, &texts)?;
        }
        self.confirm();
        Ok(())
    }

    fn confirm(&self) {
        if !std::mem::replace(&mut self.state.borrow_mut().confirmed, true) {
            self.changes.send_modify(|_generation| {});
        }
    }

    fn apply_segments(&self, head: Head, texts: &[Rc<str>]) -> Result<()> {
        let fleet = Fleet::join(head.generation, texts.iter().map(|text| &**text));
        let fleet = fleet.map_err(segments_unreadable)?;
        let mut state = self.state.borrow_mut();
        // Another task may have applied a newer generation while the segments were read.
        if fleet.generation > state.accepted.generation {
            log::info!("configuration generation {} applied", fleet.generation);
            self.client.set_generation_gauge(fleet.generation);
            let names = head.segments.iter().cloned();
            state.segments = names.zip(texts.iter().cloned()).collect();
            state.head = head;
            state.accepted = Rc::new(fleet);
            state.mark_leaving();
            state.confirmed = true;
            self.changes.send_replace(state.accepted.generation);
        }
        Ok(())
    }

    async fn read_fleet(&self, head: &Head) -> Result<Fleet> {
        let texts = self.read_segments(head).await?;
        Fleet::join(head.generation, texts.iter().map(|text| &**text)).map_err(segments_unreadable)
    }

    async fn read_segments(&self, head: &Head) -> Result<Vec<Rc<str>>> {
        let mut texts = Vec::with_capacity(head.segments.len());
        for name in &head.segments {
            texts.push(self.read_segment(name).await?);
        }
        Ok(texts)
    }

    async fn read_segment(&self, name: &str) -> Result<Rc<str>> {
        if let Some(text) = self.state.borrow().segments.get(name) {
            return Ok(Rc::clone(text));
        }
        let text: Rc<str> = self.client.get(name).await?.value.into();
        self.state.borrow_mut().segments.insert(name.to_owned(), Rc::clone(&text));
        Ok(text)
    }
}

impl State {
    fn mark_leaving(&mut self) {
        let is_leaving = |ip: &IpAddr| self.leaving.contains(ip);
        if !self.accepted.upstreams.values().any(|upstream| is_leaving(&upstream.address.ip())) {
            self.applied = Rc::clone(&self.accepted);
            return;
        }
        let mut marked = (*self.accepted).clone();
        for upstream in marked.upstreams.values_mut() {
            upstream.leaving |= is_leaving(&upstream.address.ip());
        }
        self.applied = Rc::new(marked);
    }
}

/// Decodes a stored head.
///
/// # Errors
/// [`Error::Unreadable`] when the value is not a valid head.
pub fn parse_head(object: &Object) -> Result<Head> {
    serde_json::from_str(&object.value).map_err(|_error| Error::Unreadable)
}

fn segments_unreadable(_error: rail_config::segment::SegmentError) -> Error {
    Error::Unreadable
}
