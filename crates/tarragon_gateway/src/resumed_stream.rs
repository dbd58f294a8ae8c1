//! Resumes interrupted streams directly from the engine.

use crate::Gateway;
use futures_util::StreamExt;
use rail_request::{RequestEvent, RequestId, WorkOrder};
use rail_upstream::{EngineClient, StreamPart, engine::PartStream};

/// Rest of an interrupted stream; if dropped before its end, it cancels the request on the engine.
pub struct ResumedStream {
    client: EngineClient,
    request_id: RequestId,
    parts: PartStream,
    is_finished: bool,
}

impl std::fmt::Debug for ResumedStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ResumedStream")
            .field("request_id", &self.request_id)
            .finish_non_exhaustive()
    }
}

impl Drop for ResumedStream {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let (client, request_id) = (self.client.clone(), self.request_id);
        actix_rt::spawn(async move {
            if let Err(error) = client.cancel(request_id).await {
                log::debug!("failed to cancel request {request_id:032x}: {error}");
            }
        });
    }
}

impl ResumedStream {
    /// Waits for the next event of the stream.
    pub async fn next(&mut self) -> RequestEvent {
        match self.parts.next().await {
            Some(Ok(StreamPart::Token { offset, model, text })) => {
                RequestEvent::Token { offset, model, text }
            }
            Some(Ok(StreamPart::End)) => RequestEvent::Final { tokens: None },
            Some(Err(_)) | None => {
                self.mark_finished();
                RequestEvent::Lost
            }
        }
    }

    /// Marks the stream as finished, so that dropping it cancels nothing.
    pub fn mark_finished(&mut self) {
        self.is_finished = true;
    }
}

impl Gateway {
    /// Resumes the stream of an order after `received` parts.
    ///
    /// Returns `None` if the engine is not configured any more, or does not resume the request.
    pub async fn resume_stream(&self, order: &WorkOrder, received: u64) -> Option<ResumedStream> {
        let address = self.config.applied().upstreams.get(&order.engine)?.address;
        let client = EngineClient::open(address);
        let parts = client.resume(order.request_id, received).await.ok()?;
        Some(ResumedStream { client, request_id: order.request_id, parts, is_finished: false })
    }
}
