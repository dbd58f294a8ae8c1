//! What a caller's connection may read at present, and why it was closed.

use crate::{
    events::{Event, Events},
    listen::ListenBounds,
};
use rail_memory::ConnectionSlot;
use rail_runtime::MonotonicClock;
use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    rc::Rc,
    task::{Context, Waker},
};

/// Bytes that are read before the runtime decodes them, while a head is awaited.
const HEAD_TURN_BYTES: usize = 8 << 10;
/// Bytes that are read before the runtime decodes them, while a body arrives.
const BODY_TURN_BYTES: usize = 16 << 10;
/// Bytes that are read before the runtime decodes them, while a body arrives in chunks, each of
/// which takes 32 bytes in the runtime's queue.
const CHUNKS_TURN_BYTES: usize = 4 << 10;
/// Bytes of a body that are read while its reader consumes nothing.
const MAX_UNCONSUMED_BYTES: usize = 2 * BODY_TURN_BYTES;
/// The same of a body in chunks.
const MAX_UNCONSUMED_CHUNKS_BYTES: usize = 2 * CHUNKS_TURN_BYTES;
/// Bytes of a head that is not complete, after which the connection is closed.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of further requests that are read while one is served.
const MAX_BYTES_WHILE_SERVING: usize = 16 << 10;
/// Bytes of a refused request that are read, so that its caller reads the refusal.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// What a connection reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The head of a request.
    Head,
    /// A body that a reader consumes at once.
    Body,
    /// A body in chunks that a reader consumes at once.
    Chunks,
    /// Further requests, while one is served.
    Serving,
    /// The rest of a refused request.
    Discarding,
}

/// What a connection may do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPermission {
    /// Read about this many bytes, then let the runtime decode them.
    Turn {
        /// Number of bytes.
        bytes: usize,
    },
    /// Wait until the reader of the body has consumed some of it, or the request that is served has
    /// ended.
    Wait,
    /// End, since enough of a refused request was read.
    End,
}

/// Why a connection of a caller was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseCause {
    /// All connections are in use.
    NoConnection,
    /// It was quiet, and a new one needed its place.
    Displaced,
    /// Its head has no end.
    HeadTooLarge,
    /// The caller does not read its answer.
    UnreadAnswer,
    /// No memory is left for its bytes.
    NoMemory,
}

impl CloseCause {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConnection => "no_connection",
            Self::Displaced => "displaced",
            Self::HeadTooLarge => "head_too_large",
            Self::UnreadAnswer => "unread_answer",
            Self::NoMemory => "no_memory",
        }
    }
}

/// State of a connection that its requests change; clones refer to the same connection.
#[derive(Debug, Clone)]
pub struct ConnectionFlow {
    state: Rc<FlowState>,
}

#[derive(Debug)]
struct FlowState {
    slot: ConnectionSlot,
    clock: MonotonicClock,
    phase: Cell<Phase>,
    /// Bytes read in this phase; those of a body since its reader last consumed some.
    phase_bytes: Cell<usize>,
    /// Task of a connection that waits until it may read.
    waker: RefCell<Option<Waker>>,
    close_cause: Cell<Option<CloseCause>>,
}

impl ConnectionFlow {
    /// Starts with the head of the first request.
    pub fn new(slot: ConnectionSlot, clock: MonotonicClock) -> Self {
        let state = FlowState {
            slot,
            clock,
            phase: Cell::new(Phase::Head),
            phase_bytes: Cell::new(0),
            waker: RefCell::default(),
            close_cause: Cell::new(None),
        };
        Self { state: Rc::new(state) }
    }

    /// Returns the address of the caller.
    pub fn caller(&self) -> IpAddr {
        self.state.slot.caller()
    }

    /// A reader consumes the body of a request from now on.
    pub fn begin_body(&self, is_chunked: bool) {
        self.set_phase(if is_chunked { Phase::Chunks } else { Phase::Body });
    }

    /// The request is whole, and is served from now on.
    pub fn begin_serving(&self) {
        self.state.slot.begin_serving();
        self.set_phase(Phase::Serving);
    }

    /// The request is refused; the connection closes after the answer.
    pub fn begin_discarding(&self) {
        self.set_phase(Phase::Discarding);
    }

    /// The request has ended, and the next one may come.
    pub fn end_request(&self) {
        if self.state.phase.get() != Phase::Discarding {
            self.state.slot.end_serving(self.state.clock.now());
            self.set_phase(Phase::Head);
        }
    }

    /// The reader of the body has consumed what came.
    pub fn record_consumed(&self) {
        self.state.phase_bytes.set(0);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.state.waker.take() {
            waker.wake();
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.state.phase.set(phase);
        self.state.phase_bytes.set(0);
        self.wake();
    }

    /// Returns what the connection may read, or why it must close.
    ///
    /// # Errors
    /// The cause of the close.
    pub fn poll_permission(&self, context: &Context<'_>) -> Result<ReadPermission, CloseCause> {
        if self.state.slot.poll_displaced(context).is_ready() {
            return Err(CloseCause::Displaced);
        }
        let read_bytes = self.state.phase_bytes.get();
        match self.state.phase.get() {
            Phase::Head if read_bytes >= MAX_HEAD_BYTES => Err(CloseCause::HeadTooLarge),
            Phase::Body if read_bytes >= MAX_UNCONSUMED_BYTES => Ok(self.wait(context)),
            Phase::Body => Ok(ReadPermission::Turn { bytes: BODY_TURN_BYTES }),
            Phase::Chunks if read_bytes >= MAX_UNCONSUMED_CHUNKS_BYTES => Ok(self.wait(context)),
            Phase::Chunks => Ok(ReadPermission::Turn { bytes: CHUNKS_TURN_BYTES }),
            Phase::Serving if read_bytes >= MAX_BYTES_WHILE_SERVING => Ok(self.wait(context)),
            Phase::Discarding if read_bytes >= MAX_DISCARDED_BYTES => Ok(ReadPermission::End),
            Phase::Head | Phase::Serving | Phase::Discarding => {
                Ok(ReadPermission::Turn { bytes: HEAD_TURN_BYTES })
            }
        }
    }

    fn wait(&self, context: &Context<'_>) -> ReadPermission {
        *self.state.waker.borrow_mut() = Some(context.waker().clone());
        ReadPermission::Wait
    }

    /// Returns whether the connection closes after a refusal.
    pub fn is_discarding(&self) -> bool {
        self.state.phase.get() == Phase::Discarding
    }

    /// Records bytes that were read; returns the memory of those that the runtime may still keep.
    pub fn record_bytes(&self, count: usize) -> usize {
        self.state.slot.record_bytes(self.state.clock.now());
        let read_bytes = self.state.phase_bytes.get() + count;
        self.state.phase_bytes.set(read_bytes);
        match self.state.phase.get() {
            // The runtime's buffer grows by doubling.
            Phase::Head if read_bytes > 2 * HEAD_TURN_BYTES => 2 * read_bytes,
            Phase::Head | Phase::Body | Phase::Chunks | Phase::Serving | Phase::Discarding => 0,
        }
    }

    /// Records why the connection closes.
    pub fn close(&self, cause: CloseCause) {
        self.state.close_cause.set(Some(cause));
    }

    /// Returns why the connection closes, if this host closes it.
    pub fn close_cause(&self) -> Option<CloseCause> {
        self.state.close_cause.get()
    }

    /// Counts and logs the close of the connection, if it has a cause.
    pub fn report_close(&self, bounds: &ListenBounds) {
        if let Some(cause) = self.close_cause() {
            bounds.report_close(cause, self.caller());
        }
    }
}

/// Counts and logs a closed connection.
pub fn log_close(events: &Events, cause: CloseCause, caller: IpAddr) {
    let caller = caller.to_string();
    events.routine(&Event::CallerClosed { caller: &caller, cause: cause.name() });
}
