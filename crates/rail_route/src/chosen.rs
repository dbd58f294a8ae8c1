//! Who chose the upstream of an attempt.

/// Who chose the upstream of an attempt, which tells whose requests were counted there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChosenBy {
    /// This host, which knows its own requests.
    Host,
    /// The dispatcher of the service, which counts those of all hosts.
    Dispatcher,
    /// The owner of the engine, which counts those of all hosts.
    Owner,
    /// This host, since no owner of the engine could be reached.
    HostWithoutOwner,
}

impl ChosenBy {
    /// Returns the name as it appears in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Dispatcher => "dispatcher",
            Self::Owner => "owner",
            Self::HostWithoutOwner => "host_without_owner",
        }
    }
}
