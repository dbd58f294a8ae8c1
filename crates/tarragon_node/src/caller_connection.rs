//! Connection of a caller: bounds what is read ahead of its requests and what stays unsent, and
//! ends with a reset if an answer that ends with it is not complete.

use crate::connection_flow::{CloseCause, ConnectionFlow, ReadPermission};
use rail_memory::MemoryHold;
use std::{
    cell::Cell,
    io::{Error, ErrorKind, IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Time for which the rest of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Unsent bytes whose memory is set aside for each connection.
const FREE_UNSENT_BYTES: usize = 8 << 10;

/// Handle with which an answer that ends with its connection shows whether it is complete; clones
/// refer to the same connection.
#[derive(Debug, Clone, Default)]
pub struct ConnectionEnd {
    is_reset: Rc<Cell<bool>>,
}

impl ConnectionEnd {
    /// Makes the connection end with a reset, also when this process ends.
    pub fn begin_answer(&self) {
        self.is_reset.set(true);
    }

    /// Makes the connection end in order after all bytes are sent.
    pub fn finish_answer(&self) {
        self.is_reset.set(false);
    }
}

/// TCP connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    stream: TcpStream,
    end: ConnectionEnd,
    /// Whether the socket is set to end with a reset.
    is_socket_reset: bool,
    flow: ConnectionFlow,
    /// Bytes read since the runtime last decoded what came.
    turn_bytes: usize,
    /// Memory of bytes that wait in the runtime, beyond what is set aside for each connection.
    memory: MemoryHold,
    unread_bytes: usize,
    unsent_bytes: usize,
    /// Longest time for which a caller may read nothing of an answer.
    unread_timeout: Duration,
    /// End of that time, while bytes wait to be sent.
    unread_end: Option<Pin<Box<Sleep>>>,
    /// End of the time for which the rest of a refused request is read.
    discard_end: Option<Pin<Box<Sleep>>>,
}

impl CallerConnection {
    /// Wraps an accepted connection.
    pub fn new(
        stream: TcpStream,
        flow: ConnectionFlow,
        memory: MemoryHold,
        unread_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            end: ConnectionEnd::default(),
            is_socket_reset: false,
            flow,
            turn_bytes: 0,
            memory,
            unread_bytes: 0,
            unsent_bytes: 0,
            unread_timeout,
            unread_end: None,
            discard_end: None,
        }
    }

    /// Returns the handle of answers on this connection.
    pub fn end_handle(&self) -> ConnectionEnd {
        self.end.clone()
    }

    /// Returns the handle of requests on this connection.
    pub fn flow(&self) -> ConnectionFlow {
        self.flow.clone()
    }

    /// Sets on the socket how the connection ends, so that the system ends it so even if this
    /// process ends.
    fn set_end(&mut self, is_reset: bool) {
        if self.is_socket_reset == is_reset {
            return;
        }
        let linger = is_reset.then_some(Duration::ZERO);
        // Without this option the connection ends in order, as it does for other programs.
        let _unsupported = socket2::SockRef::from(&self.stream).set_linger(linger);
        self.is_socket_reset = is_reset;
    }

    /// Closes the connection with a reset; bytes that were not sent are dropped.
    fn abort(&mut self, cause: CloseCause) -> Error {
        self.flow.close(cause);
        self.end.begin_answer();
        Error::new(ErrorKind::ConnectionAborted, cause.name())
    }

    /// Holds memory for the bytes that wait to be decoded or sent.
    fn hold_memory(&mut self) -> Result<()> {
        let unsent_bytes = self.unsent_bytes.saturating_sub(FREE_UNSENT_BYTES);
        let held_bytes = self.unread_bytes + unsent_bytes;
        if held_bytes == self.memory.bytes() {
            return Ok(());
        }
        self.memory.try_resize(held_bytes).map_err(|_shortage| self.abort(CloseCause::NoMemory))
    }

    /// Returns whether the rest of a refused request was read for long enough.
    fn is_discard_over(&mut self, context: &mut Context<'_>) -> bool {
        if !self.flow.is_discarding() {
            return false;
        }
        let end = self.discard_end.get_or_insert_with(|| Box::pin(sleep(DISCARD_TIMEOUT)));
        end.as_mut().poll(context).is_ready()
    }

    /// Records the result of a write of `length` bytes. A caller that reads nothing for some time
    /// is given up.
    fn record_write(
        &mut self,
        context: &mut Context<'_>,
        length: usize,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if let Poll::Ready(result) = written {
            self.unread_end = None;
            if self.unsent_bytes > 0 {
                self.unsent_bytes = 0;
                self.hold_memory()?;
            }
            return Poll::Ready(result);
        }
        self.unsent_bytes = length;
        self.hold_memory()?;
        let unread_timeout = self.unread_timeout;
        let end = self.unread_end.get_or_insert_with(|| Box::pin(sleep(unread_timeout)));
        ready!(end.as_mut().poll(context));
        Poll::Ready(Err(self.abort(CloseCause::UnreadAnswer)))
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.set_end(self.end.is_reset.get());
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let turn_bytes = match self.flow.poll_permission(context) {
            Ok(ReadPermission::Turn { bytes }) => bytes,
            Ok(ReadPermission::Wait) => return Poll::Pending,
            Ok(ReadPermission::End) => return Poll::Ready(Ok(())),
            Err(cause) => return Poll::Ready(Err(self.abort(cause))),
        };
        if self.is_discard_over(context) {
            return Poll::Ready(Ok(()));
        }
        if self.turn_bytes >= turn_bytes {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        // The runtime doubles a buffer that is full, so a turn must not depend on its size.
        let most_bytes = buffer.remaining().min(turn_bytes - self.turn_bytes);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most_bytes));
        let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(context, &mut part) else {
            self.turn_bytes = 0;
            return Poll::Pending;
        };
        result?;
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        self.turn_bytes += read_bytes;
        self.unread_bytes = self.flow.record_bytes(read_bytes);
        self.hold_memory()?;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        if self.end.is_reset.get() {
            self.set_end(true);
        }
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, bytes.len(), written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.end.is_reset.get() {
            // An orderly end must not precede the reset.
            return Poll::Ready(Ok(()));
        }
        self.set_end(false);
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        if self.end.is_reset.get() {
            self.set_end(true);
        }
        let length = buffers.iter().map(|buffer| buffer.len()).sum();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(context, length, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
