//! Stand-in of the weight store: loads are rate-limited, and too many at once slow each other
//! down.

use actix_web::{App, HttpResponse, HttpServer, web};
use gumdrop::Options;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

#[derive(Debug, Options)]
pub struct Flags {
    /// print this help
    help: bool,
    /// address to listen on
    #[options(default_expr = "crate::default_listen()")]
    listen: SocketAddr,
    /// loads a second that the store allows
    #[options(no_short, default = "2.0")]
    rate_per_s: f64,
    /// loads that may start at once, the burst of the rate limit
    #[options(no_short, default = "2")]
    at_once: u32,
    /// loads in flight above which each takes longer in proportion
    #[options(no_short, default = "16")]
    in_flight: u32,
    /// time of one load at full speed, in milliseconds
    #[options(no_short, default = "250")]
    load_ms: u64,
}

/// Faults that `POST /_faults` sets; each call replaces all of them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Number of further loads that fail.
    fail_loads: u32,
    /// Time added to each load, in milliseconds.
    delay_ms: u64,
}

/// Counters that `GET /_stats` returns.
#[derive(Debug, Default, Serialize)]
struct Stats {
    loads: u64,
    /// Loads that waited longer than one interval of the rate.
    over_rate: u64,
    max_in_flight: u32,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    stats: Stats,
    in_flight: u32,
    /// Start of the next load at the steady rate; a burst may start it earlier.
    next_start: Instant,
}

struct Store {
    flags: Flags,
    inner: Mutex<Inner>,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a load and returns its duration, the wait for the rate limit included.
    fn start_load(&self) -> Duration {
        let mut inner = self.lock();
        inner.in_flight += 1;
        inner.stats.loads += 1;
        inner.stats.max_in_flight = inner.stats.max_in_flight.max(inner.in_flight);
        let now = Instant::now();
        let interval = Duration::from_secs_f64(1.0 / self.flags.rate_per_s);
        let burst = interval * self.flags.at_once.saturating_sub(1);
        let starts_at = inner.next_start.max(now.checked_sub(burst).unwrap_or(now));
        inner.next_start = starts_at + interval;
        let wait = starts_at.saturating_duration_since(now);
        if wait > interval {
            inner.stats.over_rate += 1;
        }
        let slowdown = f64::from(inner.in_flight) / f64::from(self.flags.in_flight);
        let transfer = Duration::from_millis(self.flags.load_ms).mul_f64(slowdown.max(1.0));
        wait + transfer + Duration::from_millis(inner.faults.delay_ms)
    }
}

async fn load_adapter(store: web::Data<Store>) -> HttpResponse {
    let duration = store.start_load();
    actix_rt::time::sleep(duration).await;
    let mut inner = store.lock();
    inner.in_flight -= 1;
    if inner.faults.fail_loads > 0 {
        inner.faults.fail_loads -= 1;
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok().body("weights")
}

async fn set_faults(body: web::Json<Faults>, store: web::Data<Store>) -> HttpResponse {
    store.lock().faults = body.into_inner();
    HttpResponse::Ok().finish()
}

async fn stats(store: web::Data<Store>) -> HttpResponse {
    HttpResponse::Ok().json(&store.lock().stats)
}

/// Serves the store's API until the process is stopped.
pub async fn run(flags: Flags) -> std::io::Result<()> {
    let listen = flags.listen;
    let inner = Inner {
        faults: Faults::default(),
        stats: Stats::default(),
        in_flight: 0,
        next_start: Instant::now(),
    };
    let store = web::Data::new(Store { flags, inner: Mutex::new(inner) });
    HttpServer::new(move || {
        App::new()
            .app_data(store.clone())
            .route("/_faults", web::post().to(set_faults))
            .route("/_stats", web::get().to(stats))
            .route("/adapters/{name}", web::get().to(load_adapter))
    })
    .workers(1)
    .tcp_nodelay(true)
    .shutdown_timeout(0)
    .bind(listen)?
    .run()
    .await
}
