//! What happens to a request: its types, outcomes and reasons.
//!
//! [`WorkOrder`] is what a gateway submits to the owner of an engine;
//! [`WorkEvent`]s come back. [`NotRun`] is only ever said when no byte of the
//! request reached an upstream, or the upstream refused it before running.
//! [`Request`] decides attempts, retries and the outcome of one request,
//! [`Claim`] runs a keyed request at most once over all hosts, [`Balance`]
//! chooses among the instances of a plain service, and
//! [`QuarantineRecord`] holds back requests that crash their upstreams.

pub mod balance;
pub mod claim;
pub mod claim_record;
pub mod fingerprint;
pub mod outcome;
pub mod quarantine;
pub mod request;
pub mod retry;
pub mod work;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        balance::{Balance, CallEnd},
        claim::{Claim, ClaimCommand, ClaimEvent, ClaimEventKind, ClaimState, claim_chart},
        claim_record::{
            ClaimHolder, ClaimNonce, ClaimRecord, ClaimReply, HolderSight, StoredOutcome,
        },
        fingerprint::Fingerprint,
        outcome::{Failed, NotRun, NotRunReason},
        quarantine::{CrashVerdict, QuarantineRecord, TrialId},
        request::{
            Ending, Request, RequestCommand, RequestEvent, RequestEventKind, RequestState,
            request_chart,
        },
        retry::{RetryBudget, RetryCause},
        work::{RequestId, WorkEvent, WorkOrder},
    };
}
pub use prelude::*;
