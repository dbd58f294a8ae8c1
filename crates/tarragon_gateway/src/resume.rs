//! Reads broken streams on, directly from the engine.

use crate::Gateway;
use futures_util::StreamExt;
use rail_request::{RequestEvent, RequestId, WorkOrder};
use rail_upstream::{EngineClient, StreamPart, engine::PartStream};

/// Rest of a stream; the engine is told when it is dropped before its end.
pub struct Reader {
    client: EngineClient,
    request_id: RequestId,
    parts: PartStream,
    is_finished: bool,
}

impl std::fmt::Debug for Reader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reader").field("request_id", &self.request_id).finish_non_exhaustive()
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let (client, request_id) = (self.client.clone(), self.request_id);
        actix_rt::spawn(async move {
            if let Err(error) = client.cancel(request_id).await {
                log::debug!("cancellation failed: {error}");
            }
        });
    }
}

impl Reader {
    /// Waits for the next event of the stream.
    pub async fn next(&mut self) -> RequestEvent {
        match self.parts.next().await {
            Some(Ok(StreamPart::Token { offset, model, text })) => {
                RequestEvent::Token { offset, model, text }
            }
            Some(Ok(StreamPart::End)) => RequestEvent::Final { tokens: None },
            Some(Err(_)) | None => {
                self.finish();
                RequestEvent::Lost
            }
        }
    }

    /// Records that nothing is left to cancel.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }
}

impl Gateway {
    /// Opens the stream of an order again; none when the engine does not know it.
    pub async fn read_on(&self, order: &WorkOrder, received: u64) -> Option<Reader> {
        let address = self.config.applied().upstreams.get(&order.engine)?.address;
        let client = EngineClient::open(address);
        let parts = client.resume(order.request_id, received).await.ok()?;
        Some(Reader { client, request_id: order.request_id, parts, is_finished: false })
    }
}
