//! Stream of a connection to an upstream, which limits heads and observes requests.

use crate::{head_limit::HeadLimit, request_progress::RequestProgress};
use std::{
    io::{IoSlice, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Size of the send buffer of a connection with a long request, in bytes. What the system takes on
/// counts as written, so a large buffer hides that an upstream does not read.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// A connection whose reads fail once a head is too large, and which tells whether a request is
/// written.
#[derive(Debug)]
pub(crate) struct ConnectionStream {
    stream: TcpStream,
    head_limit: HeadLimit,
    request_progress: RequestProgress,
    has_small_send_buffer: bool,
}

impl ConnectionStream {
    /// Limits and observes what is read and written on a stream.
    pub(crate) fn new(
        stream: TcpStream,
        head_limit: HeadLimit,
        request_progress: RequestProgress,
    ) -> Self {
        Self { stream, head_limit, request_progress, has_small_send_buffer: false }
    }

    /// Prepares to write this many bytes.
    fn begin_write(&mut self, length: usize) {
        self.request_progress.begin();
        if length > SEND_BUFFER_BYTES && !self.has_small_send_buffer {
            self.has_small_send_buffer = true;
            let socket = socket2::SockRef::from(&self.stream);
            // On a system without this option a long request may look written too early.
            let _unsupported = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
        }
    }
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.head_limit.check()?;
        let known_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.head_limit.count(buffer.filled().len() - known_bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.begin_write(bytes.len());
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.begin_write(slices.iter().map(|slice| slice.len()).sum());
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The sender of requests flushes once it has written all bytes that it has.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.request_progress.finish();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
