//! Splits a stream into whole server-sent events, so that it can be resumed.

use bytes::{Bytes, BytesMut};

/// Bytes that end an event.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line with an event's identifier.
const ID_LINE: &[u8] = b"id:";
/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into whole events, so that another attempt can resume it after any of them.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
    is_resumed: bool,
    has_sent_partial: bool,
}

impl EventSplitter {
    /// Appends bytes of the stream; returns the events that are complete now, without those that
    /// were passed on before a resumption.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut passed = BytesMut::new();
        while let Some(end) = find(&self.buffer, EVENT_END) {
            let event = self.buffer.split_to(end + EVENT_END.len());
            if self.record_event(&event) {
                passed.extend_from_slice(&event);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            // No event is this large: the stream does not consist of events and can't be resumed.
            self.has_sent_partial = true;
            passed.unsplit(self.buffer.split());
        }
        passed.freeze()
    }

    /// Returns the buffered bytes after the last whole event, once the stream has ended without an
    /// error.
    pub fn finish(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Drops the incomplete event; returns the identifier after which another attempt must resume,
    /// or none if it must start from the beginning.
    ///
    /// # Errors
    /// Fails when a part of an event was already passed on, so that the stream can't be resumed.
    pub fn resume(&mut self) -> Result<Option<&str>, PartialEventSent> {
        if self.has_sent_partial {
            return Err(PartialEventSent);
        }
        self.buffer.clear();
        self.is_resumed = true;
        Ok(self.last_id.as_deref())
    }

    /// Records the identifier of an event; returns whether the event is passed on. After a
    /// resumption, events that are not later than the last one are repeats.
    fn record_event(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else { return true };
        let is_repeated = self.is_resumed && !is_later(&id, self.last_id.as_deref());
        if !is_repeated {
            self.last_id = Some(id);
        }
        !is_repeated
    }
}

/// The stream can't be resumed because a part of an event was already passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a part of an event was already passed on")]
pub struct PartialEventSent;

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn event_id(event: &[u8]) -> Option<String> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_LINE))?;
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
