//! State machine that runs a request with an idempotency key at most once.
//!
//! A call creates the claim of its key on the platform before it runs the request. The claim's
//! nonce shows whether a create without a reply took effect. Afterwards the call stores the outcome
//! in the claim, or deletes the claim if the request did not run.

use crate::claim_record::{ClaimRecord, ClaimReply, HolderLiveness, StoredOutcome};
use rail_chart::{Chart, ChartError};
use serde::Deserialize;
use std::sync::LazyLock;

/// Result of an event of a claim.
pub type Result<T> = std::result::Result<T, ChartError>;

/// State of a claim, as named in `charts/claim.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// No platform call was made.
    Start,
    /// The claim is being created.
    Creating,
    /// The stored claim is being read.
    Reading,
    /// The request is running.
    Running,
    /// The outcome is being stored.
    Storing,
    /// The stored claim is being read to find out whether the outcome was stored.
    Checking,
    /// The claim of a request that did not run is being deleted.
    Releasing,
    /// Another call has made the claim; the reply was derived from it.
    Replied,
    /// The platform refused the claim or did not confirm it in time; the request does not run.
    Denied,
    /// Final state: the claim is complete or given up.
    Closed,
}

/// Kind of a [`ClaimEvent`], as named in `charts/claim.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEventKind {
    /// See [`ClaimEvent::Begin`].
    Begin,
    /// See [`ClaimEvent::Written`].
    Written,
    /// See [`ClaimEvent::Taken`].
    Taken,
    /// See [`ClaimEvent::Lost`].
    Lost,
    /// See [`ClaimEvent::Refused`].
    Refused,
    /// The read found this call's claim without an outcome.
    FoundOwn,
    /// The read found this call's claim with an outcome.
    FoundStored,
    /// The read found the claim of another call.
    FoundOther,
    /// See [`ClaimEvent::Missing`].
    Missing,
    /// See [`ClaimEvent::Ended`].
    Ended,
    /// See [`ClaimEvent::NotRun`].
    NotRun,
    /// See [`ClaimEvent::GiveUp`].
    GiveUp,
}

/// Event of a claim: the result of a platform call or of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The call arrived.
    Begin,
    /// The write took effect; carries the new version of the object.
    Written(String),
    /// The object exists already, or has another version than expected.
    Taken,
    /// The platform call had no usable reply; a write may have taken effect.
    Lost,
    /// The platform call had no effect.
    Refused,
    /// The read found a claim.
    Found {
        /// Stored claim.
        record: ClaimRecord,
        /// Version of the object.
        version: String,
        /// Liveness of its holder.
        holder: HolderLiveness,
    },
    /// The object does not exist.
    Missing,
    /// The request ended.
    Ended(StoredOutcome),
    /// The request did not run on any upstream.
    NotRun,
    /// The time limit for platform calls is exceeded.
    GiveUp,
}

/// Next action for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Create the claim, unless an object of its name exists.
    Create(ClaimRecord),
    /// Read the stored claim.
    Read,
    /// Run the request now, once.
    Run,
    /// Store the outcome, if the stored claim has this version.
    Store {
        /// Claim with the outcome.
        record: ClaimRecord,
        /// Expected version.
        version: String,
    },
    /// Delete the claim, if it has this version.
    Release {
        /// Expected version.
        version: String,
    },
    /// Reply to the caller according to the claim of another call.
    Reply(ClaimReply),
    /// Refuse the request, which did not run.
    Deny {
        /// Whether a create without a reply may have taken effect, or may still do so.
        claim_may_exist: bool,
    },
    /// Stop; there is nothing left to do.
    Close,
}

/// State machine of one call with an idempotency key.
#[derive(Debug, Clone)]
pub struct Claim {
    state: ClaimState,
    record: ClaimRecord,
    version: String,
    is_create_unconfirmed: bool,
}

/// Returns the state chart of claims.
pub fn claim_chart() -> &'static Chart<ClaimState, ClaimEventKind> {
    static CHART: LazyLock<Chart<ClaimState, ClaimEventKind>> = LazyLock::new(|| {
        Chart::parse(include_str!("../../../charts/claim.toml"))
            .expect("charts/claim.toml is a valid chart")
    });
    &CHART
}

impl Claim {
    /// Creates the machine of a call; the nonce of `record` must be unique to the call.
    pub fn new(record: ClaimRecord) -> Self {
        let state = claim_chart().initial();
        Self { state, record, version: String::new(), is_create_unconfirmed: false }
    }

    /// Returns the current state.
    pub fn state(&self) -> ClaimState {
        self.state
    }

    /// Returns the claim as this call stores it.
    pub fn record(&self) -> &ClaimRecord {
        &self.record
    }

    /// Handles an event and returns the next action.
    ///
    /// # Errors
    /// Returns an error and changes nothing if the chart does not define the event in this state.
    pub fn handle(&mut self, event: ClaimEvent) -> Result<ClaimCommand> {
        let previous = self.state;
        self.state = claim_chart().step(previous, self.kind_of(&event))?;
        self.is_create_unconfirmed |= previous == ClaimState::Creating && event == ClaimEvent::Lost;
        match event {
            ClaimEvent::Written(version) => self.version = version,
            ClaimEvent::Found { version, record, holder } => {
                if self.state == ClaimState::Replied {
                    return Ok(ClaimCommand::Reply(record.reply_to(&self.record, holder)));
                }
                self.version = version;
            }
            ClaimEvent::Ended(outcome) => self.record.outcome = Some(outcome),
            _ => {}
        }
        Ok(self.state_command())
    }

    /// Returns the chart event for an event of this claim.
    fn kind_of(&self, event: &ClaimEvent) -> ClaimEventKind {
        match event {
            ClaimEvent::Begin => ClaimEventKind::Begin,
            ClaimEvent::Written(_) => ClaimEventKind::Written,
            ClaimEvent::Taken => ClaimEventKind::Taken,
            ClaimEvent::Lost => ClaimEventKind::Lost,
            ClaimEvent::Refused => ClaimEventKind::Refused,
            ClaimEvent::Found { record, .. } if record.nonce != self.record.nonce => {
                ClaimEventKind::FoundOther
            }
            ClaimEvent::Found { record, .. } if record.outcome.is_some() => {
                ClaimEventKind::FoundStored
            }
            ClaimEvent::Found { .. } => ClaimEventKind::FoundOwn,
            ClaimEvent::Missing => ClaimEventKind::Missing,
            ClaimEvent::Ended(_) => ClaimEventKind::Ended,
            ClaimEvent::NotRun => ClaimEventKind::NotRun,
            ClaimEvent::GiveUp => ClaimEventKind::GiveUp,
        }
    }

    /// Returns the action that the current state requires.
    fn state_command(&self) -> ClaimCommand {
        match self.state {
            ClaimState::Creating => ClaimCommand::Create(self.record.clone()),
            ClaimState::Reading | ClaimState::Checking => ClaimCommand::Read,
            ClaimState::Running => ClaimCommand::Run,
            ClaimState::Storing => {
                let (record, version) = (self.record.clone(), self.version.clone());
                ClaimCommand::Store { record, version }
            }
            ClaimState::Releasing => ClaimCommand::Release { version: self.version.clone() },
            ClaimState::Denied => {
                ClaimCommand::Deny { claim_may_exist: self.is_create_unconfirmed }
            }
            ClaimState::Start | ClaimState::Replied | ClaimState::Closed => ClaimCommand::Close,
        }
    }
}
