//! How response bodies are framed and how they end.

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
        } else if crate::pool::header_contains(head, TRANSFER_ENCODING, "chunked") {
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
}

impl BodyEnd {
    /// Returns the name of the end in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Closed => "closed",
            Self::Lost => "lost",
        }
    }
}
