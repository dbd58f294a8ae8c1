//! Every phase of an entry host with every event.

use rail_chart::{Chart, ChartError};
use rail_member::{Phase, PhaseEvent};

#[test]
fn every_phase_takes_every_event_or_refuses_it() {
    use Phase::{Finishing, Leaving, Serving, Starting, Stopped};
    use PhaseEvent::{Configured, Drained, LifetimeEnded, Stop};
    let chart = Chart::<Phase, PhaseEvent>::parse(include_str!("../../../charts/host.toml"));
    let chart = chart.expect("chart is valid");
    let events = [Configured, Stop, LifetimeEnded, Drained];
    let table = [
        (Starting, [Some(Serving), Some(Leaving), None, None]),
        (Serving, [Some(Serving), Some(Leaving), None, None]),
        (Leaving, [Some(Leaving), Some(Leaving), Some(Finishing), None]),
        (Finishing, [Some(Finishing), Some(Finishing), None, Some(Stopped)]),
        (Stopped, [None, None, None, None]),
    ];
    for (phase, ends) in table {
        for (event, end) in events.into_iter().zip(ends) {
            match (chart.step(phase, event), end) {
                (Ok(reached), Some(end)) => assert_eq!(reached, end, "{phase:?} {event:?}"),
                (Err(ChartError::Undefined { .. }), None) => {}
                (other, _) => panic!("{phase:?} {event:?}: {other:?}"),
            }
        }
    }
}

#[test]
fn leaving_is_never_taken_back() {
    for event in [PhaseEvent::Configured, PhaseEvent::Stop] {
        let mut host = rail_member::HostPhase::start();
        host.step(PhaseEvent::Configured).expect("serving");
        assert!(!host.phase().is_leaving());
        host.step(PhaseEvent::Stop).expect("leaving");
        assert!(host.step(event).expect("still leaving").is_leaving());
    }
}
