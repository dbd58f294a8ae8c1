//! State charts in TOML and their interpreter.
//!
//! A chart lists which event leads from which state to which. The states and
//! events are enums of the embedding crate, read by their `serde` names, so a
//! chart that names an unknown state does not parse. A pair that the chart
//! does not define is a typed error, which the embedding process counts.
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
