//! Placement settings of this process.

use rail_admit::QueuePolicy;
use rail_place::{Objective, Policy};
use std::sync::OnceLock;

static SETTINGS: OnceLock<PlacementSettings> = OnceLock::new();

/// How engines of this process are placed and planned.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementSettings {
    /// Placement policy.
    pub policy: Policy,
    /// Weights of the deployment.
    pub objective: Objective,
    /// Rules of the queues.
    pub admission: QueuePolicy,
}

impl PlacementSettings {
    /// Sets the settings of this process; the first call counts.
    pub fn install(self) {
        SETTINGS.get_or_init(|| self);
    }

    /// Gives the settings of this process.
    pub fn current() -> Self {
        SETTINGS.get().copied().unwrap_or_default()
    }
}
