//! Decides whether a response body is whole, from its framing, how it ended and, for a stream of
//! events, where.

use http::{
    Method, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    response::Parts,
};

/// How a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// The head states the length.
    Length,
    /// The body comes in chunks, of which the last is empty.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing of the response with this head to a request with this method.
    pub fn of(method: &Method, head: &Parts) -> Self {
        let has_no_body = method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body {
            Self::Empty
        } else if header_contains(head, TRANSFER_ENCODING, "chunked") {
            Self::Chunked
        } else if head.headers.contains_key(TRANSFER_ENCODING) {
            Self::UntilClose
        } else if head.headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// Returns the name of the framing in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// How reading a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// At the end that the framing marks.
    Marked,
    /// The upstream closed the connection in order, and the framing marks no other end.
    Closed,
    /// The connection was reset, or ended before the end that the framing marks.
    Lost,
    /// The reader stopped because the body, or one event of it, exceeded its size limit.
    TooLarge,
}

impl BodyEnd {
    /// Returns the name of the end in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Closed => "closed",
            Self::Lost => "lost",
            Self::TooLarge => "too_large",
        }
    }
}

/// What the content of a body says about its completeness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyContent {
    /// Bytes whose meaning is not known.
    Opaque,
    /// A stream of events that has no event yet.
    NoEvents,
    /// A stream that ended after an event.
    WholeEvents,
    /// A stream that ended within an event.
    CutEvent,
    /// A stream or document that is complete in itself, such as one with a final event.
    SelfContained,
    /// A stream or document that lacks the end that it must have.
    Unfinished,
}

/// What is known about a body that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// The body is complete.
    Whole,
    /// The end of the connection is the only sign that the body is complete. It also ends so when
    /// the upstream's process ends.
    Unproven,
    /// The body is not complete.
    BrokenOff,
}

impl Completeness {
    /// Decides whether a body is complete.
    pub fn of(end: BodyEnd, content: BodyContent) -> Self {
        match (end, content) {
            (_, BodyContent::SelfContained) => Self::Whole,
            (_, BodyContent::CutEvent | BodyContent::Unfinished)
            | (BodyEnd::Lost | BodyEnd::TooLarge, _)
            | (BodyEnd::Closed, BodyContent::NoEvents) => Self::BrokenOff,
            (BodyEnd::Closed, BodyContent::Opaque | BodyContent::WholeEvents) => Self::Unproven,
            (BodyEnd::Marked, _) => Self::Whole,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Unproven => "unproven",
            Self::BrokenOff => "broken_off",
        }
    }
}

/// Returns whether a header, a list of tokens, contains this one.
pub(crate) fn header_contains(head: &Parts, name: http::header::HeaderName, token: &str) -> bool {
    let values = head.headers.get_all(name);
    values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}
