//! Life cycle of an entry host: the phases that `charts/host.toml` defines.

use rail_chart::{Chart, ChartError};
use serde::Deserialize;

/// Result of applying an event.
pub type Result<T> = std::result::Result<T, ChartError>;

/// Phase in the life cycle of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No configuration is confirmed yet, so the host accepts no requests.
    Starting,
    /// Responses to entry host queries list the host.
    Serving,
    /// Responses no longer list the host, but callers may still use an earlier one that does.
    Leaving,
    /// The host accepts no new requests and finishes those in progress.
    Finishing,
    /// All requests have ended; the process may exit.
    Stopped,
}

/// Event that moves an entry host to another phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseEvent {
    /// A configuration was confirmed.
    Configured,
    /// The process was asked to shut down.
    Stop,
    /// The last response that may list the host has expired.
    LifetimeEnded,
    /// The last request has ended.
    Drained,
}

/// Current phase of a host and the chart that defines its transitions.
#[derive(Debug)]
pub struct HostPhase {
    chart: Chart<Phase, PhaseEvent>,
    phase: Phase,
}

impl HostPhase {
    /// Creates the state machine in the initial phase of the chart.
    ///
    /// # Panics
    /// Panics if the embedded chart is not valid; the tests parse the same file.
    pub fn start() -> Self {
        let text = include_str!("../../../charts/host.toml");
        let chart = Chart::parse(text).expect("embedded chart is valid");
        let phase = chart.initial();
        Self { chart, phase }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Applies an event and returns the phase that it leads to.
    ///
    /// # Errors
    /// Returns [`ChartError::Undefined`] when the chart does not define the event in the current
    /// phase, which then stays.
    pub fn step(&mut self, event: PhaseEvent) -> Result<Phase> {
        self.phase = self.chart.step(self.phase, event)?;
        Ok(self.phase)
    }
}

impl Phase {
    /// Reports whether the host announces to peers and callers that it is shutting down.
    pub fn is_leaving(self) -> bool {
        matches!(self, Self::Leaving | Self::Finishing | Self::Stopped)
    }
}
