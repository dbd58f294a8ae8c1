//! Choice of the instances of plain services under uneven load.
//!
//! One host dispatches a service for all hosts: [`rank_dispatchers`] names it, and its
//! [`Dispatcher`] tracks every run in progress, queues requests while no instance has room, and
//! refuses what can't start in time. [`WorkTime`] learns how long work takes on an instance from
//! the ends of runs ([`RunEnd`]) and from the [`Pace`] that instances report. [`RunKnowledge`] limits
//! how far it fills instances that can't turn many requests away. Without a dispatcher a host chooses by what it has seen itself ([`UpstreamLoads`]).
//!
//! The caller passes in the current time; nothing here does I/O or reads a clock.

pub mod dispatcher;
pub mod instance;
pub mod loads;
pub mod pace;
pub mod queue;
pub mod rank;
pub mod room;
pub mod run_end;
pub mod work_time;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        dispatcher::{Arrival, Dispatcher, RunId, RunRequest},
        instance::{InstanceStatus, SpeedChange},
        loads::{LoadGuard, UpstreamLoads},
        pace::{LoadReport, Pace},
        rank::rank_dispatchers,
        room::{DispatcherStanding, RoomRule, RunKnowledge, may_send_uncounted},
        run_end::{RunEnd, RunOutcome},
        work_time::{SpeedClass, WorkTime},
    };
}
pub use prelude::*;
