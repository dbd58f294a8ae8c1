//! What happens to a request: its types, outcomes and reasons.
//!
//! [`WorkOrder`] is what a gateway submits to the owner of an engine;
//! [`WorkEvent`]s come back. [`RequestRefusal`] is only ever said when no byte of the
//! request reached an upstream, or the upstream refused it before running.
//! [`Request`] decides attempts, retries and the outcome of one request,
//! [`Claim`] runs a keyed request at most once over all hosts, [`LoadBalancer`]
//! chooses among the instances of a plain service, and
//! [`QuarantineRecord`] holds back requests that crash their upstreams.

pub mod claim;
pub mod claim_record;
pub mod fingerprint;
pub mod load_balancer;
pub mod outcome;
pub mod quarantine;
pub mod request;
pub mod retry;
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
        quarantine::{QuarantineDecision, QuarantineRecord, TrialId},
        request::{
            Request, RequestCommand, RequestEvent, RequestEventKind, RequestOutcome, RequestState,
            request_chart,
        },
        retry::{RetryBudget, RetryCause},
        work::{RequestId, WorkEvent, WorkOrder},
    };
}
pub use prelude::*;
