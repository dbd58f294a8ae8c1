//! Orders and completions of one engine.

use crate::error::{Error, Result, is_unsent};
use awc::{
    Client, ClientResponse, Connector,
    error::{PayloadError, SendRequestError},
    http::StatusCode,
};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, pin::Pin, time::Duration};

/// Header that carries the fencing number of an order.
pub const FENCE_HEADER: &str = "x-fencing-number";
/// Header that carries the identity of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Time in which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which an order must be answered.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which a resumed stream must begin.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Data of the event that ends a stream.
const STREAM_END: &str = "[DONE]";

/// A completion as an engine takes it.
#[derive(Debug, Clone, Serialize)]
pub struct Completion {
    /// Model name in its text form.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Longest answer in tokens.
    pub max_tokens: u32,
    /// Always set: answers are streamed.
    pub stream: bool,
    /// Smaller runs first.
    pub priority: i32,
    /// Sampling parameters.
    #[serde(flatten)]
    pub sampling: serde_json::Map<String, serde_json::Value>,
}

/// One part of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPart {
    /// Text at an offset.
    Token {
        /// Position in the answer.
        offset: u64,
        /// Model that the engine reports.
        model: String,
        /// Text.
        text: String,
    },
    /// The answer is complete.
    End,
}

/// Load as an engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes with each cold start.
    pub boot_id: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Model names that are loaded.
    pub loaded: Vec<String>,
    /// Model names with requests that run or wait, where the engine tells them.
    #[serde(default)]
    pub busy: Option<Vec<String>>,
}

impl LoadReport {
    /// Reports whether a request of this model may run or wait.
    pub fn is_busy(&self, model: &str) -> bool {
        match &self.busy {
            Some(busy) => busy.iter().any(|name| name == model),
            None => self.running > 0 || self.waiting > 0,
        }
    }
}

/// Parts of one streamed answer.
pub type PartStream = Pin<Box<dyn Stream<Item = Result<StreamPart>>>>;

/// Client of one engine.
#[derive(Clone)]
pub struct EngineClient {
    http: Client,
    url: String,
}

impl std::fmt::Debug for EngineClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineClient").field("url", &self.url).finish_non_exhaustive()
    }
}

#[derive(Serialize)]
struct AdapterOrder<'a> {
    lora_name: &'a str,
}

#[derive(Deserialize)]
struct Chunk {
    model: String,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

impl EngineClient {
    /// Opens a client of the engine at this address.
    pub fn open(address: SocketAddr) -> Self {
        let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
        let http = Client::builder().connector(connector).timeout(ORDER_TIMEOUT).finish();
        Self { http, url: format!("http://{address}") }
    }

    /// Orders the engine to load an adapter version.
    ///
    /// # Errors
    /// Any failure of the order.
    pub async fn load_adapter(&self, model: &str, fence: u64) -> Result<()> {
        self.order("/v1/load_lora_adapter", &AdapterOrder { lora_name: model }, fence).await
    }

    /// Orders the engine to unload an adapter version.
    ///
    /// # Errors
    /// Any failure of the order.
    pub async fn unload_adapter(&self, model: &str, fence: u64) -> Result<()> {
        self.order("/v1/unload_lora_adapter", &AdapterOrder { lora_name: model }, fence).await
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    /// Any failure of the call.
    pub async fn load_report(&self) -> Result<LoadReport> {
        let request = self.http.get(format!("{}/load", self.url)).timeout(CONNECT_TIMEOUT);
        let mut reply = request.send().await.map_err(|error| classify_send(&error))?;
        reply.json().await.map_err(|_error| Error::Unreadable)
    }

    /// Starts a completion and streams its parts.
    ///
    /// # Errors
    /// Refusals before running, and failures to send.
    pub async fn complete(
        &self,
        completion: &Completion,
        request_id: u128,
        fence: u64,
    ) -> Result<PartStream> {
        let reply = self
            .http
            .post(format!("{}/v1/completions", self.url))
            .insert_header((FENCE_HEADER, fence.to_string()))
            .insert_header((REQUEST_ID_HEADER, format!("{request_id:032x}")))
            .timeout(Duration::from_secs(3600))
            .send_json(completion)
            .await
            .map_err(|error| classify_send(&error))?;
        Ok(read_parts(check_status(reply)?))
    }

    /// Reads a completion again after the parts that have arrived.
    ///
    /// # Errors
    /// [`Error::Refused`] when the engine does not know it, or a failure of the call.
    pub async fn resume(&self, request_id: u128, received: u64) -> Result<PartStream> {
        let after = received.checked_sub(1).map(|last| format!("&starting_after={last}"));
        let after = after.unwrap_or_default();
        let url = format!("{}/v1/responses/{request_id:032x}?stream=true{after}", self.url);
        let reply = self.http.get(url).timeout(RESUME_TIMEOUT).send().await;
        Ok(read_parts(check_status(reply.map_err(|error| classify_send(&error))?)?))
    }

    /// Cancels a completion.
    ///
    /// # Errors
    /// Any failure of the call.
    pub async fn cancel(&self, request_id: u128) -> Result<()> {
        let url = format!("{}/v1/responses/{request_id:032x}/cancel", self.url);
        check_status(self.http.post(url).send().await.map_err(|error| classify_send(&error))?)?;
        Ok(())
    }

    async fn order(&self, path: &str, body: &impl Serialize, fence: u64) -> Result<()> {
        let reply = self
            .http
            .post(format!("{}{path}", self.url))
            .insert_header((FENCE_HEADER, fence.to_string()))
            .send_json(body)
            .await
            .map_err(|error| classify_send(&error))?;
        check_status(reply)?;
        Ok(())
    }
}

fn classify_send(error: &SendRequestError) -> Error {
    if is_unsent(error) { Error::Connect } else { Error::Lost }
}

fn check_status<S>(reply: ClientResponse<S>) -> Result<ClientResponse<S>> {
    match reply.status() {
        status if status.is_success() => Ok(reply),
        StatusCode::PRECONDITION_FAILED => Err(Error::StaleFence),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(Error::Refused(status.as_u16()))
        }
        status => Err(Error::Failed(status.as_u16())),
    }
}

fn read_parts<S>(reply: ClientResponse<S>) -> PartStream
where
    S: Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let reply = reply.timeout(Duration::from_secs(3600));
    let events = reply.eventsource();
    Box::pin(events.map(|event| {
        let event = event.map_err(|_error| Error::Lost)?;
        if event.data == STREAM_END {
            return Ok(StreamPart::End);
        }
        let offset = event.id.parse().map_err(|_error| Error::Unreadable)?;
        let chunk: Chunk = serde_json::from_str(&event.data).map_err(|_error| Error::Unreadable)?;
        let text = chunk.choices.into_iter().map(|c| c.text).collect();
        Ok(StreamPart::Token { offset, model: chunk.model, text })
    }))
}
