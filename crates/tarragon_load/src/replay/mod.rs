//! Replays a trace through the placement decisions, in virtual time.
//!
//! The cluster is not modelled: the replay calls the decision crates that the processes embed, in
//! the order of the trace. Only the load time of the store and the token time of the engine are
//! simulated, both by the formulas of the stand-ins; links have a fixed latency.

mod engine;
mod metrics;
mod router;
mod simulation;
mod store;

pub use simulation::replay;
