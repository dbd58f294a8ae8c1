//! Stand-in of the platform's object API with resource versions, conditional updates, watches,
//! rate limits and simulated faults.

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gumdrop::Options;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::broadcast;

/// Interval between bookmarks of an idle watch.
const BOOKMARK_INTERVAL: Duration = Duration::from_millis(500);
/// Events that a watcher may lag behind before its watch is ended.
const MAX_WATCH_LAG_EVENTS: usize = 4096;
/// Key of the host list among the objects. It contains a slash, so it can't be the name of an
/// object that is read by name.
const HOST_LIST_KEY: &str = "endpointslices/hosts";
/// Time for which a write whose response is to be lost stays unanswered.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(5);

#[derive(Debug, Options)]
pub struct Flags {
    /// print this help
    help: bool,
    /// address to listen on
    #[options(default_expr = "crate::default_listen()")]
    listen: SocketAddr,
    /// maximum reads a second
    #[options(no_short, default = "2000")]
    reads_per_s: u32,
    /// maximum writes a second
    #[options(no_short, default = "300")]
    writes_per_s: u32,
}

/// Faults that `POST /_faults` sets; each call replaces all of them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Respond to every request with 503 and end all watches.
    down: bool,
    /// Respond to requests from these IP addresses with 503 and end their watches.
    cut_from: Vec<String>,
    /// Delay of every request, in milliseconds.
    delay_ms: u64,
    /// Number of further writes that take effect but whose response is lost.
    lose_write_replies: u32,
    /// Additional delay before writes take effect, in milliseconds.
    write_delay_ms: u64,
    /// Delay before a change of the host list becomes visible, in milliseconds.
    host_list_lag_ms: u64,
    /// Most objects in one page of a list; no limit if 0.
    list_page_objects: usize,
}

/// Counters that `GET /_stats` returns.
#[derive(Debug, Default, Clone, Serialize)]
struct Stats {
    reads: u64,
    writes: u64,
    watches: u64,
    open_watches: u64,
    /// Requests refused by a rate limit.
    throttled: u64,
    /// Writes refused because the object exists or its resource version differs.
    conflicts: u64,
}

/// Rate limiter with a fixed window of one second.
#[derive(Debug)]
struct RateLimiter {
    started_at: Instant,
    count: u32,
    limit: u32,
}

impl RateLimiter {
    fn new(limit: u32) -> Self {
        Self { started_at: Instant::now(), count: 0, limit }
    }

    /// Counts a request and reports whether it is within the limit.
    fn try_acquire(&mut self) -> bool {
        if self.started_at.elapsed() >= Duration::from_secs(1) {
            self.started_at = Instant::now();
            self.count = 0;
        }
        self.count += 1;
        self.count <= self.limit
    }
}

#[derive(Debug)]
struct Inner {
    objects: BTreeMap<String, Value>,
    /// Resource version of the last write to any object.
    version: u64,
    faults: Faults,
    stats: Stats,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
}

struct Platform {
    inner: Mutex<Inner>,
    events: broadcast::Sender<(&'static str, Value)>,
}

type Data = web::Data<Platform>;

impl Platform {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether requests from this address fail now.
    fn is_unavailable_to(&self, source: Option<&str>) -> bool {
        let inner = self.lock();
        inner.faults.down
            || source.is_some_and(|s| inner.faults.cut_from.iter().any(|address| address == s))
    }

    /// Applies faults and rate limits to a request; returns the refusal, if any.
    async fn check_request(&self, request: &HttpRequest, is_write: bool) -> Option<HttpResponse> {
        let source = request.peer_addr().map(|address| address.ip().to_string());
        if self.is_unavailable_to(source.as_deref()) {
            return Some(HttpResponse::ServiceUnavailable().finish());
        }
        let (admitted, delay_ms) = {
            let mut inner = self.lock();
            let admitted = if is_write {
                inner.stats.writes += 1;
                inner.write_limiter.try_acquire()
            } else {
                inner.stats.reads += 1;
                inner.read_limiter.try_acquire()
            };
            if !admitted {
                inner.stats.throttled += 1;
            }
            let write_delay_ms = if is_write { inner.faults.write_delay_ms } else { 0 };
            (admitted, inner.faults.delay_ms + write_delay_ms)
        };
        if delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        (!admitted).then(|| HttpResponse::TooManyRequests().finish())
    }

    /// Responds to a write; the response comes late if `lose_write_replies` is set.
    async fn respond_to_write(&self, body: Value) -> HttpResponse {
        let is_lost = {
            let mut inner = self.lock();
            let is_lost = inner.faults.lose_write_replies > 0;
            inner.faults.lose_write_replies = inner.faults.lose_write_replies.saturating_sub(1);
            is_lost
        };
        if is_lost {
            actix_rt::time::sleep(LOST_RESPONSE_DELAY).await;
        }
        HttpResponse::Ok().json(body)
    }

    /// Sends an event to all open watches.
    fn notify_watchers(&self, event: &'static str, object: &Value) {
        // Sending fails when no watch is open, which is no error.
        let _watcher_count = self.events.send((event, object.clone()));
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListQuery {
    label_selector: Option<String>,
    #[serde(default)]
    watch: bool,
    /// Key of the object after which the next page starts.
    #[serde(rename = "continue")]
    continue_after: Option<String>,
}

fn matches_selector(object: &Value, selector: Option<&str>) -> bool {
    let Some((key, value)) = selector.and_then(|s| s.split_once('=')) else {
        return true;
    };
    object["metadata"]["labels"][key] == value
}

/// Guard of a watch that is counted as open; dropping it decrements the count.
struct OpenWatch(Data);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.lock().stats.open_watches -= 1;
    }
}

async fn list(request: HttpRequest, query: web::Query<ListQuery>, data: Data) -> HttpResponse {
    if let Some(refusal) = data.check_request(&request, false).await {
        return refusal;
    }
    if query.watch {
        return watch(&request, query.into_inner(), data);
    }
    let inner = data.lock();
    let selector = query.label_selector.as_deref();
    let after = query.continue_after.as_ref();
    let objects = inner.objects.iter().filter(|(key, _)| after.is_none_or(|after| *key > after));
    let mut objects: Vec<_> =
        objects.filter(|(_, object)| matches_selector(object, selector)).collect();
    let page_objects = inner.faults.list_page_objects;
    let has_more = page_objects > 0 && objects.len() > page_objects;
    if has_more {
        objects.truncate(page_objects);
    }
    let next = objects.last().filter(|_| has_more).map(|(key, _)| key);
    let items: Vec<&Value> = objects.iter().map(|(_, object)| *object).collect();
    let metadata = json!({"resourceVersion": inner.version.to_string(), "continue": next});
    HttpResponse::Ok().json(json!({"metadata": metadata, "items": items}))
}

/// Streams the objects that are newer than the requested resource version, then all further
/// events. An idle watch receives bookmarks.
fn watch(request: &HttpRequest, query: ListQuery, data: Data) -> HttpResponse {
    let since: u64 = web::Query::<BTreeMap<String, String>>::from_query(request.query_string())
        .ok()
        .and_then(|q| q.get("resourceVersion")?.parse().ok())
        .unwrap_or(0);
    let source = request.peer_addr().map(|address| address.ip().to_string());
    let receiver = data.events.subscribe();
    let missed_objects: Vec<Value> = {
        let mut inner = data.lock();
        inner.stats.watches += 1;
        inner.stats.open_watches += 1;
        let newer = |object: &&Value| version_of(object) > since;
        let selector = query.label_selector.as_deref();
        inner
            .objects
            .values()
            .filter(newer)
            .filter(|object| matches_selector(object, selector))
            .cloned()
            .collect()
    };
    let missed_events =
        stream::iter(missed_objects.into_iter().map(|object| watch_line("MODIFIED", &object)));
    let guard = OpenWatch(data.clone());
    let state = (receiver, data, query, source, guard);
    let live_events =
        stream::unfold(state, |(mut receiver, data, query, source, guard)| async move {
            loop {
                let next = tokio::time::timeout(BOOKMARK_INTERVAL, receiver.recv()).await;
                if data.is_unavailable_to(source.as_deref()) {
                    return None;
                }
                let text = match next {
                    Err(_elapsed) => watch_line("BOOKMARK", &json!({"metadata": {}})),
                    Ok(Ok((event, object))) => {
                        if !matches_selector(&object, query.label_selector.as_deref()) {
                            continue;
                        }
                        watch_line(event, &object)
                    }
                    Ok(Err(_lagged)) => return None,
                };
                return Some((text, (receiver, data, query, source, guard)));
            }
        });
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming(missed_events.chain(live_events).map(Ok::<_, std::convert::Infallible>))
}

/// Encodes a watch event as one line of JSON.
fn watch_line(event: &str, object: &Value) -> Bytes {
    Bytes::from(format!("{}\n", json!({"type": event, "object": object})))
}

fn version_of(object: &Value) -> u64 {
    object["metadata"]["resourceVersion"].as_str().and_then(|v| v.parse().ok()).unwrap_or(0)
}

async fn get(request: HttpRequest, name: web::Path<(String, String)>, data: Data) -> HttpResponse {
    if let Some(refusal) = data.check_request(&request, false).await {
        return refusal;
    }
    match data.lock().objects.get(&name.1) {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn create(request: HttpRequest, body: web::Json<Value>, data: Data) -> HttpResponse {
    if let Some(refusal) = data.check_request(&request, true).await {
        return refusal;
    }
    let mut object = body.into_inner();
    let Some(name) = object["metadata"]["name"].as_str().map(str::to_owned) else {
        return HttpResponse::BadRequest().finish();
    };
    {
        let mut inner = data.lock();
        if inner.objects.contains_key(&name) {
            inner.stats.conflicts += 1;
            return HttpResponse::Conflict().finish();
        }
        inner.version += 1;
        object["metadata"]["resourceVersion"] = inner.version.to_string().into();
        inner.objects.insert(name, object.clone());
        data.notify_watchers("ADDED", &object);
    }
    data.respond_to_write(object).await
}

async fn update(
    request: HttpRequest,
    name: web::Path<(String, String)>,
    body: web::Json<Value>,
    data: Data,
) -> HttpResponse {
    if let Some(refusal) = data.check_request(&request, true).await {
        return refusal;
    }
    let mut object = body.into_inner();
    {
        let mut inner = data.lock();
        let Some(current) = inner.objects.get(&name.1) else {
            return HttpResponse::NotFound().finish();
        };
        if version_of(current) != version_of(&object) {
            inner.stats.conflicts += 1;
            return HttpResponse::Conflict().finish();
        }
        inner.version += 1;
        object["metadata"]["resourceVersion"] = inner.version.to_string().into();
        inner.objects.insert(name.1.clone(), object.clone());
        data.notify_watchers("MODIFIED", &object);
    }
    data.respond_to_write(object).await
}

async fn delete(
    request: HttpRequest,
    name: web::Path<(String, String)>,
    body: web::Bytes,
    data: Data,
) -> HttpResponse {
    if let Some(refusal) = data.check_request(&request, true).await {
        return refusal;
    }
    let options: Value = serde_json::from_slice(&body).unwrap_or_default();
    let expected = options["preconditions"]["resourceVersion"].as_str();
    let removed = {
        let mut inner = data.lock();
        let current = inner.objects.get(&name.1).map(version_of);
        if current.is_some() && expected.is_some_and(|version| version.parse().ok() != current) {
            inner.stats.conflicts += 1;
            return HttpResponse::Conflict().finish();
        }
        inner.objects.remove(&name.1)
    };
    match removed {
        Some(object) => {
            data.notify_watchers("DELETED", &object);
            data.respond_to_write(json!({"status": "Success"})).await
        }
        None => HttpResponse::NotFound().finish(),
    }
}

/// Replaces the host list after the delay of `host_list_lag_ms`.
async fn set_hosts(body: web::Json<Value>, data: Data) -> HttpResponse {
    let lag = Duration::from_millis(data.lock().faults.host_list_lag_ms);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(lag).await;
        let mut inner = data.lock();
        inner.version += 1;
        let slice = json!({
            "apiVersion": "discovery.k8s.io/v1",
            "kind": "EndpointSlice",
            "addressType": "IPv4",
            "metadata": {
                "name": "hosts",
                "resourceVersion": inner.version.to_string(),
                "labels": {"tarragonrail-kind": "host-list"},
            },
            "endpoints": body.into_inner(),
        });
        inner.objects.insert(HOST_LIST_KEY.to_owned(), slice.clone());
        data.notify_watchers("MODIFIED", &slice);
    });
    HttpResponse::Ok().finish()
}

async fn set_faults(body: web::Json<Faults>, data: Data) -> HttpResponse {
    data.lock().faults = body.into_inner();
    HttpResponse::Ok().finish()
}

async fn stats(data: Data) -> HttpResponse {
    HttpResponse::Ok().json(&data.lock().stats)
}

/// Serves the object API until the process is stopped.
pub async fn run(flags: Flags) -> std::io::Result<()> {
    let data = web::Data::new(Platform {
        inner: Mutex::new(Inner {
            objects: BTreeMap::new(),
            version: 0,
            faults: Faults::default(),
            stats: Stats::default(),
            read_limiter: RateLimiter::new(flags.reads_per_s),
            write_limiter: RateLimiter::new(flags.writes_per_s),
        }),
        events: broadcast::Sender::new(MAX_WATCH_LAG_EVENTS),
    });
    let slices_path = "/apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices";
    let maps_path = "/api/v1/namespaces/{namespace}/configmaps";
    HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::JsonConfig::default().limit(2 << 20))
            .route("/_faults", web::post().to(set_faults))
            .route("/_hosts", web::post().to(set_hosts))
            .route("/_stats", web::get().to(stats))
            .route(slices_path, web::get().to(list))
            .service(
                web::resource(maps_path).route(web::get().to(list)).route(web::post().to(create)),
            )
            .service(
                web::resource(format!("{maps_path}/{{name}}"))
                    .route(web::get().to(get))
                    .route(web::put().to(update))
                    .route(web::delete().to(delete)),
            )
    })
    .workers(1)
    .tcp_nodelay(true)
    .shutdown_timeout(0)
    .bind(flags.listen)?
    .run()
    .await
}
