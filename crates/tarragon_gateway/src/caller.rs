//! HTTP handlers of the caller API.

use crate::{
    Gateway,
    body::read_bytes,
    claims::{BufferedResponse, KeyedRequest, scoped_key},
    completion_stream::{CompletionStream, Part},
    entry::list_entry_hosts,
    problem::{Problem, Result},
    services::call_service,
};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use rail_config::{ModelName, Urgency};
use rail_request::{Fingerprint, RequestId, WorkOrder};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;

/// Maximum length of a response if the request sets none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 64;
/// Largest `max_tokens` that a request may set.
const MAX_TOKENS_LIMIT: u32 = 16_384;
/// Timeout of an urgent request that sets none.
const DEFAULT_URGENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a deferrable request that sets none.
const DEFAULT_DEFERRABLE_TIMEOUT: Duration = Duration::from_secs(3600);

type GatewayData = web::Data<Gateway>;

/// Adds the routes of the caller API to an application.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/models", web::get().to(list_models))
        .route("/v1/entry-hosts", web::get().to(list_entry_hosts))
        .route("/v1/services/{service}/{path:.*}", web::to(call_service))
        .route("/healthz", web::get().to(report_health))
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

/// Request options that completions and chats share.
///
/// The fingerprint of a request with an idempotency key hashes the `Debug` output of this type and
/// of [`Shape`], so a change of either makes a repeated request look like another one.
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
    n: Option<u32>,
    temperature: Option<f64>,
    top_p: Option<f64>,
    presence_penalty: Option<f64>,
    frequency_penalty: Option<f64>,
    seed: Option<i64>,
    stop: Option<Value>,
}

impl Options {
    /// Returns the sampling parameters that are passed to the engine unchanged, as a JSON object.
    fn sampling_json(&self) -> String {
        let parameters = [
            ("temperature", self.temperature.map(Value::from)),
            ("top_p", self.top_p.map(Value::from)),
            ("presence_penalty", self.presence_penalty.map(Value::from)),
            ("frequency_penalty", self.frequency_penalty.map(Value::from)),
            ("seed", self.seed.map(Value::from)),
            ("stop", self.stop.clone()),
        ];
        let named = parameters.into_iter().filter_map(|(name, value)| Some((name, value?)));
        named.collect::<Value>().to_string()
    }
}

fn default_idempotent() -> bool {
    true
}

/// Format of the response: completion or chat completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Completion,
    Chat,
}

async fn complete(
    gateway: GatewayData,
    request: HttpRequest,
    body: web::Payload,
) -> Result<HttpResponse> {
    let body: CompletionBody = read_body(&gateway, body).await?;
    let completion = CompletionRequest {
        model: body.model,
        prompt: body.prompt,
        options: body.options,
        shape: Shape::Completion,
    };
    respond(gateway, &request, completion).await
}

async fn chat(
    gateway: GatewayData,
    request: HttpRequest,
    body: web::Payload,
) -> Result<HttpResponse> {
    let body: ChatBody = read_body(&gateway, body).await?;
    let lines: Vec<String> = body
        .messages
        .iter()
        .map(|message| format!("{}: {}", message.role, message.content))
        .collect();
    let prompt = lines.join("\n");
    let completion =
        CompletionRequest { model: body.model, prompt, options: body.options, shape: Shape::Chat };
    respond(gateway, &request, completion).await
}

async fn read_body<T: serde::de::DeserializeOwned>(
    gateway: &Gateway,
    body: web::Payload,
) -> Result<T> {
    let result = read_json(body).await;
    if let Err(problem) = &result {
        gateway.count_problem(problem);
    }
    result
}

async fn read_json<T: serde::de::DeserializeOwned>(body: web::Payload) -> Result<T> {
    let bytes = read_bytes(body).await?;
    serde_json::from_slice(&bytes).map_err(|error| Problem::Body(error.to_string()))
}

/// Completion or chat request, with the messages of a chat joined to one prompt.
#[derive(Debug)]
struct CompletionRequest {
    model: String,
    prompt: String,
    options: Options,
    shape: Shape,
}

async fn respond(
    gateway: GatewayData,
    request: &HttpRequest,
    completion: CompletionRequest,
) -> Result<HttpResponse> {
    let key = request.headers().get("idempotency-key");
    let result = match key {
        Some(key) if !completion.options.idempotent => {
            respond_once(&gateway, key.as_bytes(), &completion).await
        }
        _ if completion.options.stream => respond_with_stream(gateway.clone(), completion).await,
        _ => respond_with_complete_text(&gateway, completion).await,
    };
    result.inspect_err(|problem| gateway.count_problem(problem))
}

async fn respond_with_complete_text(
    gateway: &Gateway,
    completion: CompletionRequest,
) -> Result<HttpResponse> {
    let order = build_order(gateway, &completion)?;
    let id = order.request_id;
    let text = collect_text(gateway.submit(order, false).await?).await?;
    gateway.metrics.answers.inc();
    Ok(HttpResponse::Ok().json(completion_json(id, &completion.model, &text, completion.shape)))
}

async fn respond_with_stream(
    gateway: GatewayData,
    completion: CompletionRequest,
) -> Result<HttpResponse> {
    let order = build_order(&gateway, &completion)?;
    let id = order.request_id;
    let stream = gateway.submit(order, true).await?;
    Ok(stream_events(gateway, id, completion.model, stream, completion.shape))
}

/// Runs a request with an idempotency key at most once.
///
/// A streamed response has its complete text in one event, because only a complete response can be
/// stored.
async fn respond_once(
    gateway: &Gateway,
    key: &[u8],
    completion: &CompletionRequest,
) -> Result<HttpResponse> {
    let order = build_order(gateway, completion)?;
    let keyed_request = KeyedRequest {
        key: scoped_key(&format!("completion/{}", order.caller), key)?,
        fingerprint: completion.fingerprint(),
        timeout: order.deadline,
    };
    let (id, model, shape) = (order.request_id, completion.model.clone(), completion.shape);
    let is_streamed = completion.options.stream;
    let work = {
        let gateway = gateway.clone();
        async move {
            let text = collect_text(gateway.submit(order, false).await?).await?;
            gateway.metrics.answers.inc();
            let (content_type, body) = if is_streamed {
                let data = chunk_json(id, &model, &text, shape);
                ("text/event-stream", format!("data: {data}\n\ndata: [DONE]\n\n"))
            } else {
                ("application/json", completion_json(id, &model, &text, shape).to_string())
            };
            let content_type = Some(content_type.to_owned());
            Ok(BufferedResponse { status: 200, content_type, body: body.into(), is_whole: true })
        }
    };
    gateway.run_keyed(keyed_request, work).await.map(HttpResponse::from)
}

impl CompletionRequest {
    fn fingerprint(&self) -> Fingerprint {
        let options = format!("{:?}/{:?}", self.options, self.shape);
        Fingerprint::of([self.model.as_bytes(), self.prompt.as_bytes(), options.as_bytes()])
    }
}

fn build_order(gateway: &Gateway, completion: &CompletionRequest) -> Result<WorkOrder> {
    let CompletionRequest { model, prompt, options, .. } = completion;
    let name: ModelName = model.parse()?;
    gateway.check_configuration()?;
    let urgency = match options.urgency {
        Some(urgency) => urgency,
        None => gateway.config.applied().resolve(&name)?.urgency_default,
    };
    gateway.config.applied().resolve(&name)?;
    let max_tokens = options.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
        return Err(Problem::Body(format!("max_tokens must be 1 to {MAX_TOKENS_LIMIT}")));
    }
    if options.n.is_some_and(|n| n != 1) {
        return Err(Problem::Body("n must be 1".to_owned()));
    }
    let default_timeout = match urgency {
        Urgency::Urgent => DEFAULT_URGENT_TIMEOUT,
        Urgency::Deferrable => DEFAULT_DEFERRABLE_TIMEOUT,
    };
    Ok(WorkOrder {
        request_id: rand::random(),
        engine: String::new(),
        model: model.clone(),
        prompt: prompt.clone(),
        max_tokens,
        sampling_json: options.sampling_json(),
        urgent: urgency == Urgency::Urgent,
        idempotent: options.idempotent,
        isolated: false,
        caller: options.user.clone().unwrap_or_default(),
        deadline: options.deadline_ms.map_or(default_timeout, Duration::from_millis),
    })
}

async fn collect_text(mut completion: CompletionStream) -> Result<String> {
    let mut text = String::new();
    loop {
        match completion.next().await? {
            Part::Token(token) => text.push_str(&token),
            Part::Restart => text.clear(),
            Part::Final => return Ok(text),
        }
    }
}

fn stream_events(
    gateway: GatewayData,
    id: RequestId,
    model: String,
    completion: CompletionStream,
    shape: Shape,
) -> HttpResponse {
    let state = Some((gateway, completion));
    let events = stream::unfold(state, move |state| {
        let model = model.clone();
        async move {
            let (gateway, mut completion) = state?;
            let (event, next) = match completion.next().await {
                Ok(Part::Restart) => (String::new(), Some((gateway, completion))),
                Ok(Part::Token(text)) => {
                    let data = chunk_json(id, &model, &text, shape);
                    (format!("data: {data}\n\n"), Some((gateway, completion)))
                }
                Ok(Part::Final) => {
                    gateway.metrics.answers.inc();
                    ("data: [DONE]\n\n".to_owned(), None)
                }
                Err(problem) => {
                    gateway.count_problem(&problem);
                    let data = serde_json::to_string(&problem.body()).unwrap_or_default();
                    (format!("event: error\ndata: {data}\n\n"), None)
                }
            };
            Some((Ok::<_, std::convert::Infallible>(Bytes::from(event)), next))
        }
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(events)
}

fn completion_json(id: RequestId, model: &str, text: &str, shape: Shape) -> Value {
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

fn chunk_json(id: RequestId, model: &str, text: &str, shape: Shape) -> Value {
    let (object, choice) = match shape {
        Shape::Completion => ("text_completion", json!({"index": 0, "text": text})),
        Shape::Chat => ("chat.completion.chunk", json!({"index": 0, "delta": {"content": text}})),
    };
    json!({"id": format!("{id:032x}"), "object": object, "model": model, "choices": [choice]})
}

impl Gateway {
    /// Counts a call that ended with a problem, by reason.
    pub fn count_problem(&self, problem: &Problem) {
        match problem {
            Problem::Failed(failed) => self.metrics.failures.count(&failed.to_string()),
            _ => self.metrics.refusals.count(&problem.reason()),
        }
    }
}

async fn list_models(gateway: GatewayData) -> HttpResponse {
    let fleet = gateway.config.applied();
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

async fn report_health(gateway: GatewayData, _request: HttpRequest) -> HttpResponse {
    if gateway.stop.is_stopping() {
        HttpResponse::ServiceUnavailable().body("leaving")
    } else if !gateway.config.is_confirmed() {
        HttpResponse::ServiceUnavailable().body("no configuration yet")
    } else {
        HttpResponse::Ok().body("ok")
    }
}

async fn render_metrics(gateway: GatewayData) -> HttpResponse {
    HttpResponse::Ok().content_type("application/openmetrics-text").body(gateway.registry.render())
}
