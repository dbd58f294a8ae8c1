//! Phases of an entry host, as the chart `charts/host.toml` defines them.

use rail_chart::{Chart, ChartError};
use serde::Deserialize;

/// Result of a step.
pub type Result<T> = std::result::Result<T, ChartError>;

/// Phase of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No configuration is known yet.
    Starting,
    /// Entry-host answers name it.
    Serving,
    /// No answer names it any more, but callers may still hold one that does.
    Leaving,
    /// It takes no new requests and finishes those in progress.
    Finishing,
    /// Every request has ended.
    Stopped,
}

/// What moves an entry host between phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseEvent {
    /// A configuration is confirmed.
    Configured,
    /// The process was asked to stop.
    Stop,
    /// The last answer that may name the host has expired.
    LifetimeEnded,
    /// The last request has ended.
    Drained,
}

/// Current phase with the chart that moves it.
#[derive(Debug)]
pub struct HostPhase {
    chart: Chart<Phase, PhaseEvent>,
    phase: Phase,
}

impl HostPhase {
    /// Opens the chart in its initial phase.
    ///
    /// # Panics
    /// Never with the chart that is built in, which the tests read.
    pub fn start() -> Self {
        let text = include_str!("../../../charts/host.toml");
        let chart = Chart::parse(text).expect("embedded chart is valid");
        let phase = chart.initial();
        Self { chart, phase }
    }

    /// Gives the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes one event and gives the phase after it.
    ///
    /// # Errors
    /// [`ChartError::Undefined`] when the event makes no sense in this phase, which stays.
    pub fn step(&mut self, event: PhaseEvent) -> Result<Phase> {
        self.phase = self.chart.step(self.phase, event)?;
        Ok(self.phase)
    }
}

impl Phase {
    /// Reports whether peers and callers are told that the host is leaving.
    pub fn is_leaving(self) -> bool {
        matches!(self, Self::Leaving | Self::Finishing | Self::Stopped)
    }
}
