//! State charts of sessions and ownership.

use rail_chart::Chart;
use serde::Deserialize;
use std::sync::LazyLock;

/// State of a session as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionState {
    /// The record is not known to exist.
    Joining,
    /// The last renewal is younger than the time to live.
    InForce,
    /// The platform is away and a majority of the witnesses confirmed it.
    Corroborated,
    /// Past the time to live, without a majority.
    Lapsed,
    /// The process was paused and has not renewed since.
    Suspended,
    /// The session was revoked or given up.
    Ended,
}

/// What happens to a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionEvent {
    /// A renewal was acknowledged.
    Renewed,
    /// The time to live has passed.
    Expired,
    /// A majority of the witnesses confirmed that the platform is away.
    Confirmed,
    /// The process did not run for longer than its margin.
    Paused,
    /// The platform holds a record that ends the session.
    Revoked,
}

/// State of the ownership of one resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipState {
    /// Another process owns it, or none.
    Foreign,
    /// Taken, but its resource has not met the new fencing number.
    Taken,
    /// Owned; orders may be given while the session is in force.
    Held,
    /// The process is leaving and finishes what is in progress.
    HandingOver,
}

/// What happens to an ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipEvent {
    /// The platform holds a record that names this session.
    Taken,
    /// The resource met the new fencing number.
    Fenced,
    /// The process is leaving.
    Leaving,
    /// The platform holds a record that names another session, or a release.
    Lost,
}

/// Chart of a session.
pub type SessionChart = Chart<SessionState, SessionEvent>;
/// Chart of an ownership.
pub type OwnershipChart = Chart<OwnershipState, OwnershipEvent>;

static SESSION: LazyLock<SessionChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/session.toml")).expect("embedded chart is readable")
});
static OWNERSHIP: LazyLock<OwnershipChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/ownership.toml"))
        .expect("embedded chart is readable")
});

/// Gives the chart of a session.
pub fn session_chart() -> &'static SessionChart {
    &SESSION
}

/// Gives the chart of an ownership.
pub fn ownership_chart() -> &'static OwnershipChart {
    &OWNERSHIP
}
