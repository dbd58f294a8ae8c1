//! Local cache of all objects of one kind, updated by a watch.

use crate::{
    backoff::Backoff,
    client::PlatformClient,
    error::{Error, Result},
    object::{self, Object, ObjectKind, ObjectName, WatchEvent},
};
use futures_util::{StreamExt, TryStreamExt};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::watch;
use tokio_util::{
    codec::{FramedRead, LinesCodec},
    io::StreamReader,
};

/// Maximum length of one line of a watch in bytes; fits an escaped value of one megabyte.
const MAX_LINE_BYTES: usize = 8 << 20;
/// Time without an event or bookmark after which a watch is considered dead and opened again.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct CachedObjects {
    objects: BTreeMap<ObjectName, Object>,
    confirmed_at: Option<Instant>,
}

/// Cache of all objects of one kind; clones share it.
#[derive(Debug, Clone)]
pub struct WatchCache {
    cached: Rc<RefCell<CachedObjects>>,
    changes: watch::Sender<u64>,
}

impl WatchCache {
    /// Spawns a task on the current actix thread that watches the objects of a kind.
    pub fn spawn(client: PlatformClient, kind: ObjectKind) -> Self {
        let cache = Self {
            cached: Rc::new(RefCell::new(CachedObjects::default())),
            changes: watch::Sender::new(0),
        };
        let task_cache = cache.clone();
        actix_rt::spawn(async move {
            let mut backoff = Backoff::default();
            loop {
                if let Err(error) = task_cache.follow(&client, kind, &mut backoff).await {
                    log::debug!("watch of {} objects ended: {error}", kind.label());
                }
                let delay = backoff.next_delay(&mut rand::rng());
                actix_rt::time::sleep(delay).await;
            }
        });
        cache
    }

    /// Returns copies of all objects.
    pub fn objects(&self) -> Vec<Object> {
        self.cached.borrow().objects.values().cloned().collect()
    }

    /// Calls `read` with all objects, without copying them.
    pub fn with_objects<T>(&self, read: impl FnOnce(&BTreeMap<ObjectName, Object>) -> T) -> T {
        read(&self.cached.borrow().objects)
    }

    /// Returns the number of changes so far; while it is the same, the cache is unchanged.
    pub fn revision(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Returns a copy of the object with this name.
    pub fn find(&self, name: &str) -> Option<Object> {
        self.cached.borrow().objects.get(name).cloned()
    }

    /// Returns the time since the last list, event or bookmark; `None` before the first list.
    pub fn age(&self) -> Option<Duration> {
        self.cached.borrow().confirmed_at.map(|at| at.elapsed())
    }

    /// Subscribes to the number of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Lists the objects, then applies the events of a watch until it ends, is silent for
    /// [`WATCH_SILENCE_TIMEOUT`] or sends an unreadable event.
    async fn follow(
        &self,
        client: &PlatformClient,
        kind: ObjectKind,
        backoff: &mut Backoff,
    ) -> Result<()> {
        let (objects, version) = client.list(kind).await?;
        self.replace(objects);
        let (reply, _guard) = client.open_watch(kind, &version).await?;
        // Disables the client's timeout of the response body, because a watch stays open.
        let bytes = reply.timeout(Duration::MAX / 4).map_err(std::io::Error::other);
        let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
        let mut lines = FramedRead::new(StreamReader::new(bytes), codec);
        loop {
            let next = tokio::time::timeout(WATCH_SILENCE_TIMEOUT, lines.next()).await;
            let Ok(Some(Ok(line))) = next else {
                return Err(Error::ReplyLost);
            };
            let Ok(event) = object::read_event(&line) else {
                return Err(Error::Unreadable);
            };
            backoff.reset();
            self.apply_event(event);
        }
    }

    fn replace(&self, objects: Vec<Object>) {
        let mut cached = self.cached.borrow_mut();
        cached.objects = objects.into_iter().map(|object| (object.name.clone(), object)).collect();
        cached.confirmed_at = Some(Instant::now());
        drop(cached);
        self.changes.send_modify(|count| *count += 1);
    }

    fn apply_event(&self, event: WatchEvent) {
        let mut cached = self.cached.borrow_mut();
        cached.confirmed_at = Some(Instant::now());
        match event {
            WatchEvent::Nothing => return,
            WatchEvent::Gone(name) => {
                cached.objects.remove(&name);
            }
            WatchEvent::Put(object) => {
                cached.objects.insert(object.name.clone(), object);
            }
        }
        drop(cached);
        self.changes.send_modify(|count| *count += 1);
    }
}
