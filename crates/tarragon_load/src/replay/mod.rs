//! Drives the placement decisions with a trace in virtual time.
//!
//! Not a model of the cluster: the decision crates that the processes embed
//! are called in the order of the trace. Only two times come from outside,
//! the store's load time and the engine's time of a token, both by the
//! formulas of the stand-ins; links take a fixed time.

mod engine;
mod router;
mod store;
mod tally;
mod world;

pub use world::replay;
