//! Turns changes into the next generation.

use prometheus_client::metrics::counter::Counter;
use rail_config::{Change, ChangeError, Fleet, Generation, Head};
use rail_platform::config::HEAD_NAME;
use rail_platform::{ConfigFollower, Error as PlatformError, Object, ObjectKind, PlatformClient};
use rail_runtime::{Metrics, metrics::Reasons};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Changes that wait for the accepting thread.
const QUEUE: usize = 64;
/// Attempts when other operators accept generations at the same time.
const MAX_ATTEMPTS: u32 = 10;
/// Attempts to read the head back after a lost reply.
const MAX_SETTLE_ATTEMPTS: u32 = 5;
/// Pause between attempts to read the head back.
const SETTLE_PAUSE: Duration = Duration::from_millis(300);

/// Result of accepting changes.
pub type Result<T> = std::result::Result<T, Error>;

/// Why changes were not accepted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A change is not valid.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// Another generation stands than the operator saw.
    #[error("generation {current} stands, but {expected} was expected")]
    Conflict {
        /// Generation that the operator saw.
        expected: Generation,
        /// Generation that stands.
        current: Generation,
    },
    /// Other operators kept winning.
    #[error("other operators changed the configuration at the same time")]
    Contended,
    /// The platform refused or is away; nothing was accepted.
    #[error("not accepted: {0}")]
    Platform(#[source] PlatformError),
    /// The acceptance may or may not have taken effect.
    #[error("outcome unknown: the platform did not confirm generation {0}")]
    OutcomeUnknown(Generation),
    /// The process is stopping.
    #[error("the process is stopping")]
    Stopping,
}

#[derive(Debug)]
enum Request {
    Accept {
        changes: Vec<Change>,
        expected: Option<Generation>,
        reply: oneshot::Sender<Result<Generation>>,
    },
    Read {
        reply: oneshot::Sender<Result<Fleet>>,
    },
}

/// Handle of the accepting task; may be used from any thread.
#[derive(Debug, Clone)]
pub struct Acceptor {
    requests: mpsc::Sender<Request>,
}

impl Acceptor {
    /// Starts accepting on the current actix thread.
    pub fn spawn(platform: PlatformClient, config: ConfigFollower, metrics: &Metrics) -> Self {
        let (requests, mut receiver) = mpsc::channel(QUEUE);
        let task = Task {
            platform,
            config,
            accepted: metrics.counter("admin_accepted", "Generations accepted"),
            refused: metrics.reasons("admin_refusals", "Changes not accepted"),
        };
        actix_rt::spawn(async move {
            while let Some(request) = receiver.recv().await {
                task.handle(request).await;
            }
        });
        Self { requests }
    }

    /// Accepts changes as one generation.
    pub async fn accept(
        &self,
        changes: Vec<Change>,
        expected: Option<Generation>,
    ) -> Result<Generation> {
        let (reply, result) = oneshot::channel();
        self.ask(Request::Accept { changes, expected, reply }, result).await
    }

    /// Reads the accepted generation.
    pub async fn read(&self) -> Result<Fleet> {
        let (reply, result) = oneshot::channel();
        self.ask(Request::Read { reply }, result).await
    }

    async fn ask<T>(&self, request: Request, result: oneshot::Receiver<Result<T>>) -> Result<T> {
        self.requests.send(request).await.map_err(|_closed| Error::Stopping)?;
        result.await.map_err(|_closed| Error::Stopping)?
    }
}

struct Task {
    platform: PlatformClient,
    config: ConfigFollower,
    accepted: Counter,
    refused: Reasons,
}

impl Task {
    async fn handle(&self, request: Request) {
        // An operator that is gone needs no reply.
        match request {
            Request::Accept { changes, expected, reply } => {
                let result = self.accept(&changes, expected).await;
                match &result {
                    Ok(_) => {
                        self.accepted.inc();
                    }
                    Err(error) => self.refused.count(reason(error)),
                }
                let _gone = reply.send(result);
            }
            Request::Read { reply } => {
                let read = self.config.read_accepted().await;
                let _gone = reply.send(read.map(|(fleet, _)| fleet).map_err(Error::Platform));
            }
        }
    }

    async fn accept(&self, changes: &[Change], expected: Option<Generation>) -> Result<Generation> {
        for _attempt in 0..MAX_ATTEMPTS {
            let (fleet, head) = self.config.read_accepted().await.map_err(Error::Platform)?;
            if let Some(expected) = expected
                && expected != fleet.generation
            {
                return Err(Error::Conflict { expected, current: fleet.generation });
            }
            let next = fleet.apply(changes)?;
            if self.try_accept(&next, head).await? {
                return Ok(next.generation);
            }
        }
        Err(Error::Contended)
    }

    /// Writes a generation; returns whether it was accepted or another won.
    async fn try_accept(&self, next: &Fleet, head: Option<Object>) -> Result<bool> {
        let nonce: u64 = rand::random();
        let (next_head, segments) =
            next.split(nonce).map_err(|_error| Error::Platform(PlatformError::Unreadable))?;
        for segment in &segments {
            let created =
                self.platform.create(ObjectKind::ConfigSegment, &segment.name, &segment.text).await;
            match created {
                Ok(_) | Err(PlatformError::AlreadyExists) => {}
                Err(error) => return Err(Error::Platform(error)),
            }
        }
        let value = serde_json::to_string(&next_head)
            .map_err(|_error| Error::Platform(PlatformError::Unreadable))?;
        let written = match &head {
            Some(head) => {
                let kind = ObjectKind::ConfigHead;
                self.platform.update(kind, HEAD_NAME, &value, &head.version).await
            }
            None => self.platform.create(ObjectKind::ConfigHead, HEAD_NAME, &value).await,
        };
        match written {
            Ok(_) => Ok(true),
            Err(PlatformError::Conflict | PlatformError::AlreadyExists) => Ok(false),
            Err(error) if error.is_effect_unknown() => self.settle(&next_head).await,
            Err(error) => Err(Error::Platform(error)),
        }
    }

    /// Reads the head back after a lost reply.
    async fn settle(&self, written: &Head) -> Result<bool> {
        for _attempt in 0..MAX_SETTLE_ATTEMPTS {
            if let Ok(object) = self.platform.get(HEAD_NAME).await {
                match serde_json::from_str::<Head>(&object.value) {
                    Ok(head) if head == *written => return Ok(true),
                    Ok(head) if head.generation >= written.generation => return Ok(false),
                    _ => {}
                }
            }
            actix_rt::time::sleep(SETTLE_PAUSE).await;
        }
        Err(Error::OutcomeUnknown(written.generation))
    }
}

fn reason(error: &Error) -> &'static str {
    match error {
        Error::Change(_) => "invalid_change",
        Error::Conflict { .. } => "conflict",
        Error::Contended => "contended",
        Error::Platform(error) => error.reason(),
        Error::OutcomeUnknown(_) => "outcome_unknown",
        Error::Stopping => "stopping",
    }
}
