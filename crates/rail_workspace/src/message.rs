//! Messages between a host and the issuer of the quotas.

use serde::{Deserialize, Serialize};

/// 64-bit hash of a host's name, which stands for the name in messages.
pub type HostKey = u64;

/// A time on the clock of one process of an issuer. A host returns the last one that it received,
/// so the issuer knows how old the host's pledge is, however long the message was on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuerTime {
    /// Identity of the process.
    pub process: u64,
    /// Milliseconds on its clock.
    pub at_ms: u64,
}

/// Reports what a host has used of the quotas, and requests room for requests that wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Host that asks.
    pub host: HostKey,
    /// Orders the messages of a host, over its restarts.
    pub sequence: u64,
    /// Time in the last reply that the host received from this issuer.
    pub heard: Option<IssuerTime>,
    /// Time after `heard` in which the host asks no other issuer, in milliseconds; 0 ends the
    /// pledge.
    pub pledge_ms: u32,
    /// Accounts with something to deduct or to request.
    pub accounts: Vec<AccountRequest>,
}

/// What a host has used of one quota, and what it needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRequest {
    /// Name of the workspace.
    pub workspace: String,
    /// Units that the host has used on credit.
    pub spent: u64,
    /// Units that the waiting requests cost.
    pub waiting: u64,
    /// Units without which the first waiting request can't go on; 0 if none waits.
    pub needed: u64,
}

/// Reply of an issuer to a [`QuotaRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Time of the reply.
    pub time: IssuerTime,
    /// Decisions in the order of the request's accounts.
    pub decisions: Vec<AccountDecision>,
}

/// Decision of an issuer on one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountDecision {
    /// Units that the issuer has deducted from the quota for the host.
    pub paid: u64,
    /// Time after which the host may ask again, in milliseconds, if the first waiting request is
    /// refused.
    pub retry_ms: Option<u32>,
}
