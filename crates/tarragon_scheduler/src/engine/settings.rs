//! Placement settings of this process, set once at start-up.

use rail_admit::QueuePolicy;
use rail_place::{Objective, Policy};
use std::sync::OnceLock;

static SETTINGS: OnceLock<PlacementSettings> = OnceLock::new();

/// How this process queues requests and plans loads on its engines.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementSettings {
    /// Policy for placing adapters, from `--policy`.
    pub policy: Policy,
    /// Weights of the planner's objective, from `--weights`.
    pub objective: Objective,
    /// Order and limits of the queues, from `--admission`.
    pub admission: QueuePolicy,
}

impl PlacementSettings {
    /// Sets the settings of this process; only the first call has an effect.
    pub fn install(self) {
        SETTINGS.get_or_init(|| self);
    }

    /// Returns the settings of this process, or the defaults if none were installed.
    pub fn current() -> Self {
        SETTINGS.get().copied().unwrap_or_default()
    }
}
