//! HTTP handlers of the caller API.

use crate::{
    Gateway,
    entry::list_entry_hosts,
    problem::{Problem, Result},
    route::{Answer, Part},
    services::call_service,
};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use rail_config::{ModelName, Urgency};
use rail_request::{RequestId, WorkOrder};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;

/// Longest answer when the caller names none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 64;
/// Longest answer that a caller may ask for, in tokens.
const LIMIT_MAX_TOKENS: u32 = 16_384;
/// Deadline of an urgent request that names none.
const URGENT_DEADLINE: Duration = Duration::from_secs(30);
/// Deadline of a deferrable request that names none.
const DEFERRABLE_DEADLINE: Duration = Duration::from_secs(3600);

type Data = web::Data<Gateway>;

/// Adds the caller API to an application.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/models", web::get().to(list_models))
        .route("/v1/entry-hosts", web::get().to(list_entry_hosts))
        .route("/v1/services/{service}/{path:.*}", web::to(call_service))
        .route("/healthz", web::get().to(health))
        .route("/metrics", web::get().to(render_metrics));
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CompletionBody {
    model: String,
    prompt: String,
    #[serde(flatten)]
    options: Options,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(flatten)]
    options: Options,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatMessage {
    role: String,
    content: String,
}

#[derive(Debug, Deserialize)]
struct Options {
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    user: Option<String>,
    urgency: Option<Urgency>,
    deadline_ms: Option<u64>,
    #[serde(default = "default_idempotent")]
    idempotent: bool,
}

fn default_idempotent() -> bool {
    true
}

/// Form of the answer: plain completion or chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Completion,
    Chat,
}

async fn complete(gateway: Data, body: web::Payload) -> Result<HttpResponse> {
    let body: CompletionBody = read_body(&gateway, body).await?;
    answer(gateway, body.model, body.prompt, body.options, Shape::Completion).await
}

async fn chat(gateway: Data, body: web::Payload) -> Result<HttpResponse> {
    let body: ChatBody = read_body(&gateway, body).await?;
    let lines: Vec<String> =
        body.messages.iter().map(|m| format!("{}: {}", m.role, m.content)).collect();
    answer(gateway, body.model, lines.join("\n"), body.options, Shape::Chat).await
}

async fn read_body<T: serde::de::DeserializeOwned>(
    gateway: &Gateway,
    body: web::Payload,
) -> Result<T> {
    let result = read_json(body).await;
    if let Err(problem) = &result {
        gateway.metrics.refusals.count(&problem.reason());
    }
    result
}

async fn read_json<T: serde::de::DeserializeOwned>(body: web::Payload) -> Result<T> {
    let bytes = body
        .to_bytes_limited(crate::MAX_BODY_BYTES)
        .await
        .map_err(|_limit| Problem::TooLarge)?
        .map_err(|error| Problem::Body(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| Problem::Body(error.to_string()))
}

async fn answer(
    gateway: Data,
    model: String,
    prompt: String,
    options: Options,
    shape: Shape,
) -> Result<HttpResponse> {
    let result = start_answer(&gateway, &model, prompt, &options).await;
    let (id, answer) = result.inspect_err(|problem| count_problem(&gateway, problem))?;
    if options.stream {
        return Ok(stream_answer(gateway, id, model, answer, shape));
    }
    let text = collect(answer).await.inspect_err(|problem| count_problem(&gateway, problem))?;
    gateway.metrics.answers.inc();
    Ok(HttpResponse::Ok().json(whole(id, &model, &text, shape)))
}

async fn start_answer(
    gateway: &Gateway,
    model: &str,
    prompt: String,
    options: &Options,
) -> Result<(RequestId, Answer)> {
    let name: ModelName = model.parse()?;
    gateway.check_configuration()?;
    let urgency = match options.urgency {
        Some(urgency) => urgency,
        None => gateway.config.current().resolve(&name)?.urgency_default,
    };
    gateway.config.current().resolve(&name)?;
    let max_tokens = options.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > LIMIT_MAX_TOKENS {
        return Err(Problem::Body(format!("max_tokens must be 1 to {LIMIT_MAX_TOKENS}")));
    }
    let default_deadline = match urgency {
        Urgency::Urgent => URGENT_DEADLINE,
        Urgency::Deferrable => DEFERRABLE_DEADLINE,
    };
    let order = WorkOrder {
        request_id: rand::random(),
        engine: String::new(),
        model: model.to_owned(),
        prompt,
        max_tokens,
        urgent: urgency == Urgency::Urgent,
        idempotent: options.idempotent,
        caller: options.user.clone().unwrap_or_default(),
        deadline: options.deadline_ms.map_or(default_deadline, Duration::from_millis),
    };
    let id = order.request_id;
    Ok((id, gateway.submit(order, &name.base).await?))
}

async fn collect(mut answer: Answer) -> Result<String> {
    let mut text = String::new();
    loop {
        match answer.next().await? {
            Part::Token(token) => text.push_str(&token),
            Part::Final => return Ok(text),
        }
    }
}

fn stream_answer(
    gateway: Data,
    id: RequestId,
    model: String,
    answer: Answer,
    shape: Shape,
) -> HttpResponse {
    let state = Some((gateway, answer));
    let events = stream::unfold(state, move |state| {
        let model = model.clone();
        async move {
            let (gateway, mut answer) = state?;
            let (event, next) = match answer.next().await {
                Ok(Part::Token(text)) => {
                    let data = chunk(id, &model, &text, shape);
                    (format!("data: {data}\n\n"), Some((gateway, answer)))
                }
                Ok(Part::Final) => {
                    gateway.metrics.answers.inc();
                    ("data: [DONE]\n\n".to_owned(), None)
                }
                Err(problem) => {
                    count_problem(&gateway, &problem);
                    let data = serde_json::to_string(&problem.body()).unwrap_or_default();
                    (format!("event: error\ndata: {data}\n\n"), None)
                }
            };
            Some((Ok::<_, std::convert::Infallible>(Bytes::from(event)), next))
        }
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(events)
}

fn whole(id: RequestId, model: &str, text: &str, shape: Shape) -> Value {
    let (object, choice) = match shape {
        Shape::Completion => {
            ("text_completion", json!({"index": 0, "text": text, "finish_reason": "stop"}))
        }
        Shape::Chat => {
            let message = json!({"role": "assistant", "content": text});
            ("chat.completion", json!({"index": 0, "message": message, "finish_reason": "stop"}))
        }
    };
    json!({"id": format!("{id:032x}"), "object": object, "model": model, "choices": [choice]})
}

fn chunk(id: RequestId, model: &str, text: &str, shape: Shape) -> Value {
    let (object, choice) = match shape {
        Shape::Completion => ("text_completion", json!({"index": 0, "text": text})),
        Shape::Chat => ("chat.completion.chunk", json!({"index": 0, "delta": {"content": text}})),
    };
    json!({"id": format!("{id:032x}"), "object": object, "model": model, "choices": [choice]})
}

fn count_problem(gateway: &Gateway, problem: &Problem) {
    match problem {
        Problem::Failed(failed) => gateway.metrics.failures.count(&failed.to_string()),
        _ => gateway.metrics.refusals.count(&problem.reason()),
    }
}

async fn list_models(gateway: Data) -> HttpResponse {
    let fleet = gateway.config.current();
    let mut models = Vec::new();
    for (base, adapters) in &fleet.adapters {
        for (adapter, entry) in adapters {
            for version in &entry.versions {
                let id = format!("{base}:{adapter}@{version}");
                models.push(json!({"id": id, "object": "model"}));
            }
        }
    }
    HttpResponse::Ok().json(json!({"object": "list", "data": models}))
}

async fn health(gateway: Data, _request: HttpRequest) -> HttpResponse {
    if gateway.stop.is_stopping() {
        HttpResponse::ServiceUnavailable().body("leaving")
    } else if !gateway.config.is_confirmed() {
        HttpResponse::ServiceUnavailable().body("no configuration yet")
    } else {
        HttpResponse::Ok().body("ok")
    }
}

async fn render_metrics(gateway: Data) -> HttpResponse {
    HttpResponse::Ok().content_type("application/openmetrics-text").body(gateway.registry.render())
}
