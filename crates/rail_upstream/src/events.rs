//! Splits a stream into whole server-sent events, so that it can be resumed.

use crate::body::BodyContent;
use bytes::{Bytes, BytesMut};

/// Prefix of the line with an event's identifier.
const ID_LINE: &[u8] = b"id:";
/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Maximum size of a stream in bytes.
const MAX_STREAM_BYTES: usize = 32 << 20;
/// Maximum size of a stream per token of its answer in bytes, with room for the probabilities of
/// alternative tokens.
const MAX_BYTES_PER_TOKEN: usize = 8 << 10;

/// Returns the maximum size in bytes of a stream whose answer has at most this many tokens, 0 if that
/// is not known.
pub fn max_stream_bytes(answer_tokens: u32) -> usize {
    match answer_tokens as usize {
        0 => MAX_STREAM_BYTES,
        tokens => (MAX_EVENT_BYTES + tokens * MAX_BYTES_PER_TOKEN).min(MAX_STREAM_BYTES),
    }
}

/// Splits a stream into whole events, so that another attempt can resume it after any of them.
/// Lines end with LF, CRLF or CR.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    /// Bytes of the incomplete event.
    buffer: BytesMut,
    /// Part of `buffer` that [`EventSplitter::push`] has examined, in bytes.
    examined_bytes: usize,
    event: EventState,
    /// Whether the stream has a whole event since it began or was resumed.
    has_event: bool,
    /// Whether an event without an identifier was passed on.
    has_passed_without_id: bool,
    last_id: Option<String>,
    is_resumed: bool,
}

/// What the incomplete event of a stream consists of so far.
#[derive(Debug, Clone, Copy, Default)]
struct EventState {
    line: LineState,
    /// Whether the last byte was a carriage return, to whose line end a line feed belongs.
    is_after_return: bool,
    /// Whether a line is not a comment.
    has_field: bool,
}

/// What the current line of a stream consists of so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LineState {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventSplitter {
    /// Appends bytes of the stream; returns the events that are complete now, without those that
    /// were passed on before a resumption.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut passed = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.buffer.split_to(end);
            self.examined_bytes = 0;
            if self.record_event(&event) {
                passed.unsplit(event);
            }
        }
        passed.freeze()
    }

    /// Returns the size of the incomplete event in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the incomplete event exceeds 64 KiB, so that the stream must not be read on.
    pub fn is_event_too_large(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns what the stream so far says about its completeness.
    pub fn content(&self) -> BodyContent {
        if self.event.has_field || self.event.line != LineState::Empty {
            BodyContent::CutEvent
        } else if self.has_event {
            BodyContent::WholeEvents
        } else {
            BodyContent::NoEvents
        }
    }

    /// Returns the buffered bytes after the last event, such as comments, once the stream has ended.
    pub fn finish(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Drops the incomplete event; returns the identifier after which another attempt must resume,
    /// or none if it must start from the beginning.
    ///
    /// # Errors
    /// [`NotResumable`] when events without identifiers were passed on.
    pub fn resume(&mut self) -> Result<Option<&str>, NotResumable> {
        if self.has_passed_without_id {
            return Err(NotResumable);
        }
        self.buffer.clear();
        self.examined_bytes = 0;
        self.event = EventState::default();
        self.has_event = false;
        self.is_resumed = true;
        Ok(self.last_id.as_deref())
    }

    /// Examines the buffer up to the end of an event, and returns its position.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.examined_bytes).copied() {
            self.examined_bytes += 1;
            if !self.event.ends_with(byte) {
                continue;
            }
            let has_line_feed = self.buffer.get(self.examined_bytes) == Some(&b'\n');
            if byte == b'\r' && has_line_feed {
                self.event.is_after_return = false;
                self.examined_bytes += 1;
            }
            self.has_event = true;
            return Some(self.examined_bytes);
        }
        None
    }

    /// Records the identifier of an event; returns whether the event is passed on. After a
    /// resumption, events that are not later than the last one are repeats.
    fn record_event(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            self.has_passed_without_id = true;
            return true;
        };
        let is_repeated = self.is_resumed && !is_later(&id, self.last_id.as_deref());
        if !is_repeated {
            self.last_id = Some(id);
        }
        !is_repeated
    }
}

impl EventState {
    /// Adds a byte; returns whether it ends the event, which is at the end of a blank line.
    fn ends_with(&mut self, byte: u8) -> bool {
        let is_line_end = matches!(byte, b'\n' | b'\r');
        let continues_line_end = byte == b'\n' && self.is_after_return;
        self.is_after_return = byte == b'\r';
        if continues_line_end {
            return false;
        }
        match (is_line_end, self.line) {
            (true, LineState::Empty) => return std::mem::take(&mut self.has_field),
            (true, LineState::Comment) => self.line = LineState::Empty,
            (true, LineState::Field) => (self.line, self.has_field) = (LineState::Empty, true),
            (false, LineState::Empty) if byte == b':' => self.line = LineState::Comment,
            (false, LineState::Empty) => self.line = LineState::Field,
            (false, LineState::Comment | LineState::Field) => {}
        }
        false
    }
}

/// The stream can't be resumed because events without identifiers were passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("events without identifiers were passed on")]
pub struct NotResumable;

fn event_id(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let line = lines.find(|line| line.starts_with(ID_LINE))?;
    let id = std::str::from_utf8(&line[ID_LINE.len()..]).ok()?;
    Some(id.trim().to_owned())
}

/// Reports whether an identifier comes after another; one that is not a number counts as later
/// unless it is the same.
fn is_later(id: &str, last_id: Option<&str>) -> bool {
    let number = |id: &str| id.parse::<u64>().ok();
    match (number(id), last_id.and_then(number)) {
        (Some(id), Some(last_id)) => id > last_id,
        _ => last_id != Some(id),
    }
}
