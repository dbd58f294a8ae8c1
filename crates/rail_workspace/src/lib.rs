//! Workspaces that share a deployment.
//!
//! A [`Workspace`] is a group of callers with a priority and a [`Quota`] over all hosts together.
//! [`WorkspaceTable`] finds it by the [`Key`] of a request, and [`access`] decides by the age of
//! the configuration whether the key counts. [`HostQuotas`] is what one host uses of the quotas,
//! and [`QuotaIssuer`] deducts it for all hosts.
//! The caller passes in the current time; nothing here does I/O or reads a clock.

pub mod access;
pub mod account;
pub mod credential;
pub mod issuer;
pub mod labels;
pub mod message;
pub mod quota;
pub mod table;
pub mod workspace;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        access::{KeyBounds, KeyRefusal},
        account::{Charge, HostQuotas, IssuerCall, Shortage, WaitingCharge},
        credential::{CredentialError, Key},
        issuer::{IssuerCandidate, QuotaIssuer, rank_issuers},
        labels::WorkspaceLabels,
        message::{AccountDecision, AccountRequest, HostKey, IssuerTime, QuotaReply, QuotaRequest},
        quota::{Quota, QuotaMargin, QuotaTolerance, QuotaUnit},
        table::{
            KeyOwner, WorkspaceEntry, WorkspaceError, WorkspaceFault, WorkspaceTable,
            WorkspaceTerms,
        },
        workspace::{Workspace, WorkspaceName},
    };
}
pub use prelude::*;
