//! Stand-in of a model engine with adapter slots, batched completions that can be resumed,
//! fencing of orders and simulated crashes.

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use awc::Client;
use bytes::Bytes;
use futures_util::stream;
use gumdrop::Options;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::{Semaphore, watch};

/// A completion whose prompt contains this text crashes the engine.
const CRASH_MARKER: &str = "CRASH-THE-ENGINE";

#[derive(Debug, Options)]
pub struct Flags {
    /// print this help
    help: bool,
    /// address to listen on
    #[options(default_expr = "crate::default_listen()")]
    listen: SocketAddr,
    /// address of the weight store
    #[options(no_short, required)]
    store: Option<SocketAddr>,
    /// adapter slots
    #[options(no_short, default = "8")]
    slots: usize,
    /// requests that run at once
    #[options(no_short, default = "8")]
    batch: usize,
    /// time to generate one token, in milliseconds
    #[options(no_short, default = "5")]
    token_ms: u64,
    /// downtime after a crash, in milliseconds
    #[options(no_short, default = "1000")]
    restart_ms: u64,
    /// refuse orders with a smaller fencing number than one seen before
    #[options(no_short)]
    checks_fencing: bool,
}

/// Faults that `POST /_faults` sets; each call replaces all of them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Number of further loads that fail.
    fail_loads: u32,
    /// Time added to each load, in milliseconds.
    load_delay_ms: u64,
    /// Report a model name in responses that differs from the requested one.
    wrong_version: bool,
    /// Crash when the faults are set and restart with no adapter loaded.
    crash: bool,
}

/// Counters that `GET /_stats` returns.
#[derive(Debug, Clone, Default, Serialize)]
struct Stats {
    /// Random id of the current start of the engine; a crash changes it.
    boot_id: u64,
    /// Ids of the requests in the order in which the engine accepted them.
    executions: Vec<String>,
    loads: u64,
    evictions: u64,
    /// Adapters that were unloaded while a request used them.
    evicted_in_use: u64,
    /// Orders accepted with a smaller fencing number than one seen before.
    stale_orders_accepted: u64,
    stale_orders_refused: u64,
    cancelled: u64,
    /// Temperature of the last completion request.
    last_temperature: Option<f64>,
    crashes: u64,
    /// Number of running requests, summed over all generated tokens. Divided by `batch_steps`, it
    /// is the mean batch size.
    batch_sum: u64,
    /// Number of generated tokens.
    batch_steps: u64,
}

/// Progress of a run, observed by the streams that return it.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    token_count: u64,
    outcome: Option<RunOutcome>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunOutcome {
    Completed,
    /// Cancelled, or its adapter or the engine was lost.
    Interrupted,
}

/// One completion that the engine executes. It can be resumed after it has ended, until the
/// engine crashes.
#[derive(Debug)]
struct Run {
    /// Model name that the response reports.
    model: String,
    progress: watch::Sender<Progress>,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    stats: Stats,
    /// Loaded adapters with the number of requests that use each.
    loaded: BTreeMap<String, u32>,
    runs: HashMap<String, Arc<Run>>,
    running: u32,
    waiting: u32,
    /// Greatest fencing number seen since the engine started.
    max_fence: u64,
    down_until: Option<Instant>,
}

struct Engine {
    flags: Flags,
    batch: Semaphore,
    inner: Mutex<Inner>,
}

type Data = web::Data<Engine>;

impl Engine {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Interrupts all runs, unloads all adapters and refuses requests for `restart_ms`.
    fn crash(&self) {
        let mut inner = self.lock();
        inner.stats.crashes += 1;
        inner.stats.boot_id = rand::rng().random();
        inner.loaded.clear();
        inner.max_fence = 0;
        inner.down_until = Some(Instant::now() + Duration::from_millis(self.flags.restart_ms));
        for (_, run) in inner.runs.drain() {
            run.progress.send_modify(|p| p.outcome = p.outcome.or(Some(RunOutcome::Interrupted)));
        }
    }

    fn start_run(&self) {
        let mut inner = self.lock();
        inner.waiting -= 1;
        inner.running += 1;
    }

    fn is_down(&self) -> bool {
        self.lock().down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns the refusal of a request if the engine is down or its fencing number is too small.
    fn check_request(&self, request: &HttpRequest) -> Option<HttpResponse> {
        if self.is_down() {
            return Some(HttpResponse::ServiceUnavailable().finish());
        }
        self.check_fence(request)
    }

    /// Records the fencing number of an order and returns the refusal if the number is too small
    /// and the engine checks it. An order without a number is accepted.
    fn check_fence(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let value = request.headers().get("x-fencing-number")?.to_str().ok()?;
        let fence: u64 = value.parse().ok()?;
        let mut inner = self.lock();
        if fence >= inner.max_fence {
            inner.max_fence = fence;
            return None;
        }
        if self.flags.checks_fencing {
            inner.stats.stale_orders_refused += 1;
            return Some(HttpResponse::PreconditionFailed().finish());
        }
        inner.stats.stale_orders_accepted += 1;
        None
    }
}

#[derive(Debug, Deserialize)]
struct AdapterOrder {
    lora_name: String,
}

async fn load_adapter(
    request: HttpRequest,
    order: web::Json<AdapterOrder>,
    engine: Data,
) -> HttpResponse {
    if let Some(refusal) = engine.check_request(&request) {
        return refusal;
    }
    let (is_full, delay_ms, boot_id) = {
        let mut inner = engine.lock();
        if inner.loaded.contains_key(&order.lora_name) {
            return HttpResponse::Ok().finish();
        }
        if inner.faults.fail_loads > 0 {
            inner.faults.fail_loads -= 1;
            return HttpResponse::InternalServerError().finish();
        }
        let is_full = inner.loaded.len() >= engine.flags.slots;
        (is_full, inner.faults.load_delay_ms, inner.stats.boot_id)
    };
    if is_full {
        return HttpResponse::Conflict().finish();
    }
    let Some(store) = engine.flags.store else {
        return HttpResponse::InternalServerError().finish();
    };
    let client = Client::builder().timeout(Duration::from_secs(60)).finish();
    let url = format!("http://{store}/adapters/{}", order.lora_name);
    let response = client.get(url).send().await;
    if !response.is_ok_and(|response| response.status().is_success()) {
        return HttpResponse::InternalServerError().finish();
    }
    actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    let mut inner = engine.lock();
    if inner.stats.boot_id != boot_id || inner.loaded.len() >= engine.flags.slots {
        return HttpResponse::InternalServerError().finish();
    }
    inner.stats.loads += 1;
    inner.loaded.entry(order.into_inner().lora_name).or_insert(0);
    HttpResponse::Ok().finish()
}

async fn unload_adapter(
    request: HttpRequest,
    order: web::Json<AdapterOrder>,
    engine: Data,
) -> HttpResponse {
    if let Some(refusal) = engine.check_request(&request) {
        return refusal;
    }
    let mut inner = engine.lock();
    let Some(in_use) = inner.loaded.remove(&order.lora_name) else {
        return HttpResponse::NotFound().finish();
    };
    inner.stats.evictions += 1;
    if in_use > 0 {
        inner.stats.evicted_in_use += 1;
        for run in inner.runs.values().filter(|run| run.model == order.lora_name) {
            run.progress.send_modify(|p| p.outcome = p.outcome.or(Some(RunOutcome::Interrupted)));
        }
    }
    HttpResponse::Ok().finish()
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    max_tokens: u64,
    temperature: Option<f64>,
}

async fn complete(
    request: HttpRequest,
    completion: web::Json<Completion>,
    engine: Data,
) -> HttpResponse {
    if let Some(refusal) = engine.check_request(&request) {
        return refusal;
    }
    let id = request.headers().get("x-request-id").and_then(|v| v.to_str().ok());
    let id = id.unwrap_or("none").to_owned();
    let run = {
        let mut inner = engine.lock();
        let Some(in_use) = inner.loaded.get_mut(&completion.model) else {
            return HttpResponse::NotFound().finish();
        };
        *in_use += 1;
        inner.stats.executions.push(id.clone());
        inner.stats.last_temperature = completion.temperature;
        let reported_model = if inner.faults.wrong_version {
            format!("{}-other", completion.model)
        } else {
            completion.model.clone()
        };
        let run = Arc::new(Run { model: reported_model, progress: watch::Sender::default() });
        inner.runs.insert(id, Arc::clone(&run));
        run
    };
    if completion.prompt.contains(CRASH_MARKER) {
        engine.crash();
    }
    actix_rt::spawn(generate(engine, completion.into_inner(), Arc::clone(&run)));
    stream_run(&run, 0)
}

/// Generates the tokens of a completion once the batch has room, until the run ends.
async fn generate(engine: Data, completion: Completion, run: Arc<Run>) {
    engine.lock().waiting += 1;
    let permit = engine.batch.acquire().await;
    engine.start_run();
    for _ in 0..completion.max_tokens {
        if run.progress.borrow().outcome.is_some() {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(engine.flags.token_ms)).await;
        let mut inner = engine.lock();
        inner.stats.batch_sum += u64::from(inner.running);
        inner.stats.batch_steps += 1;
        run.progress.send_modify(|p| p.token_count += 1);
    }
    let mut inner = engine.lock();
    inner.running -= 1;
    if let Some(in_use) = inner.loaded.get_mut(&completion.model) {
        *in_use = in_use.saturating_sub(1);
    }
    run.progress.send_modify(|p| p.outcome = p.outcome.or(Some(RunOutcome::Completed)));
    drop(permit);
}

/// Streams the tokens of a run as server-sent events, beginning with the token at
/// `first_offset`. An interrupted run ends the stream with a connection error.
fn stream_run(run: &Arc<Run>, first_offset: u64) -> HttpResponse {
    let receiver = run.progress.subscribe();
    let state = (receiver, run.model.clone(), first_offset, false);
    let events = stream::unfold(state, |(mut receiver, model, offset, finished)| async move {
        if finished {
            return None;
        }
        loop {
            let progress = *receiver.borrow_and_update();
            if offset < progress.token_count {
                let text = format!("{model}#{offset} ");
                let chunk = serde_json::json!({"model": model, "choices": [{"text": text}]});
                let event = Bytes::from(format!("id: {offset}\ndata: {chunk}\n\n"));
                return Some((Ok(event), (receiver, model, offset + 1, false)));
            }
            match progress.outcome {
                Some(RunOutcome::Completed) => {
                    let event = Bytes::from_static(b"data: [DONE]\n\n");
                    return Some((Ok(event), (receiver, model, offset, true)));
                }
                Some(RunOutcome::Interrupted) => {
                    let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
                    return Some((Err(reset), (receiver, model, offset, true)));
                }
                None => {}
            }
            if receiver.changed().await.is_err() {
                return None;
            }
        }
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(events)
}

#[derive(Debug, Deserialize)]
struct ResumeQuery {
    /// Offset of the last token that the caller has received.
    #[serde(default)]
    starting_after: Option<u64>,
}

async fn resume(
    id: web::Path<String>,
    query: web::Query<ResumeQuery>,
    engine: Data,
) -> HttpResponse {
    let run = engine.lock().runs.get(id.as_str()).cloned();
    match run {
        Some(run) => stream_run(&run, query.starting_after.map_or(0, |after| after + 1)),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn cancel(id: web::Path<String>, engine: Data) -> HttpResponse {
    let mut inner = engine.lock();
    match inner.runs.get(id.as_str()).cloned() {
        Some(run) => {
            inner.stats.cancelled += 1;
            run.progress.send_modify(|p| p.outcome = p.outcome.or(Some(RunOutcome::Interrupted)));
            HttpResponse::Ok().finish()
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn load_report(engine: Data) -> HttpResponse {
    if engine.is_down() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let inner = engine.lock();
    let busy: Vec<_> = inner.loaded.iter().filter(|(_, in_use)| **in_use > 0).collect();
    let busy: Vec<_> = busy.into_iter().map(|(adapter, _)| adapter).collect();
    HttpResponse::Ok().json(serde_json::json!({
        "boot_id": inner.stats.boot_id,
        "running": inner.running,
        "waiting": inner.waiting,
        "loaded": inner.loaded.keys().collect::<Vec<_>>(),
        "busy": busy,
    }))
}

async fn set_faults(body: web::Json<Faults>, engine: Data) -> HttpResponse {
    let faults = body.into_inner();
    if faults.crash {
        engine.crash();
    }
    engine.lock().faults = faults;
    HttpResponse::Ok().finish()
}

async fn stats(engine: Data) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().stats)
}

/// Serves the engine API until the process is stopped.
pub async fn run(flags: Flags) -> std::io::Result<()> {
    let listen = flags.listen;
    let inner = Inner {
        faults: Faults::default(),
        stats: Stats { boot_id: rand::rng().random(), ..Stats::default() },
        loaded: BTreeMap::new(),
        runs: HashMap::new(),
        running: 0,
        waiting: 0,
        max_fence: 0,
        down_until: None,
    };
    let batch = Semaphore::new(flags.batch);
    let engine = web::Data::new(Engine { flags, batch, inner: Mutex::new(inner) });
    HttpServer::new(move || {
        App::new()
            .app_data(engine.clone())
            .route("/_faults", web::post().to(set_faults))
            .route("/_stats", web::get().to(stats))
            .route("/load", web::get().to(load_report))
            .route("/v1/load_lora_adapter", web::post().to(load_adapter))
            .route("/v1/unload_lora_adapter", web::post().to(unload_adapter))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/responses/{id}", web::get().to(resume))
            .route("/v1/responses/{id}/cancel", web::post().to(cancel))
    })
    .workers(1)
    .tcp_nodelay(true)
    .shutdown_timeout(0)
    .bind(listen)?
    .run()
    .await
}
