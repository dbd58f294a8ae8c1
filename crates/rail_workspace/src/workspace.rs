//! A workspace as the configuration describes it.

use crate::quota::Quota;
use std::sync::Arc;

/// Name of a workspace in the configuration and towards upstreams.
pub type WorkspaceName = Arc<str>;

/// A group of callers that share keys, a priority and a quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name, unique in a configuration.
    pub name: WorkspaceName,
    /// Priority of its requests in place of their route's, 0 is the highest; `None` keeps the
    /// route's.
    pub priority: Option<u8>,
    /// Limit of its requests over all hosts together; `None` if there is none.
    pub quota: Option<Quota>,
}
