//! Lists and releases quarantined requests: those refused because they crash their upstreams.

use rail_platform::{Error as PlatformError, ObjectKind, PlatformClient};
use tokio::sync::{mpsc, oneshot};

/// Calls that wait for the task that owns the platform client.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Prefix of the name of each quarantine object; the fingerprint in hexadecimal follows.
const NAME_PREFIX: &str = "quarantine-";
/// Longest fingerprint in hexadecimal digits.
const MAX_FINGERPRINT_DIGITS: usize = 64;

/// Result of a call to [`Quarantine`].
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to list or release quarantined requests.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fingerprint is not hexadecimal, or empty or too long.
    #[error("fingerprint {0:?} is not 1 to {MAX_FINGERPRINT_DIGITS} hexadecimal digits")]
    Fingerprint(String),
    /// The platform rejected a call or is unavailable.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// The process is stopping.
    #[error("the process is stopping")]
    Stopping,
}

/// One quarantined request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Fingerprint of the request, in hexadecimal.
    pub fingerprint: String,
    /// Quarantine record as stored, in JSON.
    pub record_json: String,
}

#[derive(Debug)]
enum Request {
    List(oneshot::Sender<Result<Vec<Entry>>>),
    Release { fingerprint: String, reply: oneshot::Sender<Result<bool>> },
}

/// Handle of the task that owns the platform client; may be used from any thread.
#[derive(Debug, Clone)]
pub struct Quarantine {
    requests: mpsc::Sender<Request>,
}

impl Quarantine {
    /// Starts the task on the current actix thread.
    pub fn spawn(platform: PlatformClient) -> Self {
        let (requests, mut receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        actix_rt::spawn(async move {
            while let Some(request) = receiver.recv().await {
                handle(&platform, request).await;
            }
        });
        Self { requests }
    }

    /// Returns all quarantined requests.
    pub async fn list(&self) -> Result<Vec<Entry>> {
        let (reply, result) = oneshot::channel();
        self.call(Request::List(reply), result).await
    }

    /// Removes a request from quarantine; returns whether it was in quarantine.
    pub async fn release(&self, fingerprint: String) -> Result<bool> {
        let (reply, result) = oneshot::channel();
        self.call(Request::Release { fingerprint, reply }, result).await
    }

    async fn call<T>(&self, request: Request, result: oneshot::Receiver<Result<T>>) -> Result<T> {
        self.requests.send(request).await.map_err(|_closed| Error::Stopping)?;
        result.await.map_err(|_closed| Error::Stopping)?
    }
}

async fn handle(platform: &PlatformClient, request: Request) {
    // Sending fails if the operator has closed the call; the reply is then dropped.
    match request {
        Request::List(reply) => {
            let _closed = reply.send(list(platform).await);
        }
        Request::Release { fingerprint, reply } => {
            let _closed = reply.send(release(platform, fingerprint).await);
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
