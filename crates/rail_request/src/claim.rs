//! The machine that runs claimed work at most once.

use crate::claim_record::{ClaimRecord, ClaimReply, HolderLiveness, StoredOutcome};
use rail_chart::{Chart, ChartError};
use serde::Deserialize;
use std::sync::LazyLock;

/// Result of a step of a claim.
pub type Result<T> = std::result::Result<T, ChartError>;

/// States of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Nothing was sent.
    Start,
    /// The claim is being created.
    Creating,
    /// The stored claim is being read.
    Reading,
    /// The work is running.
    Running,
    /// The outcome is being written.
    Storing,
    /// The stored claim is being read after a write without a reply.
    Checking,
    /// The claim of work that did not run is being removed.
    Releasing,
    /// Another arrival holds the claim.
    Replied,
    /// The claim could not be made; nothing runs.
    Denied,
    /// Nothing is left to do.
    Closed,
}

/// Kinds of events of a claim.
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
    /// The own claim was found without an outcome.
    FoundOwn,
    /// The own claim was found with its outcome.
    FoundStored,
    /// The claim of another arrival was found.
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

/// What happened to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The request arrived.
    Begin,
    /// The write took effect and gave this version.
    Written(String),
    /// The object exists already, or has another version than expected.
    Taken,
    /// The reply was lost; a write may have taken effect.
    Lost,
    /// The call had no effect.
    Refused,
    /// The read found a claim.
    Found {
        /// Stored claim.
        record: ClaimRecord,
        /// Its version.
        version: String,
        /// What is known about its holder.
        holder: HolderLiveness,
    },
    /// No object has the name.
    Missing,
    /// The work ended.
    Ended(StoredOutcome),
    /// The work did not run on any upstream.
    NotRun,
    /// The time for the platform's answer is over.
    GiveUp,
}

/// What to do next for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Create the claim if its name is free.
    Create(ClaimRecord),
    /// Read the stored claim.
    Read,
    /// Run the work now, once.
    Run,
    /// Write the outcome if the stored claim has this version.
    Store {
        /// Claim with its outcome.
        record: ClaimRecord,
        /// Expected version.
        version: String,
    },
    /// Remove the claim if it has this version.
    Release {
        /// Expected version.
        version: String,
    },
    /// Answer from the claim of another arrival.
    Reply(ClaimReply),
    /// Refuse as not run.
    Deny {
        /// Whether a create without a reply may still leave a claim behind.
        claim_may_exist: bool,
    },
    /// Nothing is left to do.
    Close,
}

/// One arrival of a keyed request.
#[derive(Debug, Clone)]
pub struct Claim {
    state: ClaimState,
    record: ClaimRecord,
    version: String,
    lost_create: bool,
}

/// Gives the chart of claims.
pub fn claim_chart() -> &'static Chart<ClaimState, ClaimEventKind> {
    static CHART: LazyLock<Chart<ClaimState, ClaimEventKind>> = LazyLock::new(|| {
        Chart::parse(include_str!("../../../charts/claim.toml")).expect("embedded chart is valid")
    });
    &CHART
}

impl Claim {
    /// Prepares a claim with this record, whose nonce no other arrival has.
    pub fn new(record: ClaimRecord) -> Self {
        let state = claim_chart().initial();
        Self { state, record, version: String::new(), lost_create: false }
    }

    /// Gives the state.
    pub fn state(&self) -> ClaimState {
        self.state
    }

    /// Gives the claim as this arrival would store it.
    pub fn record(&self) -> &ClaimRecord {
        &self.record
    }

    /// Takes an event and gives what to do next.
    ///
    /// # Errors
    /// An event that the chart does not define changes nothing.
    pub fn handle(&mut self, event: ClaimEvent) -> Result<ClaimCommand> {
        let before = self.state;
        self.state = claim_chart().step(before, self.kind_of(&event))?;
        self.lost_create |= before == ClaimState::Creating && event == ClaimEvent::Lost;
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
        Ok(self.command())
    }

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

    fn command(&self) -> ClaimCommand {
        match self.state {
            ClaimState::Creating => ClaimCommand::Create(self.record.clone()),
            ClaimState::Reading | ClaimState::Checking => ClaimCommand::Read,
            ClaimState::Running => ClaimCommand::Run,
            ClaimState::Storing => {
                let (record, version) = (self.record.clone(), self.version.clone());
                ClaimCommand::Store { record, version }
            }
            ClaimState::Releasing => ClaimCommand::Release { version: self.version.clone() },
            ClaimState::Denied => ClaimCommand::Deny { claim_may_exist: self.lost_create },
            ClaimState::Start | ClaimState::Replied | ClaimState::Closed => ClaimCommand::Close,
        }
    }
}
