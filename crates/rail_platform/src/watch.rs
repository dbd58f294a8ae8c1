//! A local copy of all objects of one kind, kept current by a watch.

use crate::{
    backoff::Backoff,
    client::PlatformClient,
    error::{Error, Result},
    object::{Object, ObjectKind, ObjectName, WatchEvent, WatchEventType},
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

/// Longest line of a watch in bytes: a value of one megabyte, escaped.
const MAX_LINE_BYTES: usize = 8 << 20;
/// Time without any event or bookmark after which a watch is opened again.
const WATCH_SILENCE: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Copy {
    objects: BTreeMap<ObjectName, Object>,
    confirmed_at: Option<Instant>,
}

/// Copy of all objects of one kind; clones share it.
#[derive(Debug, Clone)]
pub struct WatchCache {
    copy: Rc<RefCell<Copy>>,
    changes: watch::Sender<u64>,
}

impl WatchCache {
    /// Starts watching a kind on the current actix thread.
    pub fn spawn(client: PlatformClient, kind: ObjectKind) -> Self {
        let cache =
            Self { copy: Rc::new(RefCell::new(Copy::default())), changes: watch::Sender::new(0) };
        let task = cache.clone();
        actix_rt::spawn(async move {
            let mut backoff = Backoff::default();
            loop {
                if let Err(error) = task.follow(&client, kind, &mut backoff).await {
                    log::debug!("watch of {} ended: {error}", kind.label());
                }
                let pause = backoff.next_delay(&mut rand::rng());
                actix_rt::time::sleep(pause).await;
            }
        });
        cache
    }

    /// Returns a copy of all objects.
    pub fn objects(&self) -> Vec<Object> {
        self.copy.borrow().objects.values().cloned().collect()
    }

    /// Looks at all objects without copying them.
    pub fn with_objects<T>(&self, look: impl FnOnce(&BTreeMap<ObjectName, Object>) -> T) -> T {
        look(&self.copy.borrow().objects)
    }

    /// Counts the changes so far; equal counts mean an equal copy.
    pub fn revision(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Finds one object.
    pub fn find(&self, name: &str) -> Option<Object> {
        self.copy.borrow().objects.get(name).cloned()
    }

    /// Tells how long ago the platform last confirmed the copy.
    pub fn age(&self) -> Option<Duration> {
        self.copy.borrow().confirmed_at.map(|at| at.elapsed())
    }

    /// Subscribes to changes of the copy.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Lists, then watches until an event is missed or the platform is silent.
    async fn follow(
        &self,
        client: &PlatformClient,
        kind: ObjectKind,
        backoff: &mut Backoff,
    ) -> Result<()> {
        let (objects, version) = client.list(kind).await?;
        self.replace(objects);
        let (reply, _open) = client.open_watch(kind, &version).await?;
        let bytes = reply.timeout(Duration::MAX / 4).map_err(std::io::Error::other);
        let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
        let mut lines = FramedRead::new(StreamReader::new(bytes), codec);
        loop {
            let next = tokio::time::timeout(WATCH_SILENCE, lines.next()).await;
            let Ok(Some(Ok(line))) = next else {
                return Err(Error::ReplyLost);
            };
            let Ok(event) = serde_json::from_str::<WatchEvent>(&line) else {
                return Err(Error::Unreadable);
            };
            backoff.reset();
            self.take_in(event);
        }
    }

    fn replace(&self, objects: Vec<Object>) {
        let mut copy = self.copy.borrow_mut();
        copy.objects = objects.into_iter().map(|o| (o.name.clone(), o)).collect();
        copy.confirmed_at = Some(Instant::now());
        drop(copy);
        self.changes.send_modify(|count| *count += 1);
    }

    fn take_in(&self, event: WatchEvent) {
        let mut copy = self.copy.borrow_mut();
        copy.confirmed_at = Some(Instant::now());
        let object = Object::from(event.object);
        match event.event {
            WatchEventType::Bookmark => return,
            WatchEventType::Deleted => {
                copy.objects.remove(&object.name);
            }
            WatchEventType::Added | WatchEventType::Modified => {
                copy.objects.insert(object.name.clone(), object);
            }
        }
        drop(copy);
        self.changes.send_modify(|count| *count += 1);
    }
}
