//! Which call of a connection a response belongs to.
//!
//! A faulty upstream may write a response too many on a connection, late or as the copy of an earlier
//! refusal. Such a response names the request that it belonged to, or none.

/// The call that awaits a response, and what identifies the response.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence<'a> {
    /// Id of the request that awaits the response; `None` for a call without one.
    pub sent_id: Option<&'a str>,
    /// Id of the request that the response names.
    pub answered_id: Option<&'a str>,
    /// Whether the response states that its request did not run.
    pub is_refusal: bool,
    /// Whether no other response came before on the connection.
    pub is_first_on_connection: bool,
}

/// Call to which a response belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// The call that awaits it.
    Own,
    /// Another call.
    Other,
    /// The call that awaits it or an earlier one.
    Unproven,
}

/// Decides to which call a response belongs.
pub fn attribute(evidence: &Evidence<'_>) -> Attribution {
    let Some(answered_id) = evidence.answered_id else {
        let may_be_copy = evidence.is_refusal && !evidence.is_first_on_connection;
        return if may_be_copy { Attribution::Unproven } else { Attribution::Own };
    };
    match evidence.sent_id {
        // An id is not sent on a connection on which it was refused, so there it names only one send.
        Some(sent_id) if sent_id == answered_id => Attribution::Own,
        // There was no other call on the connection.
        None if evidence.is_first_on_connection => Attribution::Own,
        Some(_) | None => Attribution::Other,
    }
}
