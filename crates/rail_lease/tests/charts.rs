//! Transitions of the session and ownership charts: every state with every event.

use rail_lease::{
    OwnershipEvent, OwnershipState, SessionEvent, SessionState, ownership_chart, session_chart,
};

#[test]
fn every_session_state_has_its_defined_transition_for_every_event() {
    use SessionEvent::{Confirmed, Expired, Paused, Renewed, Revoked};
    use SessionState::{Corroborated, Ended, InForce, Joining, Lapsed, Suspended};
    let transitions = [
        (Joining, [Some(InForce), Some(Joining), None, Some(Joining), Some(Ended)]),
        (InForce, [InForce, Lapsed, Corroborated, Suspended, Ended].map(Some)),
        (Corroborated, [InForce, Lapsed, Corroborated, Suspended, Ended].map(Some)),
        (Lapsed, [InForce, Lapsed, Corroborated, Suspended, Ended].map(Some)),
        (Suspended, [InForce, Suspended, Suspended, Suspended, Ended].map(Some)),
        (Ended, [None, None, None, None, Some(Ended)]),
    ];
    for (state, expected) in transitions {
        let events = [Renewed, Expired, Confirmed, Paused, Revoked];
        let next_states = events.map(|event| session_chart().step(state, event).ok());
        assert_eq!(next_states, expected, "{state:?}");
    }
}

#[test]
fn every_ownership_state_has_its_defined_transition_for_every_event() {
    use OwnershipEvent as Event;
    use OwnershipState::{Foreign, HandingOver, Held, Taken};
    let transitions = [
        (Foreign, [Some(Taken), None, None, Some(Foreign)]),
        (Taken, [Some(Taken), Some(Held), Some(HandingOver), Some(Foreign)]),
        (Held, [None, Some(Held), Some(HandingOver), Some(Foreign)]),
        (HandingOver, [None, Some(HandingOver), Some(HandingOver), Some(Foreign)]),
    ];
    for (state, expected) in transitions {
        let events = [Event::Taken, Event::Fenced, Event::Leaving, Event::Lost];
        let next_states = events.map(|event| ownership_chart().step(state, event).ok());
        assert_eq!(next_states, expected, "{state:?}");
    }
}
