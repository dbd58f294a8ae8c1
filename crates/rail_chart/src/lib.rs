//! State charts in TOML and their interpreter.
//!
//! A chart lists the transitions of a state machine: which event leads from which state to which
//! other one. States and events are enums of the crate that uses the chart, parsed by their `serde`
//! names, so a chart with an unknown state is refused. A pair of state and event without a
//! transition is a typed error, which the process that runs the machine counts.
//!
//! ```
//! use serde::Deserialize;
//!
//! #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
//! #[serde(rename_all = "snake_case")]
//! enum Door { Open, Closed }
//!
//! #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
//! #[serde(rename_all = "snake_case")]
//! enum Push { Shut }
//!
//! let text = r#"
//!     name = "door"
//!     initial = "open"
//!     [[transition]]
//!     from = ["open"]
//!     event = "shut"
//!     to = "closed"
//! "#;
//! let chart = rail_chart::Chart::<Door, Push>::parse(text).unwrap();
//! assert_eq!(chart.step(chart.initial(), Push::Shut).unwrap(), Door::Closed);
//! assert!(chart.step(Door::Closed, Push::Shut).is_err());
//! ```

pub mod chart;

/// Commonly used items.
pub mod prelude {
    pub use crate::chart::{Chart, ChartError, Result};
}
pub use prelude::*;
