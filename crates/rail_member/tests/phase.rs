//! Transitions of the entry host life cycle: every phase with every event.

use rail_chart::{Chart, ChartError};
use rail_member::{Phase, PhaseEvent};

#[test]
fn every_pair_of_phase_and_event_has_its_defined_transition_or_none() {
    use Phase::{Finishing, Leaving, Serving, Starting, Stopped};
    use PhaseEvent::{Configured, Drained, LifetimeEnded, Stop};
    let chart = Chart::<Phase, PhaseEvent>::parse(include_str!("../../../charts/host.toml"));
    let chart = chart.expect("chart is valid");
    let events = [Configured, Stop, LifetimeEnded, Drained];
    let transitions = [
        (Starting, [Some(Serving), Some(Leaving), None, None]),
        (Serving, [Some(Serving), Some(Leaving), None, None]),
        (Leaving, [Some(Leaving), Some(Leaving), Some(Finishing), None]),
        (Finishing, [Some(Finishing), Some(Finishing), None, Some(Stopped)]),
        (Stopped, [None, None, None, None]),
    ];
    for (phase, expected_phases) in transitions {
        for (event, expected) in events.into_iter().zip(expected_phases) {
            match (chart.step(phase, event), expected) {
                (Ok(next), Some(expected)) => assert_eq!(next, expected, "{phase:?} {event:?}"),
                (Err(ChartError::Undefined { .. }), None) => {}
                (other, _) => panic!("{phase:?} {event:?}: {other:?}"),
            }
        }
    }
}

#[test]
fn no_event_returns_a_leaving_host_to_service() {
    for event in [PhaseEvent::Configured, PhaseEvent::Stop] {
        let mut host = rail_member::HostPhase::start();
        host.step(PhaseEvent::Configured).expect("serving");
        assert!(!host.phase().is_leaving());
        host.step(PhaseEvent::Stop).expect("leaving");
        assert!(host.step(event).expect("still leaving").is_leaving());
    }
}
