//! Follows the accepted configuration.

use crate::{
    client::PlatformClient,
    error::{Error, Result},
    object::{Object, ObjectKind},
    watch::WatchCache,
};
use rail_config::{Fleet, Head};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

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
}

#[derive(Debug, Default)]
struct State {
    current: Rc<Fleet>,
    segments: BTreeMap<String, Rc<str>>,
    confirmed: bool,
}

impl ConfigFollower {
    /// Starts following on the current actix thread.
    pub fn spawn(client: PlatformClient) -> Self {
        let heads = WatchCache::spawn(client.clone(), ObjectKind::ConfigHead);
        let follower = Self { client, heads, state: Rc::default() };
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
    pub fn current(&self) -> Rc<Fleet> {
        Rc::clone(&self.state.borrow().current)
    }

    /// Reports whether the platform confirmed the generation in force at least once.
    pub fn is_confirmed(&self) -> bool {
        self.state.borrow().confirmed
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
        match self.client.get(HEAD_NAME).await {
            Ok(object) => Ok((self.read_fleet(&parse_head(&object)?).await?, Some(object))),
            Err(Error::NotFound) => Ok((Fleet::default(), None)),
            Err(error) => Err(error),
        }
    }

    async fn apply_head(&self) -> Result<()> {
        let Some(object) = self.heads.find(HEAD_NAME) else {
            self.state.borrow_mut().confirmed = self.heads.age().is_some();
            return Ok(());
        };
        let head = parse_head(&object)?;
        if head.generation <= self.current().generation {
            return Ok(());
        }
        let fleet = self.read_fleet(&head).await?;
        let mut state = self.state.borrow_mut();
        // Another task may have applied a newer generation meanwhile.
        if fleet.generation > state.current.generation {
            log::info!("generation {} in force", fleet.generation);
            state.current = Rc::new(fleet);
            state.segments.retain(|name, _| head.segments.contains(name));
        }
        state.confirmed = true;
        Ok(())
    }

    async fn read_fleet(&self, head: &Head) -> Result<Fleet> {
        let mut texts = Vec::with_capacity(head.segments.len());
        for name in &head.segments {
            texts.push(self.read_segment(name).await?);
        }
        Fleet::join(head.generation, texts.iter().map(|text| &**text)).map_err(unreadable)
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

fn parse_head(object: &Object) -> Result<Head> {
    serde_json::from_str(&object.value).map_err(|_error| Error::Unreadable)
}

fn unreadable(_error: rail_config::segment::SegmentError) -> Error {
    Error::Unreadable
}
