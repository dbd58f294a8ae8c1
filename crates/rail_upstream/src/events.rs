//! Server-sent events as whole units of a stream that may be resumed.

use bytes::{Bytes, BytesMut};

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Begin of the line that holds an event's identity.
const ID_LINE: &[u8] = b"id:";
/// Longest part of an event that is held back, in bytes.
const MAX_HELD_BYTES: usize = 1 << 20;

/// Cuts a stream into whole events, so that another run can go on after any of them.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last_id: Option<String>,
    is_resumed: bool,
    is_cut: bool,
}

impl EventSplitter {
    /// Takes bytes of the stream; gives the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.held.extend_from_slice(bytes);
        let mut passed = BytesMut::new();
        while let Some(end) = find(&self.held, EVENT_END) {
            let event = self.held.split_to(end + EVENT_END.len());
            if self.take(&event) {
                passed.extend_from_slice(&event);
            }
        }
        if self.held.len() > MAX_HELD_BYTES {
            // No event is so long: the stream has another form, which can't be resumed.
            self.is_cut = true;
            passed.unsplit(self.held.split());
        }
        passed.freeze()
    }

    /// Gives what is left when the stream has ended properly.
    pub fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Drops the event that was broken off; gives the identity after which another run goes on.
    ///
    /// # Errors
    /// Fails when a part of an event was passed on already, so that no run can go on.
    pub fn resume(&mut self) -> Result<Option<&str>, PartialEventSent> {
        if self.is_cut {
            return Err(PartialEventSent);
        }
        self.held.clear();
        self.is_resumed = true;
        Ok(self.last_id.as_deref())
    }

    /// Notes the identity of an event; gives whether it is passed on.
    fn take(&mut self, event: &[u8]) -> bool {
        let Some(id) = id_of(event) else { return true };
        let is_repeat = self.is_resumed && !is_later(&id, self.last_id.as_deref());
        if !is_repeat {
            self.last_id = Some(id);
        }
        !is_repeat
    }
}

/// A part of an event was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a part of an event was passed on")]
pub struct PartialEventSent;

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn id_of(event: &[u8]) -> Option<String> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_LINE))?;
    let id = std::str::from_utf8(&line[ID_LINE.len()..]).ok()?;
    Some(id.trim().to_owned())
}

/// Reports whether an identity comes after another; those that are no numbers are taken as new.
fn is_later(id: &str, before: Option<&str>) -> bool {
    let number = |id: &str| id.parse::<u64>().ok();
    match (number(id), before.and_then(number)) {
        (Some(id), Some(before)) => id > before,
        _ => before != Some(id),
    }
}
