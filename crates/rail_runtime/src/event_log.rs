//! Structured event lines on standard output that never hold up their writer.
//!
//! Lines are kept in a bounded buffer and written by [`EventLog::flush`] to a standard output that
//! does not block. What the buffer has no room for is counted and reported by a line of its own.
//! Routine lines give way first: they may fill only part of the buffer.

use nix::fcntl::{FcntlArg, OFlag, fcntl};
use serde::Serialize;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Bytes that wait to be written.
const MAX_BUFFER_BYTES: usize = 128 << 10;
/// Part of the buffer that routine lines may fill.
const MAX_ROUTINE_BYTES: usize = 64 << 10;

/// How much a line matters when there is no room for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPriority {
    /// Explains ordinary work.
    Routine,
    /// Explains a failure or a change of what the process believes.
    Important,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    unreported: u64,
    dropped: u64,
}

/// Writes event lines; clones share the buffer. Not for use across threads.
#[derive(Debug, Clone, Default)]
pub struct EventLog {
    buffer: Rc<RefCell<Buffer>>,
}

#[derive(Serialize)]
struct Line<'a, E: Serialize> {
    at_ms: u128,
    #[serde(flatten)]
    event: &'a E,
}

#[derive(Serialize)]
struct Dropped {
    event: &'static str,
    lines: u64,
}

impl EventLog {
    /// Prepares standard output.
    pub fn open() -> Self {
        // If it stays blocking, a reader that stops could hold the process; nothing else is lost.
        if let Ok(bits) = fcntl(std::io::stdout(), FcntlArg::F_GETFL) {
            let flags = OFlag::from_bits_truncate(bits) | OFlag::O_NONBLOCK;
            let _unsupported = fcntl(std::io::stdout(), FcntlArg::F_SETFL(flags));
        }
        Self::default()
    }

    /// Adds a line.
    pub fn write(&self, priority: EventPriority, at: Duration, event: &impl Serialize) {
        let mut buffer = self.buffer.borrow_mut();
        let room = match priority {
            EventPriority::Routine => MAX_ROUTINE_BYTES,
            EventPriority::Important => MAX_BUFFER_BYTES,
        };
        let before = buffer.bytes.len();
        if before < room {
            let line = Line { at_ms: at.as_millis(), event };
            if serde_json::to_writer(&mut buffer.bytes, &line).is_ok() {
                buffer.bytes.push(b'\n');
                return;
            }
            buffer.bytes.truncate(before);
        }
        buffer.unreported += 1;
        buffer.dropped += 1;
    }

    /// Writes as much as standard output takes now.
    pub fn flush(&self, at: Duration) {
        let dropped = std::mem::take(&mut self.buffer.borrow_mut().unreported);
        if dropped > 0 {
            let event = Dropped { event: "log_dropped", lines: dropped };
            self.write(EventPriority::Important, at, &event);
        }
        let mut buffer = self.buffer.borrow_mut();
        if buffer.bytes.is_empty() {
            return;
        }
        // A full pipe is tried again at the next flush.
        if let Ok(written) = nix::unistd::write(std::io::stdout(), &buffer.bytes) {
            buffer.bytes.drain(..written);
        }
        if buffer.bytes.is_empty() {
            buffer.bytes.shrink_to(MAX_ROUTINE_BYTES);
        }
    }

    /// Counts the lines that were left out so far.
    pub fn dropped(&self) -> u64 {
        self.buffer.borrow().dropped
    }
}
