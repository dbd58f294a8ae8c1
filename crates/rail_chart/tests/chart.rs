//! Errors of charts: undefined, ambiguous and unknown transitions.

use rail_chart::{Chart, ChartError};
use serde::Deserialize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Idle,
    Busy,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Event {
    Start,
}

const HEADER: &str = "name = \"c\"\ninitial = \"idle\"\n";
const START_TRANSITION: &str =
    "[[transition]]\nfrom = [\"idle\"]\nevent = \"start\"\nto = \"busy\"\n";

#[test]
fn a_pair_without_a_transition_is_a_typed_error() {
    let chart =
        Chart::<State, Event>::parse(&format!("{HEADER}{START_TRANSITION}")).expect("chart");
    assert_eq!(chart.step(State::Idle, Event::Start), Ok(State::Busy));
    assert!(matches!(chart.step(State::Busy, Event::Start), Err(ChartError::Undefined { .. })));
}

#[test]
fn two_transitions_for_one_pair_are_refused() {
    let chart =
        Chart::<State, Event>::parse(&format!("{HEADER}{START_TRANSITION}{START_TRANSITION}"));
    assert!(matches!(chart, Err(ChartError::Ambiguous { .. })));
}

#[test]
fn an_unknown_state_is_refused() {
    let text = format!("{HEADER}{}", START_TRANSITION.replace("busy", "lost"));
    assert!(matches!(Chart::<State, Event>::parse(&text), Err(ChartError::Parse(_))));
}
