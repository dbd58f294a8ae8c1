//! Requests as an ordinary HTTP client sends them.

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::time::Duration;

/// A completion to ask for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Model name.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Longest answer in tokens.
    pub max_tokens: u32,
    /// Further fields of the body.
    pub fields: Value,
    /// Idempotency key, if any.
    pub key: Option<String>,
}

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A whole answer.
    Whole {
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
    Lost,
    /// No connection could be made.
    Unreachable,
}

impl Ask {
    /// Asks for one answer of this model.
    pub fn new(model: &str, max_tokens: u32) -> Self {
        let prompt = "when does the ferry leave".to_owned();
        Self { model: model.to_owned(), prompt, max_tokens, fields: json!({}), key: None }
    }

    /// Gives the whole text that the engine stand-in produces for this request.
    pub fn expected_text(&self) -> String {
        let parts: Vec<String> =
            (0..self.max_tokens).map(|offset| format!("{}#{offset} ", self.model)).collect();
        parts.concat()
    }

    /// Reports whether an answer is the whole and right one.
    pub fn is_answered_by(&self, answer: &Answer) -> bool {
        matches!(answer, Answer::Whole { model, text }
            if *model == self.model && *text == self.expected_text())
    }

    /// Sends the request and waits for the whole answer.
    pub async fn send(&self, caller_url: &str) -> Answer {
        let Ok(mut reply) = self.post(caller_url, false).await else {
            return Answer::Unreachable;
        };
        let Ok(body) = reply.body().limit(16 << 20).await else {
            return Answer::Lost;
        };
        let Ok(body) = serde_json::from_slice::<Value>(&body) else {
            return Answer::Lost;
        };
        if !reply.status().is_success() {
            return problem(&body);
        }
        Answer::Whole { model: text_of(&body["model"]), text: text_of(&body["choices"][0]["text"]) }
    }

    /// Sends the request as a stream and reads it to its end.
    pub async fn stream(&self, caller_url: &str) -> Answer {
        let Ok(mut reply) = self.post(caller_url, true).await else {
            return Answer::Unreachable;
        };
        if !reply.status().is_success() {
            let body = reply.body().await.unwrap_or_default();
            return problem(&serde_json::from_slice(&body).unwrap_or_default());
        }
        let mut events = reply.timeout(Duration::from_secs(600)).eventsource();
        let mut model = String::new();
        let mut text = String::new();
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                return Answer::Whole { model, text };
            }
            let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
            if event.event == "error" {
                return problem(&data);
            }
            model = text_of(&data["model"]);
            text.push_str(&text_of(&data["choices"][0]["text"]));
        }
        Answer::Lost
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
        if let (Some(body), Some(fields)) = (body.as_object_mut(), self.fields.as_object()) {
            body.extend(fields.clone());
        }
        let client = awc::Client::builder().timeout(Duration::from_secs(120)).finish();
        let mut request = client.post(format!("{caller_url}/v1/completions"));
        if let Some(key) = &self.key {
            request = request.insert_header(("idempotency-key", key.as_str()));
        }
        request.send_json(&body).await.map_err(drop)
    }
}

/// A call of the plain service `feed` that may run at most once.
#[derive(Debug, Clone)]
pub struct Post {
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Body, which the stand-in records and gives back.
    pub body: String,
}

impl Post {
    /// Prepares a keyed call.
    pub fn keyed(key: &str, body: &str) -> Self {
        Self { key: Some(key.to_owned()), body: body.to_owned() }
    }

    /// Sends the call; the text of a whole answer is its JSON body.
    pub async fn send(&self, caller_url: &str) -> Answer {
        let client = awc::Client::builder().timeout(Duration::from_secs(120)).finish();
        let mut request = client.post(format!("{caller_url}/v1/services/feed/alerts"));
        if let Some(key) = &self.key {
            request = request.insert_header(("idempotency-key", key.as_str()));
        }
        let Ok(mut reply) = request.send_body(self.body.clone()).await else {
            return Answer::Unreachable;
        };
        let Ok(body) = reply.body().limit(16 << 20).await else {
            return Answer::Lost;
        };
        let data: Value = serde_json::from_slice(&body).unwrap_or_default();
        if data["reason"].is_string() {
            return problem(&data);
        }
        Answer::Whole { model: String::new(), text: String::from_utf8_lossy(&body).into_owned() }
    }
}

type Chunk = Result<bytes::Bytes, awc::error::PayloadError>;

fn problem(body: &Value) -> Answer {
    Answer::Problem { reason: text_of(&body["reason"]), ran: text_of(&body["ran"]) }
}

fn text_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
