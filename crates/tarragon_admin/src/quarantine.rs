//! Requests that are refused because they crash their upstreams.

use rail_platform::{Error as PlatformError, ObjectKind, PlatformClient};
use tokio::sync::{mpsc, oneshot};

/// Calls that wait for the thread that holds the platform client.
const QUEUE: usize = 64;
/// Start of the name of each object; the fingerprint in hexadecimal follows.
const NAME_PREFIX: &str = "quarantine-";
/// Longest fingerprint in hexadecimal digits.
const MAX_FINGERPRINT_DIGITS: usize = 64;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fingerprint is not hexadecimal.
    #[error("fingerprint {0:?} is not 1 to {MAX_FINGERPRINT_DIGITS} hexadecimal digits")]
    Fingerprint(String),
    /// The platform refused or is away.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// The process is stopping.
    #[error("the process is stopping")]
    Stopping,
}

/// One quarantined request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Fingerprint in hexadecimal.
    pub fingerprint: String,
    /// Record as JSON text.
    pub record_json: String,
}

#[derive(Debug)]
enum Request {
    List(oneshot::Sender<Result<Vec<Entry>>>),
    Release { fingerprint: String, reply: oneshot::Sender<Result<bool>> },
}

/// Handle of the task; may be used from any thread.
#[derive(Debug, Clone)]
pub struct Quarantine {
    requests: mpsc::Sender<Request>,
}

impl Quarantine {
    /// Starts the task on the current actix thread.
    pub fn spawn(platform: PlatformClient) -> Self {
        let (requests, mut receiver) = mpsc::channel(QUEUE);
        actix_rt::spawn(async move {
            while let Some(request) = receiver.recv().await {
                handle(&platform, request).await;
            }
        });
        Self { requests }
    }

    /// Lists quarantined requests.
    pub async fn list(&self) -> Result<Vec<Entry>> {
        let (reply, result) = oneshot::channel();
        self.ask(Request::List(reply), result).await
    }

    /// Releases a request; returns whether it was in quarantine.
    pub async fn release(&self, fingerprint: String) -> Result<bool> {
        let (reply, result) = oneshot::channel();
        self.ask(Request::Release { fingerprint, reply }, result).await
    }

    async fn ask<T>(&self, request: Request, result: oneshot::Receiver<Result<T>>) -> Result<T> {
        self.requests.send(request).await.map_err(|_closed| Error::Stopping)?;
        result.await.map_err(|_closed| Error::Stopping)?
    }
}

async fn handle(platform: &PlatformClient, request: Request) {
    // An operator that is gone needs no reply.
    match request {
        Request::List(reply) => {
            let _gone = reply.send(list(platform).await);
        }
        Request::Release { fingerprint, reply } => {
            let _gone = reply.send(release(platform, fingerprint).await);
        }
    }
}

async fn list(platform: &PlatformClient) -> Result<Vec<Entry>> {
    let (objects, _version) = platform.list(ObjectKind::Quarantine).await?;
    let entries = objects.into_iter().filter_map(|object| {
        let fingerprint = object.name.strip_prefix(NAME_PREFIX)?.to_owned();
        Some(Entry { fingerprint, record_json: object.value })
    });
    Ok(entries.collect())
}

async fn release(platform: &PlatformClient, fingerprint: String) -> Result<bool> {
    let is_valid = (1..=MAX_FINGERPRINT_DIGITS).contains(&fingerprint.len())
        && fingerprint.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_valid {
        return Err(Error::Fingerprint(fingerprint));
    }
    match platform.delete(&format!("{NAME_PREFIX}{fingerprint}")).await {
        Ok(()) => Ok(true),
        Err(PlatformError::NotFound) => Ok(false),
        Err(error) => Err(error.into()),
    }
}
