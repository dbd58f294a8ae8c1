//! Turns changes into the next generation.

use prometheus_client::metrics::counter::Counter;
use rail_config::{Change, ChangeError, Fleet, Generation, Head};
use rail_platform::{
    ConditionalWrite, ConfigFollower, Error as PlatformError, Object, ObjectKind, PlatformClient,
    WriteOutcome,
    config::{HEAD_NAME, parse_head},
};
use rail_runtime::{Metrics, metrics::ReasonCounters};
use tokio::sync::{mpsc, oneshot};

/// Changes that wait for the accepting thread.
const QUEUE: usize = 64;
/// Attempts when other operators accept generations at the same time.
const MAX_ATTEMPTS: u32 = 10;

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
            collected: metrics
                .counter("admin_collected_segments", "Configuration segments deleted"),
            refused: metrics.reason_counters("admin_refusals", "Changes not accepted"),
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
    collected: Counter,
    refused: ReasonCounters,
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
    async fn try_accept(&self, next: &Fleet, object: Option<Object>) -> Result<bool> {
        let nonce: u64 = rand::random();
        let (mut head, segments) = next.split(nonce).map_err(|_error| unreadable())?;
        let replaced = match &object {
            Some(object) => parse_head(object).map_err(Error::Platform)?,
            None => Head::default(),
        };
        head.link_to_previous(&replaced);
        let deleted = self.delete_segments(replaced.deletable()).await;
        head.retired.retain(|name| !deleted.contains(name));
        let mut written = Vec::new();
        for (name, segment) in head.segments.iter().zip(&segments) {
            if !replaced.segments.contains(name) {
                self.write_segment(name, &segment.text).await?;
                written.push(name.clone());
            }
        }
        let is_accepted = self.write_head(&head, object.map(|object| object.version)).await?;
        if !is_accepted {
            // No other head names them, and this one can't be accepted any more.
            self.delete_segments(&written).await;
        }
        Ok(is_accepted)
    }

    /// Deletes segments until a call fails; gives those that are gone.
    async fn delete_segments(&self, names: &[String]) -> Vec<String> {
        let mut deleted = Vec::new();
        for name in names {
            match self.platform.delete(name).await {
                Ok(()) => {
                    self.collected.inc();
                }
                Err(PlatformError::NotFound) => {}
                Err(error) => {
                    log::debug!("{name} is deleted later: {error}");
                    break;
                }
            }
            deleted.push(name.clone());
        }
        deleted
    }

    async fn write_segment(&self, name: &str, text: &str) -> Result<()> {
        let kind = ObjectKind::ConfigSegment;
        let write = ConditionalWrite { kind, name, value: text, expected_version: None };
        // The name is this attempt's own, so what stands under it is the same text.
        let _settled = self.platform.write_until_resolved(write).await.map_err(Error::Platform)?;
        Ok(())
    }

    async fn write_head(&self, head: &Head, expected_version: Option<String>) -> Result<bool> {
        let value = serde_json::to_string(head).map_err(|_error| unreadable())?;
        let write = ConditionalWrite {
            kind: ObjectKind::ConfigHead,
            name: HEAD_NAME,
            value: &value,
            expected_version: expected_version.as_deref(),
        };
        let unknown = || Error::OutcomeUnknown(head.generation);
        match self.platform.write_until_resolved(write).await {
            Ok(WriteOutcome::Applied(_)) => Ok(true),
            Ok(WriteOutcome::Superseded { had_no_effect: true, .. }) => Ok(false),
            Ok(WriteOutcome::Superseded { current, .. }) => {
                let current = current.and_then(|object| parse_head(&object).ok());
                let current = current.ok_or_else(unknown)?;
                current.includes_acceptance(head.generation, head.nonce).ok_or_else(unknown)
            }
            Err(error) if error.is_effect_unknown() => Err(unknown()),
            Err(error) => Err(Error::Platform(error)),
        }
    }
}

fn unreadable() -> Error {
    Error::Platform(PlatformError::Unreadable)
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
