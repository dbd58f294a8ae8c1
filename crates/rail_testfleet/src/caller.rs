//! Caller of the fleet that sends requests as an ordinary HTTP client does.

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::time::Duration;

/// Request for one completion, sent to `/v1/completions`.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Model name, such as `llama:a0@v1`.
    pub model: String,
    /// Text that the model is to complete.
    pub prompt: String,
    /// Maximum length of the completion in tokens.
    pub max_tokens: u32,
    /// JSON object with further fields of the request body; they override those of this type.
    pub extra_fields: Value,
    /// Value of the `idempotency-key` header; without a key the header is not sent.
    pub idempotency_key: Option<String>,
}

/// Outcome of a request as its caller observes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The response arrived completely.
    Complete {
        /// Model that the response names; empty for a [`ServiceCall`].
        model: String,
        /// Text of the completion, or body of the service's response.
        text: String,
    },
    /// Problem details, sent as the response body or as an error event of the stream.
    Problem {
        /// Stable code of the cause, such as `queue_full`.
        reason: String,
        /// Whether an upstream ran the request: `no` or `unknown`.
        ran: String,
    },
    /// The connection broke, or the response was unreadable, before a final event or an error
    /// arrived. The caller can't tell what happened, so tests treat this as a fault.
    ConnectionLost,
    /// The request failed before any response arrived, for example on connecting.
    Unreachable,
}

impl CompletionRequest {
    /// Creates a request for a completion by this model, without key or extra fields.
    pub fn new(model: &str, max_tokens: u32) -> Self {
        let prompt = "when does the ferry leave".to_owned();
        Self {
            model: model.to_owned(),
            prompt,
            max_tokens,
            extra_fields: json!({}),
            idempotency_key: None,
        }
    }

    /// Returns the complete text that the engine stand-in generates for this request.
    pub fn expected_text(&self) -> String {
        let parts: Vec<String> =
            (0..self.max_tokens).map(|offset| format!("{}#{offset} ", self.model)).collect();
        parts.concat()
    }

    /// Returns whether the outcome is the complete text of the requested model.
    pub fn is_answered_by(&self, outcome: &CallerOutcome) -> bool {
        matches!(outcome, CallerOutcome::Complete { model, text }
            if *model == self.model && *text == self.expected_text())
    }

    /// Sends the request without streaming and waits for the complete response.
    pub async fn send(&self, caller_url: &str) -> CallerOutcome {
        let Ok(mut response) = self.post(caller_url, false).await else {
            return CallerOutcome::Unreachable;
        };
        let Ok(body) = response.body().limit(16 << 20).await else {
            return CallerOutcome::ConnectionLost;
        };
        let Ok(body) = serde_json::from_slice::<Value>(&body) else {
            return CallerOutcome::ConnectionLost;
        };
        if !response.status().is_success() {
            return problem_from(&body);
        }
        CallerOutcome::Complete {
            model: string_value(&body["model"]),
            text: string_value(&body["choices"][0]["text"]),
        }
    }

    /// Sends the request with streaming and reads the event stream to its end.
    pub async fn stream(&self, caller_url: &str) -> CallerOutcome {
        let Ok(mut response) = self.post(caller_url, true).await else {
            return CallerOutcome::Unreachable;
        };
        if !response.status().is_success() {
            let body = response.body().await.unwrap_or_default();
            return problem_from(&serde_json::from_slice(&body).unwrap_or_default());
        }
        let mut events = response.timeout(Duration::from_secs(600)).eventsource();
        let mut model = String::new();
        let mut text = String::new();
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                return CallerOutcome::Complete { model, text };
            }
            let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
            if event.event == "error" {
                return problem_from(&data);
            }
            model = string_value(&data["model"]);
            text.push_str(&string_value(&data["choices"][0]["text"]));
        }
        CallerOutcome::ConnectionLost
    }

    async fn post(
        &self,
        caller_url: &str,
        stream: bool,
    ) -> Result<awc::ClientResponse<impl futures_util::Stream<Item = Chunk> + Unpin + use<>>, ()>
    {
        let mut body = json!({
            "model": self.model, "prompt": self.prompt,
            "max_tokens": self.max_tokens, "stream": stream,
        });
        if let (Some(body), Some(extra_fields)) =
            (body.as_object_mut(), self.extra_fields.as_object())
        {
            body.extend(extra_fields.clone());
        }
        let client = awc::Client::builder().timeout(Duration::from_secs(120)).finish();
        let mut request = client.post(format!("{caller_url}/v1/completions"));
        if let Some(key) = &self.idempotency_key {
            request = request.insert_header(("idempotency-key", key.as_str()));
        }
        request.send_json(&body).await.map_err(drop)
    }
}

/// Call of the plain service `feed`; with an idempotency key it runs at most once.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Value of the `idempotency-key` header; without a key the header is not sent.
    pub idempotency_key: Option<String>,
    /// Body, which the service stand-in records and returns.
    pub body: String,
}

impl ServiceCall {
    /// Creates a call with an idempotency key.
    pub fn with_key(key: &str, body: &str) -> Self {
        Self { idempotency_key: Some(key.to_owned()), body: body.to_owned() }
    }

    /// Sends the call; the text of a complete outcome is the JSON body of the response.
    pub async fn send(&self, caller_url: &str) -> CallerOutcome {
        let client = awc::Client::builder().timeout(Duration::from_secs(120)).finish();
        let mut request = client.post(format!("{caller_url}/v1/services/feed/alerts"));
        if let Some(key) = &self.idempotency_key {
            request = request.insert_header(("idempotency-key", key.as_str()));
        }
        let Ok(mut response) = request.send_body(self.body.clone()).await else {
            return CallerOutcome::Unreachable;
        };
        let Ok(body) = response.body().limit(16 << 20).await else {
            return CallerOutcome::ConnectionLost;
        };
        let data: Value = serde_json::from_slice(&body).unwrap_or_default();
        if data["reason"].is_string() {
            return problem_from(&data);
        }
        CallerOutcome::Complete {
            model: String::new(),
            text: String::from_utf8_lossy(&body).into_owned(),
        }
    }
}

type Chunk = Result<bytes::Bytes, awc::error::PayloadError>;

fn problem_from(body: &Value) -> CallerOutcome {
    CallerOutcome::Problem {
        reason: string_value(&body["reason"]),
        ran: string_value(&body["ran"]),
    }
}

fn string_value(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
