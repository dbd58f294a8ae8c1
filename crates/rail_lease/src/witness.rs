//! The witness's side: confirmations for holders, pledges for revokers.

use crate::record::{SessionId, SessionRecord, Witness};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Result of a request to a witness.
pub type Result<T> = std::result::Result<T, WitnessRefusal>;

/// Most witnesses that a session names; always odd.
pub const MAX_WITNESSES: usize = 5;

/// Why a witness refuses.
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
    /// The witness reaches the platform.
    #[error("platform_reachable")]
    PlatformReachable,
    /// The witness has pledged against this renewal.
    #[error("pledged")]
    #[serde(rename = "Pledged")]
    Promised,
    /// The witness confirmed for this session within the time to live.
    #[error("confirmed")]
    Confirmed,
    /// The asked incarnation is gone; another process has its address.
    #[error("replaced")]
    Replaced,
}

/// What a process asks of a witness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessQuestion {
    /// A holder: is the platform away from you too?
    Confirm,
    /// A revoker: will you confirm nothing more for this renewal?
    #[serde(rename = "Pledge")]
    Promise {
        /// Time to live of the session.
        ttl: Duration,
    },
    /// A revoker: do you still run?
    Identify,
}

/// A question to one incarnation of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRequest {
    /// Incarnation that is asked.
    pub witness: SessionId,
    /// Session that the question is about.
    pub session_id: SessionId,
    /// Renewal that the question is about.
    pub renewals: u64,
    /// Question.
    pub question: WitnessQuestion,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Given {
    confirmed_at: Option<Duration>,
    pledged_renewals: Option<u64>,
}

/// What one process has confirmed and pledged; kept in memory only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SessionWitness {
    given: BTreeMap<SessionId, Given>,
}

impl SessionWitness {
    /// Answers a request that reached the process with session `own_id`.
    ///
    /// # Errors
    /// Refuses what was asked of another incarnation, and as the single questions do.
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

    /// Confirms to a holder that the platform can't be reached from here.
    ///
    /// # Errors
    /// Refuses when the platform is reachable, or after a pledge against this renewal or a later one.
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
        let given = self.given.entry(session_id).or_default();
        if given.pledged_renewals.is_some_and(|pledged| renewals <= pledged) {
            return Err(WitnessRefusal::Promised);
        }
        given.confirmed_at = Some(now);
        Ok(())
    }

    /// Pledges to a revoker to confirm nothing more for this renewal.
    ///
    /// # Errors
    /// Refuses within a time to live of the last confirmation for the session.
    pub fn promise(
        &mut self,
        session_id: SessionId,
        renewals: u64,
        ttl: Duration,
        now: Duration,
    ) -> Result<()> {
        let given = self.given.entry(session_id).or_default();
        if given.confirmed_at.is_some_and(|confirmed| now < confirmed + ttl) {
            return Err(WitnessRefusal::Confirmed);
        }
        given.pledged_renewals = given.pledged_renewals.max(Some(renewals));
        Ok(())
    }

    /// Forgets sessions that have ended.
    pub fn retain(&mut self, keep: impl Fn(SessionId) -> bool) {
        self.given.retain(|id, _| keep(*id));
    }
}

/// Gives the number of witnesses that decide.
pub fn majority(witnesses: usize) -> usize {
    match witnesses {
        0 => 0,
        count => count / 2 + 1,
    }
}

/// Chooses an odd number of witnesses for `me`, spread over zones, other zones first.
pub fn choose_witnesses(me: &SessionRecord, live: &[SessionRecord]) -> Vec<Witness> {
    let mut zones = BTreeMap::<(bool, &str), Vec<&SessionRecord>>::new();
    for other in live.iter().filter(|s| s.session_id != me.session_id && !s.leaving) {
        zones.entry((other.zone == me.zone, &other.zone)).or_default().push(other);
    }
    let rounds = zones.values().map(Vec::len).max().unwrap_or(0);
    let by_round = (0..rounds).flat_map(|round| zones.values().filter_map(move |z| z.get(round)));
    let mut chosen: Vec<Witness> = by_round
        .take(MAX_WITNESSES)
        .map(|s| Witness { session_id: s.session_id, address: s.address })
        .collect();
    if chosen.len().is_multiple_of(2) {
        chosen.pop();
    }
    chosen.sort_unstable();
    chosen
}
