//! Request processing without I/O: messages, outcomes, retries, idempotency claims and quarantine.
//!
//! A gateway submits a [`WorkOrder`] to the owner of an engine and receives [`WorkEvent`]s.
//! [`RequestRefusal`] is reported only if no byte of the request reached an upstream, or if the
//! upstream refused the request before running it.
//!
//! * [`Request`] is the state machine of one request: attempts, retries and the outcome.
//! * [`Claim`] is the state machine that runs a request with an idempotency key at most once over
//!   all hosts.
//! * [`LoadBalancer`] chooses among the instances of a plain service.
//! * [`QuarantineRecord`] keeps requests that crash their upstreams from running again;
//!   [`QuarantineTable`] keeps such records on hosts that tell each other.

pub mod claim;
pub mod claim_record;
pub mod fingerprint;
pub mod load_balancer;
pub mod outcome;
pub mod quarantine;
pub mod quarantine_decision;
pub mod quarantine_key;
pub mod quarantine_table;
pub mod request;
pub mod retry;
mod upstream_ends;
pub mod work;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        claim::{Claim, ClaimCommand, ClaimEvent, ClaimEventKind, ClaimState, claim_chart},
        claim_record::{
            ClaimHolder, ClaimNonce, ClaimRecord, ClaimReply, HolderLiveness, StoredOutcome,
        },
        fingerprint::Fingerprint,
        load_balancer::{CallOutcome, LoadBalancer},
        outcome::{RequestFailure, RequestRefusal, RequestRefusalReason},
        quarantine::{
            EndProof, QuarantineDecision, QuarantineRecord, TrialId, TrialIsolation, UpstreamEnd,
        },
        quarantine_decision::{
            KeysDecision, LostRun, RecordNews, TableChange, TrialDecision, TrialRun,
        },
        quarantine_key::{KeyKind, QuarantineKey, SoundParts},
        quarantine_table::QuarantineTable,
        request::{
            Request, RequestCommand, RequestEvent, RequestEventKind, RequestOutcome, RequestState,
            request_chart,
        },
        retry::{RetryBudget, RetryCause},
        work::{RequestId, WorkEvent, WorkOrder},
    };
}
pub use prelude::*;
