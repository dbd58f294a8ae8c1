//! Requests as an ordinary HTTP client sends them.

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::time::Duration;

/// A completion to ask for.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Model name.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Longest answer in tokens.
    pub max_tokens: u32,
    /// Further fields of the body.
    pub extra_fields: Value,
    /// Idempotency key, if any.
    pub idempotency_key: Option<String>,
}

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A whole answer.
    Complete {
        /// Model that the answer names.
        model: String,
        /// Text.
        text: String,
    },
    /// Problem details, from the status or from the stream.
    Problem {
        /// Stable reason.
        reason: String,
        /// Whether it ran: `no` or `unknown`.
        ran: String,
    },
    /// The connection broke without a final frame or an error: a silent loss when it was open.
    ConnectionLost,
    /// No connection could be made.
    Unreachable,
}

impl CompletionRequest {
    /// Asks for one answer of this model.
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

    /// Gives the whole text that the engine stand-in produces for this request.
    pub fn expected_text(&self) -> String {
        let parts: Vec<String> =
            (0..self.max_tokens).map(|offset| format!("{}#{offset} ", self.model)).collect();
        parts.concat()
    }

    /// Reports whether an answer is the whole and right one.
    pub fn is_answered_by(&self, outcome: &CallerOutcome) -> bool {
        matches!(outcome, CallerOutcome::Complete { model, text }
            if *model == self.model && *text == self.expected_text())
    }

    /// Sends the request and waits for the whole answer.
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
            return problem(&body);
        }
        CallerOutcome::Complete {
            model: text_of(&body["model"]),
            text: text_of(&body["choices"][0]["text"]),
        }
    }

    /// Sends the request as a stream and reads it to its end.
    pub async fn stream(&self, caller_url: &str) -> CallerOutcome {
        let Ok(mut response) = self.post(caller_url, true).await else {
            return CallerOutcome::Unreachable;
        };
        if !response.status().is_success() {
            let body = response.body().await.unwrap_or_default();
            return problem(&serde_json::from_slice(&body).unwrap_or_default());
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
                return problem(&data);
            }
            model = text_of(&data["model"]);
            text.push_str(&text_of(&data["choices"][0]["text"]));
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

/// A call of the plain service `feed` that may run at most once.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// Body, which the stand-in records and gives back.
    pub body: String,
}

impl ServiceCall {
    /// Prepares a keyed call.
    pub fn with_key(key: &str, body: &str) -> Self {
        Self { idempotency_key: Some(key.to_owned()), body: body.to_owned() }
    }

    /// Sends the call; the text of a whole answer is its JSON body.
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
            return problem(&data);
        }
        CallerOutcome::Complete {
            model: String::new(),
            text: String::from_utf8_lossy(&body).into_owned(),
        }
    }
}

type Chunk = Result<bytes::Bytes, awc::error::PayloadError>;

fn problem(body: &Value) -> CallerOutcome {
    CallerOutcome::Problem { reason: text_of(&body["reason"]), ran: text_of(&body["ran"]) }
}

fn text_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
