//! Limit of what an upstream may send before the head of its response is complete.
//!
//! A head has a limit of its own, but any number of informational responses may come before it.

use std::{
    cell::Cell,
    io::{Error, IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes after which an incomplete head, with the informational responses before it, is given up.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Whether a connection reads a head, and how much of it may still come. Clones share the state.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadLimit {
    left_bytes: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Starts to count what comes for a head.
    pub(crate) fn start(&self) {
        self.left_bytes.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the limit, since the head is complete.
    pub(crate) fn end(&self) {
        self.left_bytes.set(None);
    }
}

/// A connection whose reads fail once a head is too large.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream {
    pub(crate) stream: TcpStream,
    pub(crate) limit: HeadLimit,
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let left_bytes = self.limit.left_bytes.get();
        if left_bytes == Some(0) {
            return Poll::Ready(Err(Error::other("too many bytes before a response head")));
        }
        let known_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read_bytes = buffer.filled().len() - known_bytes;
        self.limit.left_bytes.set(left_bytes.map(|left| left.saturating_sub(read_bytes)));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
