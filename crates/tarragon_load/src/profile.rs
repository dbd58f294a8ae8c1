//! Sizes and traffic of the deployments that are simulated or receive generated load.

use rail_place::StoreLimits;
use serde::Serialize;
use std::{str::FromStr, time::Duration};

/// Name of a profile or shift that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown name {0:?}; expected one of {1}")]
pub struct UnknownName(String, &'static str);

/// Sizes and traffic of one deployment.
#[derive(Debug, Clone, Serialize)]
pub struct Profile {
    /// Name in `--profile` and in reports.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Adapter slots of each engine.
    pub slots: usize,
    /// Requests that an engine runs at once.
    pub batch: usize,
    /// Number of registered adapters.
    pub adapters: usize,
    /// Exponent of the Zipf distribution of requests over adapters.
    pub zipf_exponent: f64,
    /// Arrivals of urgent requests.
    pub urgent: Traffic,
    /// Arrivals of deferrable requests.
    pub deferrable: Traffic,
    /// Time to generate one token.
    pub token: Duration,
    /// Loads a second that the store allows.
    pub loads_per_s: f64,
    /// Loads that may start at once, the burst of the rate limit.
    pub at_once: u32,
    /// Loads in flight above which each takes longer in proportion.
    pub in_flight: u32,
    /// Time of one load at full speed.
    pub load: Duration,
    /// Default weights of load stalls and of full batches in the placement objective.
    pub weights: (f64, f64),
    /// Time before the measurement, whose requests are not counted.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub measured: Duration,
}

/// Arrivals of one urgency class.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Traffic {
    /// Mean arrivals a second.
    pub rate_per_s: f64,
    /// Tokens of one response.
    pub tokens: u32,
    /// Time from the arrival to the deadline of the request.
    pub deadline: Duration,
}

/// Change of the traffic or the fleet in the middle of the measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shift {
    /// Nothing changes.
    None,
    /// The popularity ranks are assigned to other adapters.
    Reshuffle,
    /// An unpopular adapter receives many urgent requests for a minute.
    FlashCrowd,
    /// One engine restarts with no adapter loaded.
    ColdRestart,
    /// The owner of the load budget is replaced, and its state is lost.
    PermitOwner,
    /// Urgent arrivals fall to a quarter and deferrable arrivals grow by half.
    Night,
}

impl Profile {
    /// Returns the limits of the weight store; `urgent_reserve` tokens are reserved for urgent
    /// loads.
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

    /// Returns the time of the shift, from the start of the trace.
    pub fn shift_at(&self) -> Duration {
        self.warm_up + self.measured / 2
    }

    /// Returns the time of the last arrivals, from the start of the trace.
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
