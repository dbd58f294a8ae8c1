//! Workspaces of one configuration, found by the keys of their callers.

use crate::{
    credential::{CredentialError, Key},
    quota::Quota,
    workspace::{Workspace, WorkspaceName},
};
use ring::hmac;
use std::{
    collections::{BTreeMap, HashMap, hash_map::Entry},
    fmt,
    sync::Arc,
};

/// Bytes of a digest that are kept; two keys share a digest with a probability of 2^-128.
const DIGEST_BYTES: usize = 16;

/// Result of reading the entry of a workspace.
pub type Result<T> = std::result::Result<T, WorkspaceError>;

/// Why the entry of a workspace can't be used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum WorkspaceError {
    /// A field is missing or has another type.
    #[error("workspace is not readable: {0}")]
    Unreadable(String),
    /// The quota counts something unknown.
    #[error("workspace has the unknown unit {0}")]
    UnknownUnit(String),
    /// This part of the quota is not a number from 0 to [`MAX_QUOTA`](crate::table::MAX_QUOTA).
    #[error("workspace has the impossible {0} {1}")]
    ImpossibleQuota(&'static str, f64),
    /// Another workspace has the same name.
    #[error("several workspaces have this name")]
    DoubledName,
    /// Another workspace has one of the keys.
    #[error("a key also belongs to workspace {0}")]
    DoubledKey(WorkspaceName),
    /// No caller can send one of the keys.
    #[error("a key is empty, too long or not of visible ASCII characters")]
    MalformedKey,
}

/// Greatest rate and burst of a quota, in units.
pub const MAX_QUOTA: f64 = 1e12;

/// What a workspace may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceTerms {
    /// Priority of its requests; `None` keeps that of the route.
    pub priority: Option<u8>,
    /// Limit of its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Entry of a workspace in a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceEntry<'a> {
    /// Name of the workspace.
    pub name: &'a str,
    /// Keys of its callers, or why no caller can send them.
    pub keys: Vec<std::result::Result<Key<'a>, CredentialError>>,
    /// Its terms, or why they can't be used.
    pub terms: Result<WorkspaceTerms>,
}

/// A fault in the entry of a workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceFault {
    /// Name of the workspace; empty if it has none.
    pub workspace: WorkspaceName,
    /// The fault.
    pub error: WorkspaceError,
}

/// Owner of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyOwner<'a> {
    /// The key belongs to this workspace.
    Workspace(&'a Arc<Workspace>),
    /// The key is known, but the entry of its workspace is invalid or another one has the key too.
    Invalid,
    /// No workspace has the key.
    Unknown,
}

type KeyDigest = [u8; DIGEST_BYTES];

/// Owner of a key within a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerIndex {
    Workspace(u32),
    Several,
}

/// A workspace of a table; `is_valid` is false if its entry can't be used.
#[derive(Debug)]
struct Row {
    workspace: Arc<Workspace>,
    is_valid: bool,
}

/// All workspaces of one configuration. Keys are kept as digests under a secret of the table, so
/// that the time of a lookup shows nothing about a key.
pub struct WorkspaceTable {
    secret: hmac::Key,
    owners: HashMap<KeyDigest, OwnerIndex>,
    rows: Vec<Row>,
    faults: Vec<WorkspaceFault>,
}

impl WorkspaceTable {
    /// Creates a table from all entries of a configuration. `secret` must be random.
    pub fn new(secret: [u8; 32], entries: Vec<WorkspaceEntry<'_>>) -> Self {
        let key_count = entries.iter().map(|entry| entry.keys.len()).sum();
        let mut table = Self {
            secret: hmac::Key::new(hmac::HMAC_SHA256, &secret),
            owners: HashMap::with_capacity(key_count),
            rows: Vec::with_capacity(entries.len()),
            faults: Vec::new(),
        };
        let mut name_counts = BTreeMap::<&str, u32>::new();
        for entry in &entries {
            *name_counts.entry(entry.name).or_default() += 1;
        }
        for entry in entries {
            let is_doubled = name_counts.get(entry.name).is_some_and(|count| *count > 1);
            let terms = if is_doubled { Err(WorkspaceError::DoubledName) } else { entry.terms };
            table.insert(entry.name, &entry.keys, terms);
        }
        table
    }

    fn insert(
        &mut self,
        name: &str,
        keys: &[std::result::Result<Key<'_>, CredentialError>],
        terms: Result<WorkspaceTerms>,
    ) {
        let name = WorkspaceName::from(name);
        let is_valid = terms.is_ok();
        let terms = terms.unwrap_or_else(|error| {
            self.record_fault(&name, error);
            WorkspaceTerms { priority: None, quota: None }
        });
        let WorkspaceTerms { priority, quota } = terms;
        let workspace = Arc::new(Workspace { name: Arc::clone(&name), priority, quota });
        let index = self.rows.len() as u32;
        self.rows.push(Row { workspace, is_valid });
        for key in keys {
            match key {
                Ok(key) => self.insert_key(&name, *key, index),
                Err(_malformed) => self.record_fault(&name, WorkspaceError::MalformedKey),
            }
        }
    }

    fn insert_key(&mut self, name: &WorkspaceName, key: Key<'_>, index: u32) {
        let own = OwnerIndex::Workspace(index);
        let other = match self.owners.entry(digest(&self.secret, key)) {
            Entry::Vacant(entry) => {
                entry.insert(own);
                return;
            }
            Entry::Occupied(entry) if *entry.get() == own => return,
            Entry::Occupied(mut entry) => entry.insert(OwnerIndex::Several),
        };
        let other_name = match other {
            OwnerIndex::Workspace(other) => Arc::clone(&self.rows[other as usize].workspace.name),
            OwnerIndex::Several => WorkspaceName::from("another"),
        };
        self.record_fault(name, WorkspaceError::DoubledKey(other_name));
    }

    fn record_fault(&mut self, name: &WorkspaceName, error: WorkspaceError) {
        self.faults.push(WorkspaceFault { workspace: Arc::clone(name), error });
    }

    /// Finds the owner of a key.
    pub fn owner(&self, key: Key<'_>) -> KeyOwner<'_> {
        match self.owners.get(&digest(&self.secret, key)) {
            None => KeyOwner::Unknown,
            Some(OwnerIndex::Several) => KeyOwner::Invalid,
            Some(OwnerIndex::Workspace(index)) => match &self.rows[*index as usize] {
                Row { workspace, is_valid: true } => KeyOwner::Workspace(workspace),
                Row { is_valid: false, .. } => KeyOwner::Invalid,
            },
        }
    }

    /// Returns the workspaces with a valid entry, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.rows.iter().filter(|row| row.is_valid).map(|row| &row.workspace)
    }

    /// Returns the faults of all entries.
    pub fn faults(&self) -> &[WorkspaceFault] {
        &self.faults
    }

    /// Adds the fault of an entry that is in no row, as it has no name or no readable keys.
    pub fn push_fault(&mut self, fault: WorkspaceFault) {
        self.faults.push(fault);
    }
}

impl fmt::Debug for WorkspaceTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkspaceTable")
            .field("rows", &self.rows)
            .field("keys", &self.owners.len())
            .finish_non_exhaustive()
    }
}

fn digest(secret: &hmac::Key, key: Key<'_>) -> KeyDigest {
    let tag = hmac::sign(secret, key.as_bytes());
    let mut digest = KeyDigest::default();
    digest.copy_from_slice(&tag.as_ref()[..DIGEST_BYTES]);
    digest
}
