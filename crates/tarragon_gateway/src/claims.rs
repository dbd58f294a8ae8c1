//! Runs requests with an idempotency key at most once over all hosts.

use crate::{
    Gateway,
    problem::{Problem, Result},
};
use actix_web::{HttpResponse, http::StatusCode};
use bytes::Bytes;
use futures_util::stream;
use rail_member::Role;
use rail_platform::{Error, ObjectKind};
use rail_request::{
    Claim, ClaimCommand, ClaimEvent, ClaimHolder, ClaimRecord, ClaimReply, Fingerprint,
    HolderLiveness, RequestFailure, RequestRefusal, RequestRefusalReason, StoredOutcome,
};
use std::{
    convert::Infallible,
    time::{Duration, Instant, SystemTime},
};
use tokio::sync::oneshot;

/// Time limit for making a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time between the arrival of a request and the start of its work. Later, its claim may
/// have been deleted as expired, and another call may have run the request.
const MAX_START_DELAY: Duration = Duration::from_secs(10);
/// Time after the timeout of a request after which its work is cancelled.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time that a response is delayed until its outcome is stored.
const STORE_WAIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a failing attempt to store an outcome is given up.
const STORE_TIMEOUT: Duration = Duration::from_secs(600);
/// First delay between two attempts of a platform call; doubles with each attempt.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts of a platform call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Number of checks for a claim that a create without a reply may have left behind.
const CLEANUP_ATTEMPTS: u32 = 7;
/// Delay before the first of these checks; doubles with each.
const CLEANUP_INITIAL_DELAY: Duration = Duration::from_millis(500);
/// Retry delay that is sent to callers while no claim can be made.
const DENIED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Age of a heartbeat above which its process counts as dead.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(3);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Request with an idempotency key.
#[derive(Debug, Clone)]
pub struct KeyedRequest {
    /// Scope and idempotency key, from [`scoped_key`].
    pub key: String,
    /// Fingerprint of the request, to detect that the key is used for another one.
    pub fingerprint: Fingerprint,
    /// Maximum duration of the request.
    pub timeout: Duration,
}

/// Complete response of a request, ready to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Bytes,
    /// Whether the body is known to be complete.
    pub is_whole: bool,
}

impl From<BufferedResponse> for HttpResponse {
    fn from(buffered: BufferedResponse) -> Self {
        let status = StatusCode::from_u16(buffered.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Self::build(status);
        if let Some(content_type) = buffered.content_type {
            response.insert_header(("content-type", content_type));
        }
        if buffered.is_whole {
            return response.body(buffered.body);
        }
        // The end of the connection is then the only end of the answer, as it was at the upstream.
        let body = stream::iter([Ok::<_, Infallible>(buffered.body)]);
        let mut response = response.force_close().streaming(body);
        response.head_mut().no_chunking(true);
        response
    }
}

/// Parses an idempotency key and prefixes it with its scope, so that keys of different callers or
/// services don't collide.
///
/// # Errors
/// Returns [`Problem::Body`] if the key is empty, too long or not UTF-8.
pub fn scoped_key(scope: &str, value: &[u8]) -> Result<String> {
    match std::str::from_utf8(value) {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(format!("{scope}/{key}")),
        _ => Err(Problem::Body(format!("idempotency key must be 1 to {MAX_KEY_BYTES} bytes"))),
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 before it.
pub fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

impl Gateway {
    /// Runs `work`, unless another call with the key has made the claim.
    ///
    /// If the caller disconnects, the work continues and its outcome is stored.
    ///
    /// # Errors
    /// Returns [`Problem::Refused`] if the claim can't be made, the reply that is derived from the
    /// claim of another call, or the problem of the work.
    pub async fn run_keyed(
        &self,
        request: KeyedRequest,
        work: impl Future<Output = Result<BufferedResponse>> + 'static,
    ) -> Result<BufferedResponse> {
        let call = KeyedCall::new(self.clone(), request);
        let (sender, receiver) = oneshot::channel();
        actix_rt::spawn(async move {
            // The caller may have disconnected, which doesn't matter here.
            let _caller_gone = sender.send(call.run(work).await);
        });
        receiver.await.unwrap_or(Err(Problem::Failed(RequestFailure::UnknownOutcome)))
    }

    /// Returns this process as the holder of a claim.
    fn as_claim_holder(&self) -> ClaimHolder {
        let mut incarnation = 0;
        self.gossip.update_own_heartbeat(|own| incarnation = own.incarnation);
        ClaimHolder { host: self.settings.host.clone(), incarnation }
    }

    fn holder_liveness(&self, holder: &ClaimHolder) -> HolderLiveness {
        if *holder == self.as_claim_holder() {
            return HolderLiveness::Live;
        }
        let members = self.gossip.members();
        let gateway = members.iter().find(|(heartbeat, _)| {
            heartbeat.role == Role::Gateway && heartbeat.host == holder.host
        });
        match gateway {
            Some((heartbeat, age)) if heartbeat.incarnation == holder.incarnation => {
                if *age <= MAX_HEARTBEAT_AGE { HolderLiveness::Live } else { HolderLiveness::Gone }
            }
            Some((heartbeat, _)) if heartbeat.incarnation > holder.incarnation => {
                HolderLiveness::Gone
            }
            _ => HolderLiveness::Unknown,
        }
    }
}

/// One call with an idempotency key.
#[derive(Debug)]
struct KeyedCall {
    gateway: Gateway,
    claim: Claim,
    name: String,
}

impl KeyedCall {
    fn new(gateway: Gateway, request: KeyedRequest) -> Self {
        let name = ClaimRecord::object_name(&request.key);
        let record = ClaimRecord {
            key: request.key,
            fingerprint: request.fingerprint,
            nonce: rand::random(),
            holder: gateway.as_claim_holder(),
            created_at_ms: wall_clock_ms(),
            deadline_ms: request.timeout.as_millis() as u64,
            outcome: None,
        };
        Self { claim: Claim::new(record), gateway, name }
    }

    async fn run(
        mut self,
        work: impl Future<Output = Result<BufferedResponse>>,
    ) -> Result<BufferedResponse> {
        let arrived_at = Instant::now();
        self.acquire_claim().await?;
        if arrived_at.elapsed() > MAX_START_DELAY {
            // If the process was paused, its claim may have been deleted as expired and another
            // call may have run the request.
            let denied = self.deny();
            actix_rt::spawn(self.store_outcome(ClaimEvent::NotRun));
            return Err(denied);
        }
        self.count("claimed");
        let work_timeout = Duration::from_millis(self.claim.record().deadline_ms) + DEADLINE_MARGIN;
        let result = tokio::time::timeout(work_timeout, work)
            .await
            .unwrap_or(Err(Problem::Failed(RequestFailure::UnknownOutcome)));
        let event = match &result {
            Ok(response) if !response.is_whole => ClaimEvent::Ended(StoredOutcome::NotKept),
            Ok(response) => {
                let content_type = response.content_type.clone();
                ClaimEvent::Ended(StoredOutcome::from_response(
                    response.status,
                    content_type,
                    &response.body,
                ))
            }
            Err(Problem::Failed(failed)) => ClaimEvent::Ended(StoredOutcome::Failed(*failed)),
            Err(_) => ClaimEvent::NotRun,
        };
        let storing = actix_rt::spawn(self.store_outcome(event));
        if tokio::time::timeout(STORE_WAIT_TIMEOUT, storing).await.is_err() {
            // The task continues; the caller does not wait for it.
            log::debug!("outcome of a claim was not stored within {STORE_WAIT_TIMEOUT:?}");
        }
        result
    }

    /// Makes the claim; returns `Ok` if the work must run now.
    async fn acquire_claim(&mut self) -> Result<()> {
        let started_at = Instant::now();
        let mut command = self.handle(ClaimEvent::Begin);
        loop {
            match command {
                ClaimCommand::Run => return Ok(()),
                ClaimCommand::Reply(reply) => return Err(self.reply_to_problem(reply)),
                ClaimCommand::Create(_) | ClaimCommand::Read => {}
                ClaimCommand::Deny { claim_may_exist: true } => {
                    actix_rt::spawn(delete_late_claim(self.gateway.clone(), self.claim.clone()));
                    return Err(self.deny());
                }
                _ => return Err(self.deny()),
            }
            let event = if started_at.elapsed() > CLAIM_TIMEOUT {
                ClaimEvent::GiveUp
            } else {
                self.execute(&command).await
            };
            command = self.handle(event);
        }
    }

    /// Stores the outcome of the work, or deletes the claim if it did not run.
    ///
    /// Retries until [`STORE_TIMEOUT`].
    async fn store_outcome(mut self, event: ClaimEvent) {
        let started_at = Instant::now();
        let mut delay = MIN_RETRY_DELAY;
        let mut command = self.handle(event);
        while command != ClaimCommand::Close {
            let event = if started_at.elapsed() > STORE_TIMEOUT {
                self.count("not_stored");
                ClaimEvent::GiveUp
            } else {
                self.execute(&command).await
            };
            if matches!(event, ClaimEvent::Lost | ClaimEvent::Refused) {
                actix_rt::time::sleep(delay.mul_f64(rand::random_range(1.0..2.0))).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
            command = self.handle(event);
        }
    }

    fn handle(&mut self, event: ClaimEvent) -> ClaimCommand {
        self.claim.handle(event).unwrap_or_else(|error| {
            self.count("undefined_event");
            log::error!("claim {}: {error}", self.name);
            ClaimCommand::Close
        })
    }

    /// Executes a command on the platform and returns its result as an event.
    async fn execute(&self, command: &ClaimCommand) -> ClaimEvent {
        let platform = &self.gateway.platform;
        let kind = ObjectKind::Claim;
        let result = match command {
            ClaimCommand::Create(record) => platform
                .create(kind, &self.name, &to_json(record))
                .await
                .map(|object| object.version),
            ClaimCommand::Store { record, version } => {
                let value = to_json(record);
                platform
                    .update(kind, &self.name, &value, version)
                    .await
                    .map(|object| object.version)
            }
            ClaimCommand::Release { version } => {
                platform.delete_version(&self.name, version).await.map(|()| version.clone())
            }
            _ => return self.read().await,
        };
        match result {
            Ok(version) => ClaimEvent::Written(version),
            Err(Error::AlreadyExists | Error::Conflict) => ClaimEvent::Taken,
            Err(Error::NotFound) => ClaimEvent::Missing,
            Err(error) => self.classify_error(&error),
        }
    }

    async fn read(&self) -> ClaimEvent {
        match self.gateway.platform.get(&self.name).await {
            Ok(object) => match serde_json::from_str::<ClaimRecord>(&object.value) {
                Ok(record) => {
                    let holder = self.gateway.holder_liveness(&record.holder);
                    ClaimEvent::Found { record, version: object.version, holder }
                }
                Err(_unreadable) => ClaimEvent::Lost,
            },
            Err(Error::NotFound) => ClaimEvent::Missing,
            Err(error) => self.classify_error(&error),
        }
    }

    fn classify_error(&self, error: &Error) -> ClaimEvent {
        self.count(error.reason());
        if error.is_effect_unknown() { ClaimEvent::Lost } else { ClaimEvent::Refused }
    }

    /// Counts a denied call and returns its problem.
    fn deny(&self) -> Problem {
        self.count("denied");
        RequestRefusal {
            reason: RequestRefusalReason::PlatformUnavailable,
            retry_after: DENIED_RETRY_AFTER,
        }
        .into()
    }

    /// Counts a reply from the claim of another call and returns it as a problem.
    fn reply_to_problem(&self, reply: ClaimReply) -> Problem {
        let problem = match reply {
            ClaimReply::Stored(StoredOutcome::Answered { status, content_type, body }) => {
                Problem::Stored(BufferedResponse {
                    status,
                    content_type,
                    body: body.into(),
                    is_whole: true,
                })
            }
            ClaimReply::Stored(StoredOutcome::NotKept) => Problem::AnswerNotKept,
            ClaimReply::Stored(StoredOutcome::Failed(failed)) => Problem::Failed(failed),
            ClaimReply::InProgress { retry_after } => Problem::InProgress { retry_after },
            ClaimReply::KeyReused => Problem::KeyReused,
            ClaimReply::Unknown => Problem::Failed(RequestFailure::UnknownOutcome),
        };
        self.count(&problem.reason());
        problem
    }

    fn count(&self, reason: &str) {
        self.gateway.metrics.claims.count(reason);
    }
}

/// Deletes the claim of a denied call, if its create took effect without a reply or takes effect
/// later.
///
/// With such a claim, later calls with the key would fail with an unknown outcome although nothing
/// ran.
async fn delete_late_claim(gateway: Gateway, claim: Claim) {
    let name = ClaimRecord::object_name(&claim.record().key);
    let mut delay = CLEANUP_INITIAL_DELAY;
    for _attempt in 0..CLEANUP_ATTEMPTS {
        actix_rt::time::sleep(delay).await;
        delay *= 2;
        let Ok(object) = gateway.platform.get(&name).await else {
            continue;
        };
        let stored = serde_json::from_str::<ClaimRecord>(&object.value);
        if !stored.is_ok_and(|stored| stored.nonce == claim.record().nonce) {
            continue;
        }
        if gateway.platform.delete_version(&name, &object.version).await.is_ok() {
            gateway.metrics.claims.count("cleaned");
            return;
        }
    }
}

/// Serializes a record; this can't fail, since records consist of strings and numbers.
fn to_json(record: &ClaimRecord) -> String {
    serde_json::to_string(record).expect("a claim record is serializable")
}
