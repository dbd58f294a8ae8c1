//! Hedged requests: a second attempt beside one that takes unusually long.
//!
//! [`AnswerTimes`] measures how long the answers to the requests of each route take, and from that
//! after which time an answer counts as slow. [`HedgeBudget`] limits second attempts to a share of
//! the requests. [`may_hedge`] decides on one request, and [`Race`] which of its two attempts
//! answers the caller. The caller passes in the current time; nothing here does I/O or reads a
//! clock.

pub mod answer_times;
pub mod budget;
pub mod decision;
pub mod race;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        answer_times::AnswerTimes,
        budget::{HedgeBudget, HedgeShare},
        decision::{HedgeInputs, NoHedge, may_hedge},
        race::{AttemptEnd, Race, RaceStep, Racer},
    };
}
pub use prelude::*;
