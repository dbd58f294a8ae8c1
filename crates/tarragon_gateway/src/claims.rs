//! Runs keyed requests at most once over all hosts.

use crate::{
    Gateway,
    problem::{Problem, Result},
};
use actix_web::{HttpResponse, http::StatusCode};
use bytes::Bytes;
use rail_member::Role;
use rail_platform::{Error, ObjectKind};
use rail_request::{
    Claim, ClaimCommand, ClaimEvent, ClaimHolder, ClaimRecord, ClaimReply, Fingerprint,
    HolderLiveness, RequestFailure, RequestRefusal, RequestRefusalReason, StoredOutcome,
};
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::oneshot;

/// Longest time that making a claim may take.
const CLAIM_LIMIT: Duration = Duration::from_secs(3);
/// Longest time between the arrival of a request and its run.
const RUN_LIMIT: Duration = Duration::from_secs(10);
/// Time after its deadline after which running work is given up.
const WORK_MARGIN: Duration = Duration::from_secs(1);
/// Longest time that an answer waits for its outcome to be stored.
const STORE_WAIT: Duration = Duration::from_secs(1);
/// Longest time for which storing an outcome is tried again.
const STORE_LIMIT: Duration = Duration::from_secs(600);
/// First and longest pause between tries of a platform call.
const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Looks for a claim left behind by a create without a reply; the pause doubles with each.
const CLEAN_LOOKS: u32 = 7;
/// First pause between those looks.
const CLEAN_PAUSE: Duration = Duration::from_millis(500);
/// When a caller should come back while no claim can be made.
const DENIED_RETRY: Duration = Duration::from_secs(1);
/// Age of a heartbeat above which its process counts as gone.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(3);
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A request that its caller keyed.
#[derive(Debug, Clone)]
pub struct Keyed {
    /// Scope and idempotency key.
    pub key: String,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time that the work may take.
    pub deadline: Duration,
}

/// Answer of a keyed request, ready to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

impl From<KeptAnswer> for HttpResponse {
    fn from(answer: KeptAnswer) -> Self {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Self::build(status);
        if let Some(content_type) = answer.content_type {
            response.insert_header(("content-type", content_type));
        }
        response.body(answer.body)
    }
}

/// Reads an idempotency key and puts it into its scope.
///
/// # Errors
/// Refuses keys that are empty, too long or not plain text.
pub fn scoped_key(scope: &str, value: &[u8]) -> Result<String> {
    match std::str::from_utf8(value) {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(format!("{scope}/{key}")),
        _ => Err(Problem::Body(format!("idempotency key must be 1 to {MAX_KEY_BYTES} bytes"))),
    }
}

/// Wall clock in milliseconds.
pub fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

impl Gateway {
    /// Runs the work unless another arrival of the key has claimed it.
    ///
    /// The work goes on and its outcome is stored when the caller leaves.
    ///
    /// # Errors
    /// [`Problem::NotRun`] when the claim can't be made, what is known about another arrival, or
    /// the problem of the work.
    pub async fn run_keyed(
        &self,
        keyed: Keyed,
        work: impl Future<Output = Result<KeptAnswer>> + 'static,
    ) -> Result<KeptAnswer> {
        let run = KeyedRun::new(self.clone(), keyed);
        let (sender, receiver) = oneshot::channel();
        actix_rt::spawn(async move {
            // The caller may have left; the outcome is stored all the same.
            let _left = sender.send(run.complete(work).await);
        });
        receiver.await.unwrap_or(Err(Problem::Failed(RequestFailure::UnknownOutcome)))
    }

    fn own_holder(&self) -> ClaimHolder {
        let mut incarnation = 0;
        self.gossip.update_own(|own| incarnation = own.incarnation);
        ClaimHolder { host: self.settings.host.clone(), incarnation }
    }

    fn sight_of(&self, holder: &ClaimHolder) -> HolderLiveness {
        if *holder == self.own_holder() {
            return HolderLiveness::Live;
        }
        let members = self.gossip.members();
        let known = members.iter().find(|(h, _)| h.role == Role::Gateway && h.host == holder.host);
        match known {
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

/// One arrival of a keyed request.
#[derive(Debug)]
struct KeyedRun {
    gateway: Gateway,
    claim: Claim,
    name: String,
}

impl KeyedRun {
    fn new(gateway: Gateway, keyed: Keyed) -> Self {
        let name = ClaimRecord::object_name(&keyed.key);
        let record = ClaimRecord {
            key: keyed.key,
            fingerprint: keyed.fingerprint,
            nonce: rand::random(),
            holder: gateway.own_holder(),
            created_at_ms: wall_clock_ms(),
            deadline_ms: keyed.deadline.as_millis() as u64,
            outcome: None,
        };
        Self { claim: Claim::new(record), gateway, name }
    }

    async fn complete(
        mut self,
        work: impl Future<Output = Result<KeptAnswer>>,
    ) -> Result<KeptAnswer> {
        let arrived_at = Instant::now();
        self.make_claim().await?;
        if arrived_at.elapsed() > RUN_LIMIT {
            // A process that was paused does not know whether its claim was collected since.
            let denied = self.deny();
            actix_rt::spawn(self.store(ClaimEvent::NotRun));
            return Err(denied);
        }
        self.count("claimed");
        let limit = Duration::from_millis(self.claim.record().deadline_ms) + WORK_MARGIN;
        let result = tokio::time::timeout(limit, work)
            .await
            .unwrap_or(Err(Problem::Failed(RequestFailure::UnknownOutcome)));
        let event = match &result {
            Ok(answer) => {
                let content_type = answer.content_type.clone();
                ClaimEvent::Ended(StoredOutcome::from_response(
                    answer.status,
                    content_type,
                    &answer.body,
                ))
            }
            Err(Problem::Failed(failed)) => ClaimEvent::Ended(StoredOutcome::Failed(*failed)),
            Err(_) => ClaimEvent::NotRun,
        };
        let storing = actix_rt::spawn(self.store(event));
        if tokio::time::timeout(STORE_WAIT, storing).await.is_err() {
            // The task goes on; the caller does not wait for it.
            log::debug!("outcome of a claim is not stored yet");
        }
        result
    }

    /// Makes the claim; returns when the work is to run.
    async fn make_claim(&mut self) -> Result<()> {
        let started = Instant::now();
        let mut command = self.step(ClaimEvent::Begin);
        loop {
            match command {
                ClaimCommand::Run => return Ok(()),
                ClaimCommand::Reply(reply) => return Err(self.refuse(reply)),
                ClaimCommand::Create(_) | ClaimCommand::Read => {}
                ClaimCommand::Deny { claim_may_exist: true } => {
                    actix_rt::spawn(clean_claim(self.gateway.clone(), self.claim.clone()));
                    return Err(self.deny());
                }
                _ => return Err(self.deny()),
            }
            let event = if started.elapsed() > CLAIM_LIMIT {
                ClaimEvent::GiveUp
            } else {
                self.call(&command).await
            };
            command = self.step(event);
        }
    }

    /// Stores how the work ended, for as long as it takes.
    async fn store(mut self, event: ClaimEvent) {
        let started = Instant::now();
        let mut pause = MIN_PAUSE;
        let mut command = self.step(event);
        while command != ClaimCommand::Close {
            let event = if started.elapsed() > STORE_LIMIT {
                self.count("not_stored");
                ClaimEvent::GiveUp
            } else {
                self.call(&command).await
            };
            if matches!(event, ClaimEvent::Lost | ClaimEvent::Refused) {
                actix_rt::time::sleep(pause.mul_f64(rand::random_range(1.0..2.0))).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
            command = self.step(event);
        }
    }

    fn step(&mut self, event: ClaimEvent) -> ClaimCommand {
        self.claim.handle(event).unwrap_or_else(|error| {
            self.count("undefined_event");
            log::error!("{error}");
            ClaimCommand::Close
        })
    }

    async fn call(&self, command: &ClaimCommand) -> ClaimEvent {
        let platform = &self.gateway.platform;
        let kind = ObjectKind::Claim;
        let written = match command {
            ClaimCommand::Create(record) => {
                platform.create(kind, &self.name, &to_json(record)).await.map(|o| o.version)
            }
            ClaimCommand::Store { record, version } => {
                let value = to_json(record);
                platform.update(kind, &self.name, &value, version).await.map(|o| o.version)
            }
            ClaimCommand::Release { version } => {
                platform.delete_version(&self.name, version).await.map(|()| version.clone())
            }
            _ => return self.read().await,
        };
        match written {
            Ok(version) => ClaimEvent::Written(version),
            Err(Error::AlreadyExists | Error::Conflict) => ClaimEvent::Taken,
            Err(Error::NotFound) => ClaimEvent::Missing,
            Err(error) => self.failed(&error),
        }
    }

    async fn read(&self) -> ClaimEvent {
        match self.gateway.platform.get(&self.name).await {
            Ok(object) => match serde_json::from_str::<ClaimRecord>(&object.value) {
                Ok(record) => {
                    let holder = self.gateway.sight_of(&record.holder);
                    ClaimEvent::Found { record, version: object.version, holder }
                }
                Err(_unreadable) => ClaimEvent::Lost,
            },
            Err(Error::NotFound) => ClaimEvent::Missing,
            Err(error) => self.failed(&error),
        }
    }

    fn failed(&self, error: &Error) -> ClaimEvent {
        self.count(error.reason());
        if error.is_effect_unknown() { ClaimEvent::Lost } else { ClaimEvent::Refused }
    }

    fn deny(&self) -> Problem {
        self.count("denied");
        RequestRefusal {
            reason: RequestRefusalReason::PlatformUnavailable,
            retry_after: DENIED_RETRY,
        }
        .into()
    }

    fn refuse(&self, reply: ClaimReply) -> Problem {
        let problem = match reply {
            ClaimReply::Stored(StoredOutcome::Answered { status, content_type, body }) => {
                Problem::Stored(KeptAnswer { status, content_type, body: body.into() })
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

/// Removes the claim of a denied arrival, whose create may take effect late.
async fn clean_claim(gateway: Gateway, claim: Claim) {
    let name = ClaimRecord::object_name(&claim.record().key);
    let mut pause = CLEAN_PAUSE;
    for _look in 0..CLEAN_LOOKS {
        actix_rt::time::sleep(pause).await;
        pause *= 2;
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

/// Writes a record; records hold only strings and numbers, which JSON always takes.
fn to_json(record: &ClaimRecord) -> String {
    serde_json::to_string(record).expect("records are plain data")
}
