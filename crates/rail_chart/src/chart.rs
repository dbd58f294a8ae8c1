//! Parser and interpreter of state charts.

use serde::{Deserialize, de::DeserializeOwned};
use std::{collections::BTreeMap, fmt::Debug};

/// Result of parsing a chart or of a transition.
pub type Result<T> = std::result::Result<T, ChartError>;

/// Reason why a chart is refused or a transition is not defined.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    /// The text is not a chart of the given states and events.
    #[error("chart is not readable: {0}")]
    Parse(#[from] toml::de::Error),
    /// The chart has two transitions for one pair of state and event.
    #[error("chart {chart} defines {event} in {state} twice")]
    Ambiguous {
        /// Name of the chart.
        chart: String,
        /// Debug form of the state.
        state: String,
        /// Debug form of the event.
        event: String,
    },
    /// The chart has no transition for this event in this state.
    #[error("chart {chart} does not define {event} in {state}")]
    Undefined {
        /// Name of the chart.
        chart: String,
        /// Debug form of the state.
        state: String,
        /// Debug form of the event.
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

/// Transitions of a state machine by state and event.
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
    /// Parses a chart from TOML text.
    ///
    /// # Errors
    /// Refuses text that is not a chart, and two transitions for one pair of state and event.
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

    /// Returns the state in which a machine starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state to which an event leads from the given state.
    ///
    /// # Errors
    /// Returns [`ChartError::Undefined`] when the chart has no transition for the pair.
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
