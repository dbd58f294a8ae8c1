//! Model engine: adapter slots, a batch, resumable streams, fencing and crashes.

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

/// Prompt text that crashes the engine.
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
    /// requests in one batch
    #[options(no_short, default = "8")]
    batch: usize,
    /// time of one token in milliseconds
    #[options(no_short, default = "5")]
    token_ms: u64,
    /// time of a cold start after a crash, in milliseconds
    #[options(no_short, default = "1000")]
    restart_ms: u64,
    /// refuse orders with an old fencing number
    #[options(no_short)]
    checks_fencing: bool,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Number of loads that fail.
    fail_loads: u32,
    /// Added time of each load in milliseconds.
    load_delay_ms: u64,
    /// Answer as if another version had been named.
    wrong_version: bool,
    /// Crash now and start cold.
    crash: bool,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Stats {
    boot_id: u64,
    /// Request identities in the order in which they began to run.
    executions: Vec<String>,
    loads: u64,
    evictions: u64,
    /// Adapters unloaded while they served a request.
    evicted_in_use: u64,
    /// Orders accepted with a smaller fencing number than one seen before.
    stale_orders_accepted: u64,
    stale_orders_refused: u64,
    cancelled: u64,
    /// Temperature that the last completion named.
    last_temperature: Option<f64>,
    crashes: u64,
    /// Sum over steps of the requests in the batch, and the number of steps.
    batch_sum: u64,
    batch_steps: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    produced: u64,
    ended: Option<RunEnd>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Complete,
    Broken,
}

#[derive(Debug)]
struct Run {
    model: String,
    progress: watch::Sender<Progress>,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    stats: Stats,
    loaded: BTreeMap<String, u32>,
    runs: HashMap<String, Arc<Run>>,
    running: u32,
    waiting: u32,
    fence: u64,
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

    fn crash(&self) {
        let mut inner = self.lock();
        inner.stats.crashes += 1;
        inner.stats.boot_id = rand::rng().random();
        inner.loaded.clear();
        inner.fence = 0;
        inner.down_until = Some(Instant::now() + Duration::from_millis(self.flags.restart_ms));
        for (_, run) in inner.runs.drain() {
            run.progress.send_modify(|p| p.ended = p.ended.or(Some(RunEnd::Broken)));
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

    /// Refuses an order while the engine is down, or by its fencing number.
    fn refuse(&self, request: &HttpRequest) -> Option<HttpResponse> {
        if self.is_down() {
            return Some(HttpResponse::ServiceUnavailable().finish());
        }
        self.check_fence(request)
    }

    /// Checks the fencing number of an order; gives the refusal, if any.
    fn check_fence(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let value = request.headers().get("x-fencing-number")?.to_str().ok()?;
        let fence: u64 = value.parse().ok()?;
        let mut inner = self.lock();
        if fence >= inner.fence {
            inner.fence = fence;
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
    if let Some(refusal) = engine.refuse(&request) {
        return refusal;
    }
    let (full, delay_ms, boot_id) = {
        let mut inner = engine.lock();
        if inner.loaded.contains_key(&order.lora_name) {
            return HttpResponse::Ok().finish();
        }
        if inner.faults.fail_loads > 0 {
            inner.faults.fail_loads -= 1;
            return HttpResponse::InternalServerError().finish();
        }
        let full = inner.loaded.len() >= engine.flags.slots;
        (full, inner.faults.load_delay_ms, inner.stats.boot_id)
    };
    if full {
        return HttpResponse::Conflict().finish();
    }
    let Some(store) = engine.flags.store else {
        return HttpResponse::InternalServerError().finish();
    };
    let client = Client::builder().timeout(Duration::from_secs(60)).finish();
    let url = format!("http://{store}/adapters/{}", order.lora_name);
    let fetched = client.get(url).send().await;
    if !fetched.is_ok_and(|reply| reply.status().is_success()) {
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
    if let Some(refusal) = engine.refuse(&request) {
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
            run.progress.send_modify(|p| p.ended = p.ended.or(Some(RunEnd::Broken)));
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
    if let Some(refusal) = engine.refuse(&request) {
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
        let reported = if inner.faults.wrong_version {
            format!("{}-other", completion.model)
        } else {
            completion.model.clone()
        };
        let run = Arc::new(Run { model: reported, progress: watch::Sender::default() });
        inner.runs.insert(id, Arc::clone(&run));
        run
    };
    if completion.prompt.contains(CRASH_MARKER) {
        engine.crash();
    }
    actix_rt::spawn(produce(engine, completion.into_inner(), Arc::clone(&run)));
    stream_run(&run, 0)
}

/// Runs a completion in the batch until it ends.
async fn produce(engine: Data, completion: Completion, run: Arc<Run>) {
    engine.lock().waiting += 1;
    let permit = engine.batch.acquire().await;
    engine.start_run();
    for _ in 0..completion.max_tokens {
        if run.progress.borrow().ended.is_some() {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(engine.flags.token_ms)).await;
        let mut inner = engine.lock();
        inner.stats.batch_sum += u64::from(inner.running);
        inner.stats.batch_steps += 1;
        run.progress.send_modify(|p| p.produced += 1);
    }
    let mut inner = engine.lock();
    inner.running -= 1;
    if let Some(in_use) = inner.loaded.get_mut(&completion.model) {
        *in_use = in_use.saturating_sub(1);
    }
    run.progress.send_modify(|p| p.ended = p.ended.or(Some(RunEnd::Complete)));
    drop(permit);
}

fn stream_run(run: &Arc<Run>, start: u64) -> HttpResponse {
    let receiver = run.progress.subscribe();
    let state = (receiver, run.model.clone(), start, false);
    let events = stream::unfold(state, |(mut receiver, model, offset, finished)| async move {
        if finished {
            return None;
        }
        loop {
            let progress = *receiver.borrow_and_update();
            if offset < progress.produced {
                let text = format!("{model}#{offset} ");
                let chunk = serde_json::json!({"model": model, "choices": [{"text": text}]});
                let event = Bytes::from(format!("id: {offset}\ndata: {chunk}\n\n"));
                return Some((Ok(event), (receiver, model, offset + 1, false)));
            }
            match progress.ended {
                Some(RunEnd::Complete) => {
                    let event = Bytes::from_static(b"data: [DONE]\n\n");
                    return Some((Ok(event), (receiver, model, offset, true)));
                }
                Some(RunEnd::Broken) => {
                    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
                    return Some((Err(broken), (receiver, model, offset, true)));
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
            run.progress.send_modify(|p| p.ended = p.ended.or(Some(RunEnd::Broken)));
            HttpResponse::Ok().finish()
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn load(engine: Data) -> HttpResponse {
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

/// Serves until the process is stopped.
pub async fn run(flags: Flags) -> std::io::Result<()> {
    let listen = flags.listen;
    let inner = Inner {
        faults: Faults::default(),
        stats: Stats { boot_id: rand::rng().random(), ..Stats::default() },
        loaded: BTreeMap::new(),
        runs: HashMap::new(),
        running: 0,
        waiting: 0,
        fence: 0,
        down_until: None,
    };
    let batch = Semaphore::new(flags.batch);
    let engine = web::Data::new(Engine { flags, batch, inner: Mutex::new(inner) });
    HttpServer::new(move || {
        App::new()
            .app_data(engine.clone())
            .route("/_faults", web::post().to(set_faults))
            .route("/_stats", web::get().to(stats))
            .route("/load", web::get().to(load))
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
