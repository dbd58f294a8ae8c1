//! Sizes and traffic of the deployments.

use rail_place::StoreLimits;
use serde::Serialize;
use std::{str::FromStr, time::Duration};

/// Name that is not known.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not known; expected one of {1}")]
pub struct UnknownName(String, &'static str);

/// Sizes and traffic of one deployment.
#[derive(Debug, Clone, Serialize)]
pub struct Profile {
    /// Name.
    pub name: &'static str,
    /// Engines.
    pub engines: usize,
    /// Adapter slots of each engine.
    pub slots: usize,
    /// Requests that an engine runs at once.
    pub batch: usize,
    /// Registered adapters.
    pub adapters: usize,
    /// Exponent of the Zipf popularity.
    pub zipf_exponent: f64,
    /// Arrivals of urgent requests.
    pub urgent: Traffic,
    /// Arrivals of deferrable requests.
    pub deferrable: Traffic,
    /// Time of one token.
    pub token: Duration,
    /// Loads a second that the store allows.
    pub loads_per_s: f64,
    /// Loads at once at full speed.
    pub at_once: u32,
    /// Loads in flight at full speed.
    pub in_flight: u32,
    /// Time of one load at full speed.
    pub load: Duration,
    /// Weights of load stalls and full batches.
    pub weights: (f64, f64),
    /// Time before measuring starts.
    pub warm_up: Duration,
    /// Time measured.
    pub measured: Duration,
}

/// Arrivals of one class.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Traffic {
    /// Mean arrivals a second.
    pub rate_per_s: f64,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Time until the answer is of no use.
    pub deadline: Duration,
}

/// Change of the traffic or the fleet at half of the measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shift {
    /// Nothing changes.
    None,
    /// Popularity is dealt anew.
    Reshuffle,
    /// An unpopular adapter gets many urgent requests for a minute.
    FlashCrowd,
    /// One engine starts cold.
    ColdRestart,
    /// The owner of the load budget is replaced.
    PermitOwner,
    /// Urgent work falls to a quarter and deferrable work grows by half.
    Night,
}

impl Profile {
    /// Gives the limits of the store, with tokens kept for urgent loads.
    pub fn store_limits(&self, urgent_reserve: f64) -> StoreLimits {
        StoreLimits {
            rate_per_s: self.loads_per_s,
            burst: f64::from(self.at_once),
            in_flight: self.in_flight as usize,
            urgent_reserve,
        }
    }

    /// Multiplies all arrival rates.
    pub fn scale_rates(&mut self, factor: f64) {
        self.urgent.rate_per_s *= factor;
        self.deferrable.rate_per_s *= factor;
    }

    /// Gives the moment of the shift.
    pub fn shift_at(&self) -> Duration {
        self.warm_up + self.measured / 2
    }

    /// Gives the end of the arrivals.
    pub fn end(&self) -> Duration {
        self.warm_up + self.measured
    }

    fn utility() -> Self {
        Self {
            name: "utility",
            engines: 10,
            slots: 8,
            batch: 8,
            adapters: 3000,
            zipf_exponent: 1.2,
            urgent: Traffic { rate_per_s: 4.0, tokens: 24, deadline: Duration::from_secs(30) },
            deferrable: Traffic { rate_per_s: 4.0, tokens: 48, deadline: Duration::from_secs(600) },
            token: Duration::from_millis(20),
            loads_per_s: 2.0,
            at_once: 2,
            in_flight: 16,
            load: Duration::from_millis(250),
            weights: (2.0, 1.0),
            warm_up: Duration::from_secs(600),
            measured: Duration::from_secs(1800),
        }
    }

    fn cooperative() -> Self {
        Self {
            name: "cooperative",
            engines: 20,
            urgent: Traffic { rate_per_s: 8.0, tokens: 32, deadline: Duration::from_secs(30) },
            deferrable: Traffic {
                rate_per_s: 24.0,
                tokens: 96,
                deadline: Duration::from_secs(600),
            },
            loads_per_s: 9.0,
            at_once: 4,
            in_flight: 32,
            weights: (1.0, 2.0),
            ..Self::utility()
        }
    }
}

impl FromStr for Profile {
    type Err = UnknownName;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "utility" => Ok(Self::utility()),
            "cooperative" => Ok(Self::cooperative()),
            _ => Err(UnknownName(s.to_owned(), "utility, cooperative")),
        }
    }
}

impl FromStr for Shift {
    type Err = UnknownName;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "none" => Ok(Self::None),
            "reshuffle" => Ok(Self::Reshuffle),
            "flash-crowd" => Ok(Self::FlashCrowd),
            "cold-restart" => Ok(Self::ColdRestart),
            "permit-owner" => Ok(Self::PermitOwner),
            "night" => Ok(Self::Night),
            _ => Err(UnknownName(
                s.to_owned(),
                "none, reshuffle, flash-crowd, cold-restart, permit-owner, night",
            )),
        }
    }
}
