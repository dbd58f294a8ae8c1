//! Structured event lines on standard output that never block their writer.
//!
//! Lines are stored in a bounded buffer and written by [`EventLog::flush`] to a non-blocking
//! standard output. Lines that do not fit are dropped, counted and reported by a `log_dropped`
//! line. Routine lines are dropped first: they may fill only part of the buffer.

use nix::fcntl::{FcntlArg, OFlag, fcntl};
use serde::Serialize;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Buffer size from which any further line is dropped, in bytes.
const MAX_BUFFER_BYTES: usize = 128 << 10;
/// Buffer size from which further routine lines are dropped, in bytes.
const MAX_ROUTINE_BYTES: usize = 64 << 10;

/// Decides which lines are dropped first when the buffer fills up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPriority {
    /// Describes ordinary work; dropped above half of the buffer.
    Routine,
    /// Describes a failure or a state change; dropped only when the buffer is full.
    Important,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Dropped lines that no `log_dropped` line has reported yet.
    unreported: u64,
    /// Lines dropped since the start of the process.
    dropped: u64,
}

/// Buffered writer of event lines for one thread; clones share the buffer.
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
    /// Creates an event log and makes standard output non-blocking.
    pub fn open() -> Self {
        // If this fails, standard output stays blocking and a reader that stops reading can block
        // the process; nothing else changes.
        if let Ok(bits) = fcntl(std::io::stdout(), FcntlArg::F_GETFL) {
            let flags = OFlag::from_bits_truncate(bits) | OFlag::O_NONBLOCK;
            let _unsupported = fcntl(std::io::stdout(), FcntlArg::F_SETFL(flags));
        }
        Self::default()
    }

    /// Adds a line to the buffer, or drops it if the buffer has no room for its priority.
    ///
    /// `at` is the time since the start of the process.
    pub fn write(&self, priority: EventPriority, at: Duration, event: &impl Serialize) {
        let mut buffer = self.buffer.borrow_mut();
        let limit = match priority {
            EventPriority::Routine => MAX_ROUTINE_BYTES,
            EventPriority::Important => MAX_BUFFER_BYTES,
        };
        let start = buffer.bytes.len();
        if start < limit {
            let line = Line { at_ms: at.as_millis(), event };
            if serde_json::to_writer(&mut buffer.bytes, &line).is_ok() {
                buffer.bytes.push(b'\n');
                return;
            }
            buffer.bytes.truncate(start);
        }
        buffer.unreported += 1;
        buffer.dropped += 1;
    }

    /// Writes as much of the buffer as standard output accepts without blocking.
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
        // What a full pipe does not accept is written by the next flush.
        if let Ok(written) = nix::unistd::write(std::io::stdout(), &buffer.bytes) {
            buffer.bytes.drain(..written);
        }
        if buffer.bytes.is_empty() {
            buffer.bytes.shrink_to(MAX_ROUTINE_BYTES);
        }
    }

    /// Returns the number of lines dropped since the start of the process.
    pub fn dropped(&self) -> u64 {
        self.buffer.borrow().dropped
    }
}
