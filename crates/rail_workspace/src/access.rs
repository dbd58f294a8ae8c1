//! Whether a request may run for a workspace, by its key and the age of the configuration.

use crate::{
    credential::{CredentialError, Key},
    table::{KeyOwner, WorkspaceTable},
    workspace::Workspace,
};
use std::{sync::Arc, time::Duration};

/// Time by which the configuration must be younger than a bound, beside the error of its age.
const SAFETY_MARGIN: Duration = Duration::from_millis(100);
/// Shortest time after which a caller may try again while the configuration is too old.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time after which a caller may try again with a key that has moved to another workspace.
const MOVED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Ages of a copy of the configuration up to which it decides about keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyBounds {
    /// Age up to which a key that is not in the copy is unknown.
    pub addition: Duration,
    /// Age up to which a key that is in the copy is valid; `None` if it is at any age.
    pub revocation: Option<Duration>,
}

impl KeyBounds {
    /// Returns the bounds if an added key must work within `addition` of its acknowledgement, and a
    /// revoked one must fail within `revocation`. Stated ages may be too low by `age_error`.
    pub fn new(addition: Duration, revocation: Option<Duration>, age_error: Duration) -> Self {
        let margin = age_error + SAFETY_MARGIN;
        Self {
            addition: addition.saturating_sub(margin),
            revocation: revocation.map(|bound| bound.saturating_sub(margin)),
        }
    }
}

/// Why a request does not run for any workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The request has no key.
    Missing,
    /// The request has several keys or a malformed one.
    Malformed,
    /// No workspace has the key.
    Unknown,
    /// No workspace has the key, but it may have been added to a newer configuration.
    MaybeAdded {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// The key may have been revoked by a newer configuration.
    MaybeRevoked {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// The key has moved to another workspace since the request arrived.
    Moved,
    /// The entry of the workspace is invalid, or several workspaces have the key.
    Invalid,
}

impl KeyRefusal {
    /// Returns the time after which the caller may try again; `None` if that is of no use.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Missing | Self::Malformed | Self::Unknown => None,
            Self::MaybeAdded { retry_after } | Self::MaybeRevoked { retry_after } => {
                Some(retry_after)
            }
            Self::Moved => Some(MOVED_RETRY_AFTER),
            Self::Invalid => Some(MAX_RETRY_AFTER),
        }
    }
}

/// Decides for which workspace a request runs. `config_age` is the age of the configuration that
/// the table belongs to; `None` if the store never confirmed it.
///
/// # Errors
/// Returns why the request does not run.
pub fn decide<'a>(
    table: &'a WorkspaceTable,
    key: Result<Key<'_>, CredentialError>,
    config_age: Option<Duration>,
    bounds: &KeyBounds,
) -> Result<&'a Arc<Workspace>, KeyRefusal> {
    let key = key.map_err(|error| match error {
        CredentialError::Missing => KeyRefusal::Missing,
        CredentialError::Several | CredentialError::Malformed => KeyRefusal::Malformed,
    })?;
    match table.owner(key) {
        KeyOwner::Workspace(workspace) => {
            check_proof(config_age, bounds)?;
            Ok(workspace)
        }
        KeyOwner::Invalid => Err(KeyRefusal::Invalid),
        KeyOwner::Unknown => Err(match excess_age(config_age, bounds.addition) {
            None => KeyRefusal::Unknown,
            Some(excess) => KeyRefusal::MaybeAdded { retry_after: retry_after(excess) },
        }),
    }
}

/// Checks that a key which is in the configuration can't have been revoked for too long.
///
/// # Errors
/// [`KeyRefusal::MaybeRevoked`] if it can.
pub fn check_proof(config_age: Option<Duration>, bounds: &KeyBounds) -> Result<(), KeyRefusal> {
    let Some(revocation) = bounds.revocation else { return Ok(()) };
    match excess_age(config_age, revocation) {
        None => Ok(()),
        Some(excess) => Err(KeyRefusal::MaybeRevoked { retry_after: retry_after(excess) }),
    }
}

/// Decides again before a request is sent, by a configuration that was applied since it arrived.
///
/// # Errors
/// Returns why the request does not run any more.
pub fn decide_again(
    table: &WorkspaceTable,
    key: Result<Key<'_>, CredentialError>,
    config_age: Option<Duration>,
    bounds: &KeyBounds,
    workspace: &Workspace,
) -> Result<(), KeyRefusal> {
    let current = decide(table, key, config_age, bounds)?;
    if current.name == workspace.name { Ok(()) } else { Err(KeyRefusal::Moved) }
}

/// Returns by how much an age reaches beyond its bound; `None` if it does not.
fn excess_age(age: Option<Duration>, bound: Duration) -> Option<Duration> {
    match age {
        Some(age) if age < bound => None,
        Some(age) => Some(age.saturating_sub(bound)),
        None => Some(Duration::ZERO),
    }
}

/// A proof that has been missing for some time is expected to be missing for as long again.
fn retry_after(excess_age: Duration) -> Duration {
    excess_age.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
