//! Witnesses of sessions: confirmations for holders, promises for revokers.

use crate::record::{SessionId, SessionRecord, Witness};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Reply of a witness to a request.
pub type Result<T> = std::result::Result<T, WitnessRefusal>;

/// Maximum number of witnesses of a session; always odd.
pub const MAX_WITNESSES: usize = 5;

/// Reason why a witness refuses a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    thiserror::Error,
)]
pub enum WitnessRefusal {
    /// The witness can reach the platform.
    #[error("platform_reachable")]
    PlatformReachable,
    /// The witness promised not to confirm this renewal.
    #[error("pledged")]
    #[serde(rename = "Pledged")]
    Promised,
    /// The witness confirmed the session within the last time to live.
    #[error("confirmed")]
    Confirmed,
    /// The addressed process was replaced by another one at the same address.
    #[error("replaced")]
    Replaced,
}

/// Question to a witness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessQuestion {
    /// A holder requests a confirmation that the witness can't reach the platform either.
    Confirm,
    /// A revoker requests the promise not to confirm this renewal any more.
    #[serde(rename = "Pledge")]
    Promise {
        /// Time to live of the session.
        ttl: Duration,
    },
    /// A revoker checks whether the addressed process still runs.
    Identify,
}

/// Request to one incarnation of a witness process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRequest {
    /// Session of the addressed process; identifies its incarnation.
    pub witness: SessionId,
    /// Session that the request concerns.
    pub session_id: SessionId,
    /// Renewal that the request concerns.
    pub renewals: u64,
    /// Question to the witness.
    pub question: WitnessQuestion,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Commitments {
    confirmed_at: Option<Duration>,
    promised_renewals: Option<u64>,
}

/// Confirmations and promises of one process, stored in memory only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SessionWitness {
    commitments: BTreeMap<SessionId, Commitments>,
}

impl SessionWitness {
    /// Answers a request that arrived at the process with session `own_id`.
    ///
    /// # Errors
    /// Refuses a request to another incarnation; otherwise see [`Self::confirm`] and
    /// [`Self::promise`].
    pub fn answer(
        &mut self,
        own_id: SessionId,
        request: WitnessRequest,
        is_platform_reachable: bool,
        now: Duration,
    ) -> Result<()> {
        let WitnessRequest { witness, session_id, renewals, question } = request;
        if witness != own_id {
            return Err(WitnessRefusal::Replaced);
        }
        match question {
            WitnessQuestion::Confirm => {
                self.confirm(session_id, renewals, is_platform_reachable, now)
            }
            WitnessQuestion::Promise { ttl } => self.promise(session_id, renewals, ttl, now),
            WitnessQuestion::Identify => Ok(()),
        }
    }

    /// Confirms to a holder that this process can't reach the platform.
    ///
    /// # Errors
    /// Refuses when the platform is reachable, or after a promise about this renewal or a
    /// later one.
    pub fn confirm(
        &mut self,
        session_id: SessionId,
        renewals: u64,
        is_platform_reachable: bool,
        now: Duration,
    ) -> Result<()> {
        if is_platform_reachable {
            return Err(WitnessRefusal::PlatformReachable);
        }
        let commitments = self.commitments.entry(session_id).or_default();
        if commitments.promised_renewals.is_some_and(|promised| renewals <= promised) {
            return Err(WitnessRefusal::Promised);
        }
        commitments.confirmed_at = Some(now);
        Ok(())
    }

    /// Promises to a revoker not to confirm this renewal any more.
    ///
    /// # Errors
    /// Refuses within one time to live after the last confirmation of the session.
    pub fn promise(
        &mut self,
        session_id: SessionId,
        renewals: u64,
        ttl: Duration,
        now: Duration,
    ) -> Result<()> {
        let commitments = self.commitments.entry(session_id).or_default();
        if commitments.confirmed_at.is_some_and(|last_confirmed_at| now < last_confirmed_at + ttl) {
            return Err(WitnessRefusal::Confirmed);
        }
        commitments.promised_renewals = commitments.promised_renewals.max(Some(renewals));
        Ok(())
    }

    /// Keeps only the sessions for which `keep` returns true; drops those that have ended.
    pub fn retain(&mut self, keep: impl Fn(SessionId) -> bool) {
        self.commitments.retain(|id, _| keep(*id));
    }
}

/// Returns the number of witnesses that form a majority; 0 of 0.
pub fn majority(witnesses: usize) -> usize {
    match witnesses {
        0 => 0,
        count => count / 2 + 1,
    }
}

/// Chooses an odd number of witnesses for session `own`, spread over zones, other zones first.
pub fn choose_witnesses(own: &SessionRecord, live: &[SessionRecord]) -> Vec<Witness> {
    let mut zones = BTreeMap::<(bool, &str), Vec<&SessionRecord>>::new();
    for other in
        live.iter().filter(|session| session.session_id != own.session_id && !session.leaving)
    {
        zones.entry((other.zone == own.zone, &other.zone)).or_default().push(other);
    }
    let rounds = zones.values().map(Vec::len).max().unwrap_or(0);
    let by_round = (0..rounds)
        .flat_map(|round| zones.values().filter_map(move |zone_sessions| zone_sessions.get(round)));
    let mut chosen: Vec<Witness> = by_round
        .take(MAX_WITNESSES)
        .map(|session| Witness { session_id: session.session_id, address: session.address })
        .collect();
    if chosen.len().is_multiple_of(2) {
        chosen.pop();
    }
    chosen.sort_unstable();
    chosen
}
