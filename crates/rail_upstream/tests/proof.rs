//! Tests of the decision which call a response belongs to.

use rail_upstream::proof::{
    Attribution::{Other, Own, Unproven},
    Evidence, attribute,
};

/// Guards against a response that is taken for that of another call, since it arrives where that
/// one's is due.
#[test]
fn a_response_is_taken_for_that_of_another_call() {
    // Sent id, answered id, refusal, first on its connection.
    let table = [
        (Some("a"), Some("a"), false, true, Own),
        (Some("a"), Some("a"), false, false, Own),
        (Some("a"), Some("a"), true, true, Own),
        (Some("a"), Some("a"), true, false, Own),
        (Some("a"), Some("b"), false, true, Other),
        (Some("a"), Some("b"), true, false, Other),
        (Some("a"), None, false, false, Own),
        (Some("a"), None, true, true, Own),
        (Some("a"), None, true, false, Unproven),
        (None, Some("b"), false, false, Other),
        (None, Some("b"), true, false, Other),
        (None, Some("b"), true, true, Own),
        (None, None, false, false, Own),
        (None, None, true, true, Own),
        (None, None, true, false, Unproven),
    ];
    for (sent_id, answered_id, is_refusal, is_first_on_connection, expected) in table {
        let evidence = Evidence { sent_id, answered_id, is_refusal, is_first_on_connection };
        assert_eq!(attribute(&evidence), expected, "{evidence:?}");
    }
}
