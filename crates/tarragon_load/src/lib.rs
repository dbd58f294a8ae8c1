//! Load and experiment tool.
//!
//! [`trace`] makes open-loop arrivals of a [`profile`] from a seed. [`replay`]
//! drives the placement decisions alone with them, in virtual time; [`run`]
//! sends them to a fleet of real processes. A [`report`] says which of the two
//! it is, [`page`] plots it and [`compare`] prints ratios.

pub mod belady;
pub mod compare;
pub mod flags;
pub mod page;
pub mod profile;
pub mod replay;
pub mod report;
pub mod run;
pub mod trace;
