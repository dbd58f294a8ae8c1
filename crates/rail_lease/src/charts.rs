//! States and events of sessions and ownership, and the charts of their transitions.

use rail_chart::Chart;
use serde::Deserialize;
use std::sync::LazyLock;

/// State of a session from the point of view of its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionState {
    /// The holder has no acknowledged record yet.
    Joining,
    /// The last renewal is younger than the time to live.
    InForce,
    /// The time to live has passed, and a majority of the witnesses confirmed that they can't reach
    /// the platform either.
    Corroborated,
    /// The time to live has passed without confirmations of a majority.
    Lapsed,
    /// The process was paused for longer than its margin and has not renewed since.
    Suspended,
    /// The session was revoked, by another process or by its holder.
    Ended,
}

/// Event in the life of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionEvent {
    /// A renewal was acknowledged.
    Renewed,
    /// The time to live has passed since the last acknowledged renewal.
    Expired,
    /// A majority of the witnesses confirmed that they can't reach the platform.
    Confirmed,
    /// The process did not run for longer than its pause margin.
    Paused,
    /// The stored record is revoked or deleted.
    Revoked,
}

/// State of the ownership of one resource from the point of view of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipState {
    /// Another process or no process owns the resource.
    Foreign,
    /// The stored record names this session, but the resource has not yet received the new fencing
    /// number.
    Taken,
    /// Owned; orders may be sent while the session is valid.
    Held,
    /// The process is shutting down and finishes the work in progress on the resource.
    HandingOver,
}

/// Event in the ownership of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipEvent {
    /// The stored record names this session.
    Taken,
    /// The resource received the new fencing number.
    Fenced,
    /// The process is shutting down.
    Leaving,
    /// The stored record names another session, or the resource was released.
    Lost,
}

/// State chart of a session.
pub type SessionChart = Chart<SessionState, SessionEvent>;
/// State chart of the ownership of one resource.
pub type OwnershipChart = Chart<OwnershipState, OwnershipEvent>;

static SESSION_CHART: LazyLock<SessionChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/session.toml")).expect("embedded chart is valid")
});
static OWNERSHIP_CHART: LazyLock<OwnershipChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../charts/ownership.toml")).expect("embedded chart is valid")
});

/// Returns the chart in `charts/session.toml`.
pub fn session_chart() -> &'static SessionChart {
    &SESSION_CHART
}

/// Returns the chart in `charts/ownership.toml`.
pub fn ownership_chart() -> &'static OwnershipChart {
    &OWNERSHIP_CHART
}
