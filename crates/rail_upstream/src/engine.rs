//! Client for orders, load reports and completions of one engine.

use crate::{
    error::{Error, Result},
    events::EventSplitter,
    pool::{ConnectionPool, ConnectionTimeouts, SendError, UpstreamResponse},
};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt, stream};
use http::{Method, Request, StatusCode, request::Builder};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, pin::Pin, time::Duration};
use tokio::time::timeout;

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
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which a connection is not reused.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Time for which the end of a body that carries nothing more is awaited, so that its connection can
/// be reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size of a load report in bytes.
const MAX_LOAD_REPORT_BYTES: usize = 2 << 20;
/// Maximum size of a body that is read only to reuse its connection, in bytes.
const MAX_DISCARDED_BYTES: usize = 4096;
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
    connections: ConnectionPool,
    address: SocketAddr,
}

impl std::fmt::Debug for EngineClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineClient").field("address", &self.address).finish_non_exhaustive()
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
        let timeouts =
            ConnectionTimeouts { connect: CONNECT_TIMEOUT, unacknowledged: UNACKNOWLEDGED_TIMEOUT };
        Self { connections: ConnectionPool::new(timeouts), address }
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
        let exchange = async {
            let mut response =
                self.send(Method::GET, "/load", |request| request, Bytes::new()).await?;
            let body = response.read_json(MAX_LOAD_REPORT_BYTES).await;
            let body = body.map_err(|_broken| Error::InvalidResponse)?;
            response.return_connection();
            serde_json::from_slice(&body).map_err(|_error| Error::InvalidResponse)
        };
        timeout(CONNECT_TIMEOUT, exchange).await.map_err(|_elapsed| Error::Lost)?
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
        let add_headers = |request: Builder| {
            request
                .header(FENCE_HEADER, fence.to_string())
                .header(REQUEST_ID_HEADER, format!("{request_id:032x}"))
        };
        let response =
            self.send(Method::POST, "/v1/completions", add_headers, encode(completion)?).await?;
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
        let path = format!("/v1/responses/{request_id:032x}?stream=true{after}");
        let sent = self.send(Method::GET, &path, |request| request, Bytes::new());
        let response = timeout(RESUME_TIMEOUT, sent).await.map_err(|_elapsed| Error::Lost)??;
        Ok(parse_stream(check_status(response)?))
    }

    /// Cancels a completion.
    ///
    /// # Errors
    /// Fails when the engine can't be reached, or refuses or fails the call.
    pub async fn cancel(&self, request_id: u128) -> Result<()> {
        let path = format!("/v1/responses/{request_id:032x}/cancel");
        let sent = self.send(Method::POST, &path, |request| request, Bytes::new());
        let response = timeout(ORDER_TIMEOUT, sent).await.map_err(|_elapsed| Error::Lost)??;
        discard_body(check_status(response)?).await;
        Ok(())
    }

    async fn order(&self, path: &str, body: &impl Serialize, fence: u64) -> Result<()> {
        let add_headers = |request: Builder| request.header(FENCE_HEADER, fence.to_string());
        let sent = self.send(Method::POST, path, add_headers, encode(body)?);
        let response = timeout(ORDER_TIMEOUT, sent).await.map_err(|_elapsed| Error::Lost)??;
        discard_body(check_status(response)?).await;
        Ok(())
    }

    /// Sends a call and waits for the response head.
    async fn send(
        &self,
        method: Method,
        path: &str,
        add_headers: impl FnOnce(Builder) -> Builder,
        body: Bytes,
    ) -> Result<UpstreamResponse> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json");
        let request = add_headers(request).body(Full::new(body));
        let request = request.map_err(|_error| Error::InvalidRequest)?;
        let sent = self.connections.send(self.address, request, MAX_IDLE).await;
        sent.map_err(|error| match error {
            SendError::NotSent => Error::Connect,
            SendError::Lost => Error::Lost,
        })
    }
}

fn encode(body: &impl Serialize) -> Result<Bytes> {
    serde_json::to_vec(body).map(Bytes::from).map_err(|_error| Error::InvalidRequest)
}

/// Reads a body that carries nothing, so that its connection can be reused.
async fn discard_body(mut response: UpstreamResponse) {
    if matches!(timeout(BODY_END_TIMEOUT, response.read(MAX_DISCARDED_BYTES)).await, Ok(Ok(_))) {
        response.return_connection();
    }
}

fn check_status(response: UpstreamResponse) -> Result<UpstreamResponse> {
    match response.head.status {
        status if status.is_success() => Ok(response),
        StatusCode::PRECONDITION_FAILED => Err(Error::StaleFence),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(Error::Refused(status.as_u16()))
        }
        status => Err(Error::Failed(status.as_u16())),
    }
}

/// Parses the parts of a completion. Only its end marker ends it; at any other end the last part is
/// [`Error::Lost`].
fn parse_stream(response: UpstreamResponse) -> PartStream {
    let events = Box::pin(whole_events(response).eventsource());
    Box::pin(stream::unfold(Some(events), |events| async move {
        let mut events = events?;
        let part = match events.next().await {
            Some(Ok(event)) if event.data == STREAM_END => {
                let _rest = timeout(BODY_END_TIMEOUT, events.next()).await;
                return Some((Ok(StreamPart::End), None));
            }
            Some(Ok(event)) => parse_token(&event.id, &event.data),
            Some(Err(_)) | None => return Some((Err(Error::Lost), None)),
        };
        Some((part, Some(events)))
    }))
}

fn parse_token(id: &str, data: &str) -> Result<StreamPart> {
    let offset = id.parse().map_err(|_error| Error::InvalidResponse)?;
    let chunk: Chunk = serde_json::from_str(data).map_err(|_error| Error::InvalidResponse)?;
    let text = chunk.choices.into_iter().map(|choice| choice.text).collect();
    Ok(StreamPart::Token { offset, model: chunk.model, text })
}

/// Returns the whole events of a response. Its connection is reused if its body ends as its framing
/// marks.
fn whole_events(response: UpstreamResponse) -> impl Stream<Item = Result<Bytes>> {
    let state = Some((response, EventSplitter::default()));
    stream::unfold(state, |state| async move {
        let (mut response, mut splitter) = state?;
        loop {
            let Ok(Some(bytes)) = response.next().await else {
                response.return_connection();
                return None;
            };
            let events = splitter.push(&bytes);
            if splitter.is_event_too_large() {
                response.reject_as_too_large();
            }
            // The parser takes an empty part for the end of the stream.
            if !events.is_empty() {
                return Some((Ok(events), Some((response, splitter))));
            }
        }
    })
}
