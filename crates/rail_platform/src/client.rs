//! Single calls to the platform.

use crate::{
    budget::{BURST_CALLS, CALLS_PER_S, CallBudget},
    error::{Error, Result},
    object::{self, ConfigMap, DeleteOptions, KIND_LABEL, Object, ObjectKind, ObjectVersion},
};
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
    http::{Method, StatusCode},
};
use bytes::Bytes;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use prometheus_client::metrics::gauge::Gauge;
use rail_runtime::{Metrics, metrics::ReasonCounters};
use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

/// Timeout for opening a connection and for the response to a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response body in bytes; a larger one fails the call.
pub const MAX_REPLY_BYTES: usize = 64 << 20;

/// Characters that are encoded in a URL: all but the unreserved ones.
const ENCODED_IN_URL: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
/// Body argument of calls without a body; its type only determines the type parameter of `send`.
const NO_BODY: Option<&ConfigMap> = None;

/// Client of the platform's object API; clones share connections, call budget and metrics.
#[derive(Clone)]
pub struct PlatformClient {
    http: Client,
    base_url: String,
    calls: Rc<Cell<u64>>,
    budget: Rc<RefCell<CallBudget>>,
    started_at: Instant,
    counters: Option<Counters>,
}

#[derive(Clone)]
struct Counters {
    calls: ReasonCounters,
    failures: ReasonCounters,
    open_watches: Gauge,
    generation: Gauge,
}

/// Guard that counts a watch as open until it is dropped.
pub(crate) struct OpenWatchGuard(PlatformClient);

impl Drop for OpenWatchGuard {
    fn drop(&mut self) {
        let now = self.0.now();
        self.0.budget.borrow_mut().close_watch(now);
        self.0.update_watch_gauge();
    }
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient").field("base_url", &self.base_url).finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Creates a client of the platform whose connections are opened from `local_ip`.
    pub fn open(platform: SocketAddr, local_ip: IpAddr) -> Self {
        let http = Client::builder()
            .connector(Connector::new().limit(0).local_address(local_ip).timeout(CALL_TIMEOUT))
            .timeout(CALL_TIMEOUT)
            .finish();
        let base_url = format!("http://{platform}");
        let budget = CallBudget::new(CALLS_PER_S, BURST_CALLS, Duration::ZERO);
        Self {
            http,
            base_url,
            calls: Rc::default(),
            budget: Rc::new(RefCell::new(budget)),
            started_at: Instant::now(),
            counters: None,
        }
    }

    /// Registers metrics of calls, failures by reason, open watches and the applied generation.
    pub fn with_metrics(mut self, metrics: &Metrics) -> Self {
        self.counters = Some(Counters {
            calls: metrics.reason_counters("platform_calls", "Calls to the platform by kind"),
            failures: metrics.reason_counters("platform_failures", "Failed calls to the platform"),
            open_watches: metrics.gauge("platform_open_watches", "Watches that wait"),
            generation: metrics.gauge("config_generation", "Configuration generation in force"),
        });
        self
    }

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> u32 {
        self.budget.borrow().open_watches()
    }

    /// Returns the number of calls made so far, including those that opened watches.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`Error::NotFound`] when there is no object with this name, or a failure of the call.
    pub async fn get(&self, name: &str) -> Result<Object> {
        let url = self.object_url(name);
        let map: ConfigMap = read_json(self.send(Method::GET, &url, NO_BODY).await?).await?;
        Ok(map.into())
    }

    /// Creates an object if none has this name.
    ///
    /// # Errors
    /// [`Error::AlreadyExists`] when an object with this name exists, or a failure of the call.
    pub async fn create(&self, kind: ObjectKind, name: &str, value: &str) -> Result<Object> {
        let body = ConfigMap::new(kind, name, "", value);
        let reply = self.send(Method::POST, &self.kind_url(kind), Some(&body)).await;
        match reply {
            Err(Error::Conflict) => Err(Error::AlreadyExists),
            Err(error) => Err(error),
            Ok(reply) => read_json::<ConfigMap>(reply).await.map(Object::from),
        }
    }

    /// Replaces an object if it still has the expected version.
    ///
    /// # Errors
    /// [`Error::Conflict`] when it has another version, or a failure of the call.
    pub async fn update(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &str,
        expected_version: &str,
    ) -> Result<Object> {
        let url = self.object_url(name);
        let body = ConfigMap::new(kind, name, expected_version, value);
        let reply = self.send(Method::PUT, &url, Some(&body)).await?;
        read_json::<ConfigMap>(reply).await.map(Object::from)
    }

    /// Deletes an object, whatever its version.
    ///
    /// # Errors
    /// [`Error::NotFound`] when there is no object with this name, or a failure of the call.
    pub async fn delete(&self, name: &str) -> Result<()> {
        let url = self.object_url(name);
        self.send(Method::DELETE, &url, NO_BODY).await?;
        Ok(())
    }

    /// Deletes an object if it still has the expected version.
    ///
    /// # Errors
    /// [`Error::Conflict`] when it has another version, or a failure of the call.
    pub async fn delete_version(&self, name: &str, expected_version: &str) -> Result<()> {
        let url = self.object_url(name);
        let options = DeleteOptions::with_version(expected_version);
        self.send(Method::DELETE, &url, Some(&options)).await?;
        Ok(())
    }

    /// Lists all objects of a kind that can be read, with the version from which a watch continues the
    /// list.
    ///
    /// # Errors
    /// Any failure of a call.
    pub async fn list(&self, kind: ObjectKind) -> Result<(Vec<Object>, ObjectVersion)> {
        let first_url = format!("{}?{}", self.kind_url(kind), kind_selector(kind));
        let mut url = first_url.clone();
        let mut objects = Vec::new();
        let mut version = None;
        loop {
            let body = read_body(self.send(Method::GET, &url, NO_BODY).await?).await?;
            let page = object::read_page(&String::from_utf8_lossy(&body));
            let page = page.map_err(reply_unreadable)?;
            objects.extend(page.objects);
            // Later pages may be newer; a watch from the first one misses nothing.
            let first_version = version.get_or_insert(page.version).clone();
            if page.next_page.is_empty() {
                return Ok((objects, first_version));
            }
            url = format!("{first_url}&continue={}", encode(&page.next_page));
        }
    }

    pub(crate) async fn open_watch(
        &self,
        kind: ObjectKind,
        from_version: &str,
    ) -> Result<(
        ClientResponse<impl futures_util::Stream<Item = BodyChunk> + Unpin + use<>>,
        OpenWatchGuard,
    )> {
        let url = format!(
            "{}?{}&watch=true&allowWatchBookmarks=true&resourceVersion={}",
            self.kind_url(kind),
            kind_selector(kind),
            encode(from_version)
        );
        let reply = self.send(Method::GET, &url, NO_BODY).await?;
        self.budget.borrow_mut().open_watch(self.now());
        self.update_watch_gauge();
        Ok((reply, OpenWatchGuard(self.clone())))
    }

    async fn send<T: serde::Serialize>(
        &self,
        method: Method,
        url: &str,
        body: Option<&T>,
    ) -> Result<ClientResponse<impl futures_util::Stream<Item = BodyChunk> + Unpin + use<T>>> {
        self.wait_for_budget().await;
        self.calls.set(self.calls.get() + 1);
        self.count(method.as_str());
        let result = self.send_unthrottled(method, url, body).await;
        if let (Err(error), Some(counters)) = (&result, &self.counters) {
            counters.failures.count(error.reason());
        }
        result
    }

    fn kind_url(&self, kind: ObjectKind) -> String {
        format!("{}{}", self.base_url, kind.path())
    }

    fn object_url(&self, name: &str) -> String {
        // All objects that are read or written by name are `ConfigMap`s and share one path.
        format!("{}/{}", self.kind_url(ObjectKind::ConfigHead), encode(name))
    }

    async fn wait_for_budget(&self) {
        loop {
            let acquired = self.budget.borrow_mut().try_acquire(self.now());
            let Err(pause) = acquired else {
                return;
            };
            self.count("over_budget");
            actix_rt::time::sleep(pause).await;
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn count(&self, label: &str) {
        if let Some(counters) = &self.counters {
            counters.calls.count(label);
        }
    }

    pub(crate) fn set_generation_gauge(&self, generation: u64) {
        if let Some(counters) = &self.counters {
            counters.generation.set(generation as i64);
        }
    }

    fn update_watch_gauge(&self) {
        if let Some(counters) = &self.counters {
            counters.open_watches.set(i64::from(self.open_watches()));
        }
    }

    /// Sends a call at once, without waiting for the call budget, and checks the status.
    async fn send_unthrottled<T: serde::Serialize>(
        &self,
        method: Method,
        url: &str,
        body: Option<&T>,
    ) -> Result<ClientResponse<impl futures_util::Stream<Item = BodyChunk> + Unpin + use<T>>> {
        let request = self.http.request(method, url);
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let reply = sent.map_err(|error| match error {
            // awc reports a connection that ends before the reply as a failure to connect.
            SendRequestError::Connect(ConnectError::Disconnected) => Error::ReplyLost,
            SendRequestError::Connect(_) => Error::Connect,
            _ => Error::ReplyLost,
        })?;
        match reply.status() {
            status if status.is_success() => Ok(reply),
            StatusCode::NOT_FOUND => Err(Error::NotFound),
            StatusCode::CONFLICT => Err(Error::Conflict),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable),
            status => Err(Error::Status(status.as_u16())),
        }
    }
}

/// Part of a response body, as it arrives.
pub(crate) type BodyChunk = std::result::Result<Bytes, awc::error::PayloadError>;

fn kind_selector(kind: ObjectKind) -> String {
    format!("labelSelector={KIND_LABEL}%3D{}", kind.label())
}

/// Encodes a name or token, which may be any text, for the path or the query of a call.
fn encode(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ENCODED_IN_URL)
}

async fn read_json<T: serde::de::DeserializeOwned>(
    reply: ClientResponse<impl futures_util::Stream<Item = BodyChunk> + Unpin>,
) -> Result<T> {
    serde_json::from_slice(&read_body(reply).await?).map_err(reply_unreadable)
}

async fn read_body(
    mut reply: ClientResponse<impl futures_util::Stream<Item = BodyChunk> + Unpin>,
) -> Result<Bytes> {
    reply.body().limit(MAX_REPLY_BYTES).await.map_err(reply_lost)
}

fn reply_lost(_error: awc::error::PayloadError) -> Error {
    Error::ReplyLost
}

fn reply_unreadable(_error: serde_json::Error) -> Error {
    Error::Unreadable
}
