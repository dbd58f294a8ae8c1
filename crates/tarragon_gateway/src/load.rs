//! Counts the requests in progress, for the weights of entry hosts.

use actix_web::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use rail_peer::Gossip;
use std::{
    error::Error,
    pin::Pin,
    task::{Context, Poll},
};

/// Requests in progress of this gateway, told in its heartbeats; clones share it.
#[derive(Debug, Clone)]
pub struct Load {
    gossip: Gossip,
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub struct InFlight {
    gossip: Gossip,
}

/// Response body that holds its request in progress until it is sent.
#[derive(Debug)]
pub struct CountedBody {
    body: BoxBody,
    _in_flight: InFlight,
}

impl Load {
    /// Starts with no request in progress.
    pub fn new(gossip: Gossip) -> Self {
        Self { gossip }
    }

    /// Counts one request.
    pub fn start_request(&self) -> InFlight {
        self.gossip.update_own(|own| own.in_flight += 1);
        InFlight { gossip: self.gossip.clone() }
    }
}

impl InFlight {
    /// Counts the request until its response body is sent or dropped.
    pub fn count(self, body: BoxBody) -> CountedBody {
        CountedBody { body, _in_flight: self }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gossip.update_own(|own| own.in_flight = own.in_flight.saturating_sub(1));
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
