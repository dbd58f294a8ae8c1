//! Connection of a caller, which ends with a reset if an answer that ends with it is not complete.

use std::{
    cell::Cell,
    io::{IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

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
}

impl CallerConnection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, end: ConnectionEnd::default(), is_socket_reset: false }
    }

    /// Returns the handle of answers on this connection.
    pub fn end_handle(&self) -> ConnectionEnd {
        self.end.clone()
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
