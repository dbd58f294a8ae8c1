//! HTTP handlers of the caller API.

use crate::{
    Gateway,
    answer::{Answer, Part},
    body::read_bytes,
    claims::{KeptAnswer, Keyed, scoped_key},
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
    n: Option<u32>,
    temperature: Option<f64>,
    top_p: Option<f64>,
    presence_penalty: Option<f64>,
    frequency_penalty: Option<f64>,
    seed: Option<i64>,
    stop: Option<Value>,
}

impl Options {
    /// Gives the parameters that go to the engine as they are, as JSON text.
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

/// Form of the answer: plain completion or chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Completion,
    Chat,
}

async fn complete(gateway: Data, request: HttpRequest, body: web::Payload) -> Result<HttpResponse> {
    let body: CompletionBody = read_body(&gateway, body).await?;
    let asked = Asked {
        model: body.model,
        prompt: body.prompt,
        options: body.options,
        shape: Shape::Completion,
    };
    answer(gateway, &request, asked).await
}

async fn chat(gateway: Data, request: HttpRequest, body: web::Payload) -> Result<HttpResponse> {
    let body: ChatBody = read_body(&gateway, body).await?;
    let lines: Vec<String> =
        body.messages.iter().map(|m| format!("{}: {}", m.role, m.content)).collect();
    let prompt = lines.join("\n");
    let asked = Asked { model: body.model, prompt, options: body.options, shape: Shape::Chat };
    answer(gateway, &request, asked).await
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

/// A request for one answer.
#[derive(Debug)]
struct Asked {
    model: String,
    prompt: String,
    options: Options,
    shape: Shape,
}

async fn answer(gateway: Data, request: &HttpRequest, asked: Asked) -> Result<HttpResponse> {
    let key = request.headers().get("idempotency-key");
    let result = match key {
        Some(key) if !asked.options.idempotent => {
            answer_once(&gateway, key.as_bytes(), &asked).await
        }
        _ if asked.options.stream => answer_stream(gateway.clone(), asked).await,
        _ => answer_whole(&gateway, asked).await,
    };
    result.inspect_err(|problem| gateway.count_problem(problem))
}

async fn answer_whole(gateway: &Gateway, asked: Asked) -> Result<HttpResponse> {
    let order = read_order(gateway, &asked)?;
    let id = order.request_id;
    let text = collect(gateway.submit(order, false).await?).await?;
    gateway.metrics.answers.inc();
    Ok(HttpResponse::Ok().json(whole(id, &asked.model, &text, asked.shape)))
}

async fn answer_stream(gateway: Data, asked: Asked) -> Result<HttpResponse> {
    let order = read_order(&gateway, &asked)?;
    let id = order.request_id;
    let answer = gateway.submit(order, true).await?;
    Ok(stream_answer(gateway, id, asked.model, answer, asked.shape))
}

/// Answers a keyed request that runs at most once; a stream has its whole text in one event.
async fn answer_once(gateway: &Gateway, key: &[u8], asked: &Asked) -> Result<HttpResponse> {
    let order = read_order(gateway, asked)?;
    let keyed = Keyed {
        key: scoped_key(&format!("completion/{}", order.caller), key)?,
        fingerprint: asked.fingerprint(),
        deadline: order.deadline,
    };
    let (id, model, shape) = (order.request_id, asked.model.clone(), asked.shape);
    let stream = asked.options.stream;
    let work = {
        let gateway = gateway.clone();
        async move {
            let text = collect(gateway.submit(order, false).await?).await?;
            gateway.metrics.answers.inc();
            let (content_type, body) = if stream {
                let data = chunk(id, &model, &text, shape);
                ("text/event-stream", format!("data: {data}\n\ndata: [DONE]\n\n"))
            } else {
                ("application/json", whole(id, &model, &text, shape).to_string())
            };
            let content_type = Some(content_type.to_owned());
            Ok(KeptAnswer { status: 200, content_type, body: body.into() })
        }
    };
    gateway.run_keyed(keyed, work).await.map(HttpResponse::from)
}

impl Asked {
    fn fingerprint(&self) -> Fingerprint {
        let options = format!("{:?}/{:?}", self.options, self.shape);
        Fingerprint::of([self.model.as_bytes(), self.prompt.as_bytes(), options.as_bytes()])
    }
}

fn read_order(gateway: &Gateway, asked: &Asked) -> Result<WorkOrder> {
    let Asked { model, prompt, options, .. } = asked;
    let name: ModelName = model.parse()?;
    gateway.check_configuration()?;
    let urgency = match options.urgency {
        Some(urgency) => urgency,
        None => gateway.config.applied().resolve(&name)?.urgency_default,
    };
    gateway.config.applied().resolve(&name)?;
    let max_tokens = options.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > LIMIT_MAX_TOKENS {
        return Err(Problem::Body(format!("max_tokens must be 1 to {LIMIT_MAX_TOKENS}")));
    }
    if options.n.is_some_and(|n| n != 1) {
        return Err(Problem::Body("n must be 1".to_owned()));
    }
    let default_deadline = match urgency {
        Urgency::Urgent => URGENT_DEADLINE,
        Urgency::Deferrable => DEFERRABLE_DEADLINE,
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
        deadline: options.deadline_ms.map_or(default_deadline, Duration::from_millis),
    })
}

async fn collect(mut answer: Answer) -> Result<String> {
    let mut text = String::new();
    loop {
        match answer.next().await? {
            Part::Token(token) => text.push_str(&token),
            Part::Restart => text.clear(),
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
                Ok(Part::Restart) => (String::new(), Some((gateway, answer))),
                Ok(Part::Token(text)) => {
                    let data = chunk(id, &model, &text, shape);
                    (format!("data: {data}\n\n"), Some((gateway, answer)))
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

impl Gateway {
    /// Counts the reason of a request without an answer.
    pub fn count_problem(&self, problem: &Problem) {
        match problem {
            Problem::Failed(failed) => self.metrics.failures.count(&failed.to_string()),
            _ => self.metrics.refusals.count(&problem.reason()),
        }
    }
}

async fn list_models(gateway: Data) -> HttpResponse {
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
