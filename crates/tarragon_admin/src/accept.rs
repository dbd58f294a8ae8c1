//! Accepts configuration changes: writes them to the platform as the next generation.

use prometheus_client::metrics::counter::Counter;
use rail_config::{Change, ChangeError, Fleet, Generation, Head};
use rail_platform::{
    ConditionalWrite, ConfigFollower, Error as PlatformError, Object, ObjectKind, PlatformClient,
    WriteOutcome,
    config::{HEAD_NAME, parse_head},
};
use rail_runtime::{Metrics, metrics::ReasonCounters};
use tokio::sync::{mpsc, oneshot};

/// Requests that wait for the accepting task; further callers wait to enqueue theirs.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Attempts to accept a change while other operators accept generations at the same time.
const MAX_ATTEMPTS: u32 = 10;

/// Result of accepting changes or reading the accepted generation.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to accept changes or to read the accepted generation.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A change is not valid.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// The accepted generation is not the one that the operator expects.
    #[error("generation {current} stands, but {expected} was expected")]
    Conflict {
        /// Generation that the operator expects.
        expected: Generation,
        /// Generation that is accepted.
        current: Generation,
    },
    /// Each of [`MAX_ATTEMPTS`] attempts conflicted with another operator's change.
    #[error("other operators changed the configuration at the same time")]
    Contended,
    /// The platform rejected a call or is unavailable; nothing was accepted.
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

/// Handle of the task that accepts changes; may be used from any thread.
#[derive(Debug, Clone)]
pub struct Acceptor {
    requests: mpsc::Sender<Request>,
}

impl Acceptor {
    /// Starts the accepting task on the current actix thread.
    pub fn spawn(platform: PlatformClient, config: ConfigFollower, metrics: &Metrics) -> Self {
        let (requests, mut receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let worker = AcceptWorker {
            platform,
            config,
            accepted: metrics.counter("admin_accepted", "Generations accepted"),
            collected: metrics
                .counter("admin_collected_segments", "Configuration segments deleted"),
            refused: metrics.reason_counters("admin_refusals", "Changes not accepted"),
        };
        actix_rt::spawn(async move {
            while let Some(request) = receiver.recv().await {
                worker.handle(request).await;
            }
        });
        Self { requests }
    }

    /// Accepts changes as one generation and returns its number.
    ///
    /// With `expected`, fails with [`Error::Conflict`] unless that generation is the accepted one.
    pub async fn accept(
        &self,
        changes: Vec<Change>,
        expected: Option<Generation>,
    ) -> Result<Generation> {
        let (reply, result) = oneshot::channel();
        self.call(Request::Accept { changes, expected, reply }, result).await
    }

    /// Returns the accepted configuration.
    pub async fn read(&self) -> Result<Fleet> {
        let (reply, result) = oneshot::channel();
        self.call(Request::Read { reply }, result).await
    }

    async fn call<T>(&self, request: Request, result: oneshot::Receiver<Result<T>>) -> Result<T> {
        self.requests.send(request).await.map_err(|_closed| Error::Stopping)?;
        result.await.map_err(|_closed| Error::Stopping)?
    }
}

/// State of the accepting task.
struct AcceptWorker {
    platform: PlatformClient,
    config: ConfigFollower,
    accepted: Counter,
    collected: Counter,
    refused: ReasonCounters,
}

impl AcceptWorker {
    async fn handle(&self, request: Request) {
        // Sending fails if the operator has closed the call; the reply is then dropped.
        match request {
            Request::Accept { changes, expected, reply } => {
                let result = self.accept(&changes, expected).await;
                match &result {
                    Ok(_) => {
                        self.accepted.inc();
                    }
                    Err(error) => self.refused.count(refusal_reason(error)),
                }
                let _closed = reply.send(result);
            }
            Request::Read { reply } => {
                let read = self.config.read_accepted().await;
                let _closed = reply.send(read.map(|(fleet, _)| fleet).map_err(Error::Platform));
            }
        }
    }

    async fn accept(&self, changes: &[Change], expected: Option<Generation>) -> Result<Generation> {
        for _attempt in 0..MAX_ATTEMPTS {
            let (fleet, head_object) =
                self.config.read_accepted().await.map_err(Error::Platform)?;
            if let Some(expected) = expected
                && expected != fleet.generation
            {
                return Err(Error::Conflict { expected, current: fleet.generation });
            }
            let next = fleet.apply(changes)?;
            if self.try_accept(&next, head_object).await? {
                return Ok(next.generation);
            }
        }
        Err(Error::Contended)
    }

    /// Writes a generation in place of the one in `head_object`.
    ///
    /// Returns false if another generation was accepted in the meantime.
    async fn try_accept(&self, next: &Fleet, head_object: Option<Object>) -> Result<bool> {
        let nonce: u64 = rand::random();
        let (mut head, segments) = next.split(nonce).map_err(|_error| unreadable_error())?;
        let replaced = match &head_object {
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
        let is_accepted = self.write_head(&head, head_object.map(|object| object.version)).await?;
        if !is_accepted {
            // No other head refers to these segments, and this head can no longer be accepted.
            self.delete_segments(&written).await;
        }
        Ok(is_accepted)
    }

    /// Deletes segments until a call fails; returns the names of those that no longer exist.
    async fn delete_segments(&self, names: &[String]) -> Vec<String> {
        let mut deleted = Vec::new();
        for name in names {
            match self.platform.delete(name).await {
                Ok(()) => {
                    self.collected.inc();
                }
                Err(PlatformError::NotFound) => {}
                Err(error) => {
                    log::debug!(
                        "configuration segment {name} is left for a later deletion: {error}"
                    );
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
        // The name contains the nonce of this attempt, so an object that already has it has the
        // same text.
        let _outcome = self.platform.write_until_resolved(write).await.map_err(Error::Platform)?;
        Ok(())
    }

    async fn write_head(&self, head: &Head, expected_version: Option<String>) -> Result<bool> {
        let value = serde_json::to_string(head).map_err(|_error| unreadable_error())?;
        let write = ConditionalWrite {
            kind: ObjectKind::ConfigHead,
            name: HEAD_NAME,
            value: &value,
            expected_version: expected_version.as_deref(),
        };
        let outcome_unknown = || Error::OutcomeUnknown(head.generation);
        match self.platform.write_until_resolved(write).await {
            Ok(WriteOutcome::Applied(_)) => Ok(true),
            Ok(WriteOutcome::Superseded { had_no_effect: true, .. }) => Ok(false),
            Ok(WriteOutcome::Superseded { current, .. }) => {
                let current = current.and_then(|object| parse_head(&object).ok());
                let current = current.ok_or_else(outcome_unknown)?;
                current.includes_acceptance(head.generation, head.nonce).ok_or_else(outcome_unknown)
            }
            Err(error) if error.is_effect_unknown() => Err(outcome_unknown()),
            Err(error) => Err(Error::Platform(error)),
        }
    }
}

fn unreadable_error() -> Error {
    Error::Platform(PlatformError::Unreadable)
}

fn refusal_reason(error: &Error) -> &'static str {
    match error {
        Error::Change(_) => "invalid_change",
        Error::Conflict { .. } => "conflict",
        Error::Contended => "contended",
        Error::Platform(error) => error.reason(),
        Error::OutcomeUnknown(_) => "outcome_unknown",
        Error::Stopping => "stopping",
    }
}
