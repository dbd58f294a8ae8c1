//! Client for orders, load reports and completions of one engine.

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
/// Timeout for opening a connection, and for a load report.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the response head of a resumed stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Data of the event that marks the end of a stream.
const STREAM_END: &str = "[DONE]";

/// Body of a completion request to an engine.
#[derive(Debug, Clone, Serialize)]
pub struct Completion {
    /// Name of the base model or adapter version, as text.
    pub model: String,
    /// Prompt of the caller.
    pub prompt: String,
    /// Maximum length of the completion in tokens.
    pub max_tokens: u32,
    /// Always true, as completions are read as streams.
    pub stream: bool,
    /// Priority in the engine's queue; the smallest value runs first.
    pub priority: i32,
    /// Sampling parameters of the caller, passed on unchanged.
    #[serde(flatten)]
    pub sampling: serde_json::Map<String, serde_json::Value>,
}

/// One part of a streamed completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPart {
    /// One token.
    Token {
        /// Position of the token in the completion, from 0.
        offset: u64,
        /// Model name that the engine reports for the token.
        model: String,
        /// Text of the token.
        text: String,
    },
    /// The completion has ended.
    End,
}

/// Load of an engine as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Identity of the engine process; changes with each cold start.
    pub boot_id: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the engine's queue.
    pub waiting: u32,
    /// Names of the loaded models and adapter versions.
    pub loaded: Vec<String>,
    /// Names of the models with running or queued requests; none if the engine does not report
    /// them.
    #[serde(default)]
    pub busy: Option<Vec<String>>,
}

impl LoadReport {
    /// Reports whether a request for this model may be running or queued. Without a list of busy
    /// models, any request counts.
    pub fn is_busy(&self, model: &str) -> bool {
        match &self.busy {
            Some(busy) => busy.iter().any(|name| name == model),
            None => self.running > 0 || self.waiting > 0,
        }
    }
}

/// Parts of one streamed completion.
pub type PartStream = Pin<Box<dyn Stream<Item = Result<StreamPart>>>>;

/// HTTP client of one engine.
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
    /// Creates a client of the engine at this address; connections are opened on demand.
    pub fn open(address: SocketAddr) -> Self {
        let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
        let http = Client::builder().connector(connector).timeout(ORDER_TIMEOUT).finish();
        Self { http, url: format!("http://{address}") }
    }

    /// Orders the engine to load an adapter version.
    ///
    /// # Errors
    /// Fails when the engine can't be reached, or refuses or fails the order.
    pub async fn load_adapter(&self, model: &str, fence: u64) -> Result<()> {
        self.order("/v1/load_lora_adapter", &AdapterOrder { lora_name: model }, fence).await
    }

    /// Orders the engine to unload an adapter version.
    ///
    /// # Errors
    /// Fails when the engine can't be reached, or refuses or fails the order.
    pub async fn unload_adapter(&self, model: &str, fence: u64) -> Result<()> {
        self.order("/v1/unload_lora_adapter", &AdapterOrder { lora_name: model }, fence).await
    }

    /// Requests the engine's load report.
    ///
    /// # Errors
    /// Fails when the engine can't be reached or its response can't be decoded.
    pub async fn load_report(&self) -> Result<LoadReport> {
        let request = self.http.get(format!("{}/load", self.url)).timeout(CONNECT_TIMEOUT);
        let mut response = request.send().await.map_err(|error| convert_send_error(&error))?;
        response.json().await.map_err(|_error| Error::InvalidResponse)
    }

    /// Starts a completion and streams its parts.
    ///
    /// # Errors
    /// Fails when the request can't be sent, or the engine refuses or fails it.
    pub async fn complete(
        &self,
        completion: &Completion,
        request_id: u128,
        fence: u64,
    ) -> Result<PartStream> {
        let response = self
            .http
            .post(format!("{}/v1/completions", self.url))
            .insert_header((FENCE_HEADER, fence.to_string()))
            .insert_header((REQUEST_ID_HEADER, format!("{request_id:032x}")))
            .timeout(Duration::from_secs(3600))
            .send_json(completion)
            .await
            .map_err(|error| convert_send_error(&error))?;
        Ok(parse_stream(check_status(response)?))
    }

    /// Resumes the stream of a completion after the first `received` parts.
    ///
    /// # Errors
    /// [`Error::Refused`] when the engine does not have the completion, or another error when the
    /// call fails.
    pub async fn resume(&self, request_id: u128, received: u64) -> Result<PartStream> {
        let after = received.checked_sub(1).map(|last| format!("&starting_after={last}"));
        let after = after.unwrap_or_default();
        let url = format!("{}/v1/responses/{request_id:032x}?stream=true{after}", self.url);
        let response = self.http.get(url).timeout(RESUME_TIMEOUT).send().await;
        Ok(parse_stream(check_status(response.map_err(|error| convert_send_error(&error))?)?))
    }

    /// Cancels a completion.
    ///
    /// # Errors
    /// Fails when the engine can't be reached, or refuses or fails the call.
    pub async fn cancel(&self, request_id: u128) -> Result<()> {
        let url = format!("{}/v1/responses/{request_id:032x}/cancel", self.url);
        check_status(
            self.http.post(url).send().await.map_err(|error| convert_send_error(&error))?,
        )?;
        Ok(())
    }

    async fn order(&self, path: &str, body: &impl Serialize, fence: u64) -> Result<()> {
        let response = self
            .http
            .post(format!("{}{path}", self.url))
            .insert_header((FENCE_HEADER, fence.to_string()))
            .send_json(body)
            .await
            .map_err(|error| convert_send_error(&error))?;
        check_status(response)?;
        Ok(())
    }
}

fn convert_send_error(error: &SendRequestError) -> Error {
    if is_unsent(error) { Error::Connect } else { Error::Lost }
}

fn check_status<S>(response: ClientResponse<S>) -> Result<ClientResponse<S>> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::PRECONDITION_FAILED => Err(Error::StaleFence),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(Error::Refused(status.as_u16()))
        }
        status => Err(Error::Failed(status.as_u16())),
    }
}

fn parse_stream<S>(response: ClientResponse<S>) -> PartStream
where
    S: Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let response = response.timeout(Duration::from_secs(3600));
    let events = response.eventsource();
    Box::pin(events.map(|event| {
        let event = event.map_err(|_error| Error::Lost)?;
        if event.data == STREAM_END {
            return Ok(StreamPart::End);
        }
        let offset = event.id.parse().map_err(|_error| Error::InvalidResponse)?;
        let chunk: Chunk =
            serde_json::from_str(&event.data).map_err(|_error| Error::InvalidResponse)?;
        let text = chunk.choices.into_iter().map(|c| c.text).collect();
        Ok(StreamPart::Token { offset, model: chunk.model, text })
    }))
}
