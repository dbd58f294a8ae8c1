//! A parsed chart.

use serde::{Deserialize, de::DeserializeOwned};
use std::{collections::BTreeMap, fmt::Debug};

/// Result of reading or stepping a chart.
pub type Result<T> = std::result::Result<T, ChartError>;

/// Why a chart can't be read, or a step is not defined.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    /// The text is not a chart over these states and events.
    #[error("chart is not readable: {0}")]
    Parse(#[from] toml::de::Error),
    /// The chart defines one pair of state and event twice.
    #[error("chart {chart} defines {event} in {state} twice")]
    Ambiguous {
        /// Name of the chart.
        chart: String,
        /// State.
        state: String,
        /// Event.
        event: String,
    },
    /// The chart does not define this event in this state.
    #[error("chart {chart} does not define {event} in {state}")]
    Undefined {
        /// Name of the chart.
        chart: String,
        /// State.
        state: String,
        /// Event.
        event: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartText<S, E> {
    name: String,
    initial: S,
    #[serde(default = "Vec::new")]
    transition: Vec<TransitionText<S, E>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransitionText<S, E> {
    from: Vec<S>,
    event: E,
    to: S,
}

/// States, events and the transitions between them.
#[derive(Debug, Clone)]
pub struct Chart<S, E> {
    name: String,
    initial: S,
    transitions: BTreeMap<(S, E), S>,
}

impl<S, E> Chart<S, E>
where
    S: Copy + Ord + Debug + DeserializeOwned,
    E: Copy + Ord + Debug + DeserializeOwned,
{
    /// Reads a chart from TOML text.
    ///
    /// # Errors
    /// Refuses text that is not a chart, and pairs that are defined twice.
    pub fn parse(text: &str) -> Result<Self> {
        let ChartText { name, initial, transition } = toml::from_str(text)?;
        let mut transitions = BTreeMap::new();
        for TransitionText { from, event, to } in transition {
            for state in from {
                if transitions.insert((state, event), to).is_some() {
                    let (state, event) = (format!("{state:?}"), format!("{event:?}"));
                    return Err(ChartError::Ambiguous { chart: name, state, event });
                }
            }
        }
        Ok(Self { name, initial, transitions })
    }

    /// Gives the state in which a machine starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Gives the state to which an event leads.
    ///
    /// # Errors
    /// [`ChartError::Undefined`] when the chart does not define the pair.
    pub fn step(&self, state: S, event: E) -> Result<S> {
        self.transitions.get(&(state, event)).copied().ok_or_else(|| ChartError::Undefined {
            chart: self.name.clone(),
            state: format!("{state:?}"),
            event: format!("{event:?}"),
        })
    }

    /// Iterates over all transitions as state, event and next state.
    pub fn transitions(&self) -> impl Iterator<Item = (S, E, S)> {
        self.transitions.iter().map(|((state, event), next)| (*state, *event, *next))
    }
}
