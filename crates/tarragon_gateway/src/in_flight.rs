//! Counts the requests in progress, from which the weights of entry hosts are derived.

use actix_web::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use rail_peer::Gossip;
use std::{
    error::Error,
    pin::Pin,
    task::{Context, Poll},
};

/// Counts the requests in progress in the heartbeat of this gateway; clones share the count.
#[derive(Debug, Clone)]
pub struct InFlightCounter {
    gossip: Gossip,
}

/// Keeps a request counted as in progress until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    gossip: Gossip,
}

/// Response body that keeps its request counted as in progress until it is sent or dropped.
#[derive(Debug)]
pub struct CountedBody {
    body: BoxBody,
    _guard: InFlightGuard,
}

impl InFlightCounter {
    /// Creates a counter on the heartbeat of this process.
    pub fn new(gossip: Gossip) -> Self {
        Self { gossip }
    }

    /// Counts a request until the returned guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        self.gossip.update_own_heartbeat(|own| own.in_flight += 1);
        InFlightGuard { gossip: self.gossip.clone() }
    }
}

impl InFlightGuard {
    /// Moves the guard into the response body.
    pub fn into_body(self, body: BoxBody) -> CountedBody {
        CountedBody { body, _guard: self }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gossip.update_own_heartbeat(|own| own.in_flight = own.in_flight.saturating_sub(1));
    }
}

impl MessageBody for CountedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}
