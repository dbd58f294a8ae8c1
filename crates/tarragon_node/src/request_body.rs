//! Reads the body of a caller's request under the memory account of the host.

use crate::{connection_flow::ConnectionFlow, reply::Failure};
use actix_http::{BoxedPayloadStream, Payload, error::PayloadError};
use bytes::Bytes;
use futures_util::StreamExt;
use rail_memory::MemoryHold;
use rail_runtime::MonotonicClock;
use rail_site::settings::CallerLimits;
use std::{future::poll_fn, pin::pin, task::Poll, time::Instant};
use tokio::time::{Instant as TokioInstant, sleep_until};

/// Memory of a request beside its body: its headers and tasks, and the buffers of its connection to
/// an upstream.
const REQUEST_BYTES: usize = 32 << 10;
/// Capacity with which a body of known length starts. If it is longer, its whole length follows.
const FIRST_CAPACITY_BYTES: usize = 64 << 10;
/// First segment of a body of unknown length.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Further segments of such a body.
const SEGMENT_BYTES: usize = 64 << 10;
/// Memory of the runtime's queue of chunks while such a body arrives.
const CHUNK_QUEUE_BYTES: usize = 64 << 10;

/// What bounds a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyBounds {
    /// Length that the head announces; `None` for a body in chunks.
    pub announced_bytes: Option<usize>,
    /// Most bytes that the configuration allows.
    pub max_bytes: usize,
    /// Limits on callers that the operators set.
    pub callers: CallerLimits,
    /// Time by which the body must be complete.
    pub deadline_at: Instant,
}

/// A body that is being read.
pub struct BodyReader {
    bounds: BodyBounds,
    clock: MonotonicClock,
    memory: MemoryHold,
    /// The body so far, or its last segment.
    body: Vec<u8>,
    /// Earlier segments of a body of unknown length.
    segments: Vec<Vec<u8>>,
    /// Bytes read so far.
    length: usize,
}

/// What happens first while a body arrives.
enum BodyEvent {
    Chunk(Option<Result<Bytes, PayloadError>>),
    SpanEnded,
    Displaced,
}

impl BodyReader {
    /// Obtains memory for a request without its body.
    ///
    /// # Errors
    /// [`Failure::NoMemory`] if none is left.
    pub async fn start(
        memory: MemoryHold,
        clock: MonotonicClock,
        bounds: BodyBounds,
    ) -> Result<Self, Failure> {
        let (body, segments) = (Vec::new(), Vec::new());
        let mut reader = Self { bounds, clock, memory, body, segments, length: 0 };
        reader.resize(REQUEST_BYTES).await?;
        Ok(reader)
    }

    /// Reads the body to its end; returns it with its memory.
    ///
    /// # Errors
    /// Why the request is refused.
    pub async fn read(
        mut self,
        mut payload: Payload<BoxedPayloadStream>,
        flow: &ConnectionFlow,
    ) -> Result<(Bytes, MemoryHold), Failure> {
        let callers = self.bounds.callers;
        let deadline = TokioInstant::from_std(self.bounds.deadline_at);
        let next_span_end = || deadline.min(TokioInstant::now() + callers.body_progress_timeout);
        let mut span_end = pin!(sleep_until(next_span_end()));
        let mut span_bytes = 0;
        if self.bounds.announced_bytes.is_none() {
            self.resize(REQUEST_BYTES + CHUNK_QUEUE_BYTES).await?;
        }
        loop {
            let event = tokio::select! {
                biased;
                chunk = payload.next() => BodyEvent::Chunk(chunk),
                () = poll_fn(|context| self.memory.poll_displaced(context)) => BodyEvent::Displaced,
                () = &mut span_end => BodyEvent::SpanEnded,
            };
            match event {
                BodyEvent::Chunk(None) => break,
                BodyEvent::Chunk(Some(chunk)) => {
                    let chunk = chunk.map_err(|_error| Failure::BadRequest)?;
                    span_bytes += chunk.len();
                    self.append(&chunk).await?;
                    flow.record_consumed();
                }
                BodyEvent::Displaced => return Err(Failure::GaveWay),
                BodyEvent::SpanEnded => {
                    let is_late = TokioInstant::now() >= deadline;
                    if is_late || span_bytes < callers.body_progress_bytes {
                        return Err(Failure::SlowBody);
                    }
                    span_bytes = 0;
                    span_end.as_mut().reset(next_span_end());
                }
            }
        }
        self.finish().await
    }

    /// Returns what was read, with its memory; the arrival has ended.
    ///
    /// # Errors
    /// As [`BodyReader::read`], if there is no memory to join the segments.
    pub async fn finish(mut self) -> Result<(Bytes, MemoryHold), Failure> {
        if !self.segments.is_empty() {
            self.resize(self.memory.bytes() + self.length).await?;
            let mut joined = Vec::with_capacity(self.length);
            for segment in self.segments.drain(..).chain([std::mem::take(&mut self.body)]) {
                joined.extend_from_slice(&segment);
            }
            self.body = joined;
        }
        // The runtime's queue of chunks has ended with the body.
        self.resize(REQUEST_BYTES + self.body.capacity()).await?;
        self.memory.end_arrival();
        Ok((Bytes::from(self.body), self.memory))
    }

    async fn append(&mut self, chunk: &[u8]) -> Result<(), Failure> {
        if self.length + chunk.len() > self.bounds.max_bytes {
            return Err(Failure::TooLarge);
        }
        match self.bounds.announced_bytes {
            Some(announced_bytes) => self.append_whole(chunk, announced_bytes).await?,
            None => self.append_segments(chunk).await?,
        }
        self.length += chunk.len();
        self.memory.record_progress(self.clock.now());
        Ok(())
    }

    /// Appends to a body in one piece, since its length is known.
    async fn append_whole(&mut self, chunk: &[u8], announced: usize) -> Result<(), Failure> {
        let (length, capacity) = (self.body.len() + chunk.len(), self.body.capacity());
        if length > capacity {
            let first = if capacity == 0 { FIRST_CAPACITY_BYTES } else { announced };
            let grown = first.min(announced).max(length);
            // Both buffers exist while the body is copied.
            self.resize(REQUEST_BYTES + capacity + grown).await?;
            self.body.reserve_exact(grown - self.body.len());
            self.resize(REQUEST_BYTES + grown).await?;
        }
        self.body.extend_from_slice(chunk);
        Ok(())
    }

    /// Appends to a body in segments of equal size, so that what one body returns fits another.
    async fn append_segments(&mut self, chunk: &[u8]) -> Result<(), Failure> {
        let mut rest = chunk;
        while !rest.is_empty() {
            let free = self.body.capacity() - self.body.len();
            if free == 0 {
                let is_first = self.body.capacity() == 0;
                let bytes = if is_first { FIRST_SEGMENT_BYTES } else { SEGMENT_BYTES };
                self.resize(self.memory.bytes() + bytes).await?;
                let full = std::mem::replace(&mut self.body, Vec::with_capacity(bytes));
                if !is_first {
                    self.segments.push(full);
                }
                continue;
            }
            let (now, later) = rest.split_at(free.min(rest.len()));
            self.body.extend_from_slice(now);
            rest = later;
        }
        Ok(())
    }

    /// Changes the memory held; waits while others give way.
    async fn resize(&mut self, bytes: usize) -> Result<(), Failure> {
        poll_fn(|context| {
            if self.memory.poll_displaced(context).is_ready() {
                return Poll::Ready(Err(Failure::GaveWay));
            }
            let resized = self.memory.poll_resize(context, bytes, self.clock.now());
            resized.map_err(|_shortage| Failure::NoMemory)
        })
        .await
    }
}
