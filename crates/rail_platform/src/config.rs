//! Follows the accepted configuration.

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

/// Name of the object that holds the head.
pub const HEAD_NAME: &str = "config-head";
/// Pause before a generation that could not be read is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the newest generation in force; clones share it.
#[derive(Debug, Clone)]
pub struct ConfigFollower {
    client: PlatformClient,
    heads: WatchCache,
    state: Rc<RefCell<State>>,
    changes: watch::Sender<Generation>,
    /// Newest generation of the heads, with the revision of their copy that it was read from.
    shown: Rc<Cell<Option<(u64, Generation)>>>,
}

#[derive(Debug, Default)]
struct State {
    accepted: Rc<Fleet>,
    /// The accepted generation with the marks of leaving upstreams.
    applied: Rc<Fleet>,
    head: Head,
    segments: BTreeMap<String, Rc<str>>,
    leaving: BTreeSet<IpAddr>,
    confirmed: bool,
}

/// A generation as stored, to be passed on to a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Root of the generation.
    pub head: Head,
    /// Text of each segment that the receiver lacks, by name.
    pub segments: BTreeMap<String, String>,
}

impl ConfigFollower {
    /// Starts following on the current actix thread.
    pub fn spawn(client: PlatformClient) -> Self {
        let heads = WatchCache::spawn(client.clone(), ObjectKind::ConfigHead);
        let changes = watch::Sender::new(0);
        let (state, shown) = (Rc::default(), Rc::default());
        let follower = Self { client, heads, state, changes, shown };
        let task = follower.clone();
        actix_rt::spawn(async move {
            let mut changes = task.heads.subscribe();
            loop {
                match task.apply_head().await {
                    Ok(()) => {
                        if changes.changed().await.is_err() {
                            return;
                        }
                    }
                    Err(error) => {
                        log::debug!("generation could not be read: {error}");
                        actix_rt::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
        });
        follower
    }

    /// Returns the generation in force.
    pub fn applied(&self) -> Rc<Fleet> {
        Rc::clone(&self.state.borrow().applied)
    }

    /// Reports whether a generation was read from the platform or a peer at least once.
    pub fn is_confirmed(&self) -> bool {
        self.state.borrow().confirmed
    }

    /// Subscribes to the generation in force; the first confirmation counts as a change.
    pub fn subscribe(&self) -> watch::Receiver<Generation> {
        self.changes.subscribe()
    }

    /// Marks upstreams at these addresses as leaving, whatever the generation in force says.
    pub fn set_leaving(&self, leaving: BTreeSet<IpAddr>) {
        let mut state = self.state.borrow_mut();
        if state.leaving != leaving {
            log::info!("upstreams leaving by the host list: {leaving:?}");
            state.leaving = leaving;
            state.mark_leaving();
        }
    }

    /// Gives the newest generation that the platform showed; 0 when it has none.
    pub fn newest_generation(&self) -> Generation {
        let revision = self.heads.revision();
        if let Some((_, newest)) = self.shown.get().filter(|(seen, _)| *seen == revision) {
            return newest;
        }
        let head = self.heads.find(HEAD_NAME).and_then(|object| parse_head(&object).ok());
        let newest = head.map_or(0, |head| head.generation);
        self.shown.set(Some((revision, newest)));
        newest
    }

    /// Reads the head now and applies it if it is greater.
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

    /// Names the segments in force.
    pub fn segment_names(&self) -> Vec<String> {
        self.state.borrow().head.segments.clone()
    }

    /// Gives the generation in force if it is greater, without segments known to the receiver.
    pub fn snapshot(&self, above: Generation, known: &[String]) -> Option<Snapshot> {
        let state = self.state.borrow();
        if state.head.generation <= above {
            return None;
        }
        let missing = state.head.segments.iter().filter(|name| !known.contains(name));
        let segments = missing
            .map(|name| Some((name.clone(), state.segments.get(name)?.to_string())))
            .collect::<Option<_>>()?;
        Some(Snapshot { head: state.head.clone(), segments })
    }

    /// Applies a generation that a peer passed on, if it is greater than the one in force.
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
        let in_order: Option<Vec<_>> =
            snapshot.head.segments.iter().map(|name| texts.get(name).cloned()).collect();
        let in_order = in_order.ok_or(Error::Unreadable)?;
        self.put_in_force(snapshot.head, &in_order)
    }

    /// Tells how long ago the platform last confirmed the head.
    pub fn age(&self) -> Option<Duration> {
        self.heads.age()
    }

    /// Reads the accepted head and its generation past the local copy.
    ///
    /// # Errors
    /// Any failure of the calls; no object yet reads as the empty generation.
    pub async fn read_accepted(&self) -> Result<(Fleet, Option<Object>)> {
        let mut missed = None;
        loop {
            let object = match self.client.get(HEAD_NAME).await {
                Ok(object) => object,
                Err(Error::NotFound) => return Ok((Fleet::default(), None)),
                Err(error) => return Err(error),
            };
            match self.read_fleet(&parse_head(&object)?).await {
                // A segment of a replaced head may be deleted; the newer head has its own.
                Err(Error::NotFound) if missed.as_ref() != Some(&object.version) => {
                    missed = Some(object.version);
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
            self.put_in_force(head, &texts)?;
        }
        self.confirm();
        Ok(())
    }

    fn confirm(&self) {
        if !std::mem::replace(&mut self.state.borrow_mut().confirmed, true) {
            self.changes.send_modify(|_generation| {});
        }
    }

    fn put_in_force(&self, head: Head, texts: &[Rc<str>]) -> Result<()> {
        let fleet = Fleet::join(head.generation, texts.iter().map(|text| &**text));
        let fleet = fleet.map_err(unreadable)?;
        let mut state = self.state.borrow_mut();
        // Another task may have applied a newer generation meanwhile.
        if fleet.generation > state.accepted.generation {
            log::info!("generation {} in force", fleet.generation);
            self.client.show_generation(fleet.generation);
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
        Fleet::join(head.generation, texts.iter().map(|text| &**text)).map_err(unreadable)
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
        let is_marked = |ip: &IpAddr| self.leaving.contains(ip);
        if !self.accepted.upstreams.values().any(|u| is_marked(&u.address.ip())) {
            self.applied = Rc::clone(&self.accepted);
            return;
        }
        let mut marked = (*self.accepted).clone();
        for upstream in marked.upstreams.values_mut() {
            upstream.leaving |= is_marked(&upstream.address.ip());
        }
        self.applied = Rc::new(marked);
    }
}

/// Reads the stored form of a head.
///
/// # Errors
/// [`Error::Unreadable`] when the value is no head.
pub fn parse_head(object: &Object) -> Result<Head> {
    serde_json::from_str(&object.value).map_err(|_error| Error::Unreadable)
}

fn unreadable(_error: rail_config::segment::SegmentError) -> Error {
    Error::Unreadable
}
