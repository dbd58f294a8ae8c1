//! Placement: which engine should run a request, and which adapters it keeps.
//!
//! [`rank_engines`] orders candidates by rendezvous hash. [`Residency`]
//! decides what an engine loads and evicts and never picks an adapter that is
//! in use. [`LoadBudget`] keeps loads within the weight store's rate.

pub mod budget;
pub mod rendezvous;
pub mod residency;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        budget::LoadBudget,
        rendezvous::rank_engines,
        residency::{Admission, Residency},
    };
}
pub use prelude::*;
