//! Shares of an engine's work among workspaces, while not all of it can be done.
//!
//! Load pattern: one workspace sends many times its usual, and more prompts wait than the engine can
//! read in time. Requests of workspaces that were granted clearly more than their share lately give way
//! to all others. Shares are by tokens and by weight; what others leave can be used by anybody.

use std::{collections::HashMap, time::Duration};

/// 64-bit hash of the name of a workspace.
pub type WorkspaceKey = u64;

/// Time in which granted work loses half of its importance.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Factor by which a workspace must exceed its share before it gives way.
const TOLERANCE: f64 = 1.25;
/// Tokens that each workspace may use on top, so that one large prompt is not taken for a large demand.
const FREE_TOKENS: f64 = 10_000.0;
/// Time without a request after which a workspace has no share.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Workspace of a request, with the weight of its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkShare {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Weight among all workspaces; greater than 0.
    pub weight: u32,
}

/// Work that was granted to a workspace lately.
#[derive(Debug, Clone, Copy)]
struct GrantedWork {
    tokens: f64,
    weight: f64,
    updated_at: Duration,
    requested_at: Duration,
}

impl GrantedWork {
    fn tokens_at(&self, now: Duration) -> f64 {
        decayed(self.tokens, self.updated_at, now)
    }

    fn add(&mut self, tokens: u32, now: Duration) {
        self.tokens = self.tokens_at(now) + f64::from(tokens);
        self.updated_at = now;
    }
}

/// Returns how much work of an earlier time still counts.
fn decayed(tokens: f64, since: Duration, now: Duration) -> f64 {
    let half_lives = now.saturating_sub(since).as_secs_f64() / HALF_LIFE.as_secs_f64();
    tokens * (-half_lives).exp2()
}

/// Work that was granted to all workspaces lately.
#[derive(Debug, Default)]
pub(super) struct WorkShares {
    granted: HashMap<WorkspaceKey, GrantedWork>,
    pruned_at: Duration,
}

/// Work of all workspaces at some time, to which that of one is compared.
#[derive(Debug, Clone, Copy)]
pub(super) struct TotalWork {
    tokens: f64,
    weight: f64,
    at: Duration,
}

impl WorkShares {
    /// Records that a workspace requests work, so that it has a share.
    pub(super) fn record_request(&mut self, share: WorkShare, now: Duration) {
        let weight = f64::from(share.weight.max(1));
        let new = GrantedWork { tokens: 0.0, weight, updated_at: now, requested_at: now };
        let known = self.granted.entry(share.workspace).or_insert(new);
        (known.weight, known.requested_at) = (weight, now);
        if now >= self.pruned_at + IDLE_TIME {
            self.pruned_at = now;
            self.granted.retain(|_, work| now < work.requested_at + IDLE_TIME);
        }
    }

    /// Records work that is granted to a workspace.
    pub(super) fn record_grant(&mut self, share: WorkShare, tokens: u32, now: Duration) {
        if let Some(work) = self.granted.get_mut(&share.workspace) {
            work.add(tokens, now);
        }
    }

    /// Takes back work that was granted at a time and not done.
    pub(super) fn give_back(
        &mut self,
        share: WorkShare,
        tokens: u32,
        granted_at: Duration,
        now: Duration,
    ) {
        if let Some(work) = self.granted.get_mut(&share.workspace) {
            let left = work.tokens_at(now) - decayed(tokens.into(), granted_at, now);
            (work.tokens, work.updated_at) = (left.max(0.0), now);
        }
    }

    /// Returns the work of all workspaces.
    pub(super) fn total(&self, now: Duration) -> TotalWork {
        let works = self.granted.values();
        TotalWork {
            tokens: works.clone().map(|work| work.tokens_at(now)).sum(),
            weight: works.map(|work| work.weight).sum(),
            at: now,
        }
    }

    /// Returns whether a workspace has been granted clearly more than its share.
    pub(super) fn is_exceeded(&self, share: Option<WorkShare>, total: &TotalWork) -> bool {
        let work = share.and_then(|share| self.granted.get(&share.workspace));
        work.is_some_and(|work| {
            let fair = total.tokens * work.weight / total.weight;
            work.tokens_at(total.at) > fair * TOLERANCE + FREE_TOKENS
        })
    }
}
