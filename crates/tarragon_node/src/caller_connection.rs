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

/// Request to end a caller's connection with a reset; clones refer to the same connection.
#[derive(Debug, Clone, Default)]
pub struct ConnectionReset(Rc<Cell<bool>>);

impl ConnectionReset {
    /// Makes the connection end with a reset when it is closed.
    pub fn request(&self) {
        self.0.set(true);
    }
}

/// TCP connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    stream: TcpStream,
    reset: ConnectionReset,
}

impl CallerConnection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, reset: ConnectionReset::default() }
    }

    /// Returns the handle with which an answer requests a reset of this connection.
    pub fn reset_handle(&self) -> ConnectionReset {
        self.reset.clone()
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        if self.reset.0.get() {
            // Without this option the caller sees an ordinary end, as from any interrupted process.
            let _unsupported =
                socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.reset.0.get() {
            // An orderly end must not precede the reset.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
