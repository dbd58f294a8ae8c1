//! Charts refuse what they do not define.

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

const HEAD: &str = "name = \"c\"\ninitial = \"idle\"\n";
const START: &str = "[[transition]]\nfrom = [\"idle\"]\nevent = \"start\"\nto = \"busy\"\n";

#[test]
fn an_undefined_pair_is_a_typed_error() {
    let chart = Chart::<State, Event>::parse(&format!("{HEAD}{START}")).expect("chart");
    assert_eq!(chart.step(State::Idle, Event::Start), Ok(State::Busy));
    assert!(matches!(chart.step(State::Busy, Event::Start), Err(ChartError::Undefined { .. })));
}

#[test]
fn a_pair_defined_twice_is_refused() {
    let chart = Chart::<State, Event>::parse(&format!("{HEAD}{START}{START}"));
    assert!(matches!(chart, Err(ChartError::Ambiguous { .. })));
}

#[test]
fn an_unknown_state_is_refused() {
    let text = format!("{HEAD}{}", START.replace("busy", "lost"));
    assert!(matches!(Chart::<State, Event>::parse(&text), Err(ChartError::Parse(_))));
}
