//! Load generator and placement benchmark.
//!
//! [`trace`] generates open-loop arrivals of a [`profile`] from a seed. [`replay`] passes them to
//! the placement decisions alone, in virtual time; [`run`] sends them to a fleet of real
//! processes. A [`report`] names the method that produced it, [`page`] plots it and [`compare`]
//! prints the ratios of two reports.

pub mod belady;
pub mod compare;
pub mod flags;
pub mod page;
pub mod profile;
pub mod replay;
pub mod report;
pub mod run;
pub mod trace;
