//! HTTP/1 connection pool that reports whether a failed request was sent.
//!
//! Dropping a response before its end closes the connection at once, so that
//! the upstream can stop working on the request.

use crate::{
    body::{BodyContent, BodyEnd, Completeness, Framing, header_contains},
    connection_stream::ConnectionStream,
    head_limit::HeadLimit,
    proof::{Attribution, Evidence, attribute},
    refused_ids::RefusedIds,
    request_progress::RequestProgress,
    response_head,
};
use bytes::Bytes;
use http::{Method, Request, Response, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rail_memory::MemoryHold;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout},
};

/// Result of an operation that sends a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Time for which an idle connection is reused if the upstream states no keep-alive time.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Longest time for which an idle connection is reused, whatever the upstream states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3600);
/// Fraction of the stated keep-alive time for which an idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Maximum size of a connection's read buffer in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request reached the upstream.
    #[error("not_sent")]
    NotSent,
    /// The request was sent, at least in part, and no head that a response can have was received.
    #[error("lost")]
    Lost,
}

/// Timeouts of pooled connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Time for which sent bytes may stay unacknowledged before the connection is closed
    /// (`TCP_USER_TIMEOUT`).
    pub unacknowledged: Duration,
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    head_limit: HeadLimit,
    request_progress: RequestProgress,
    pool: Rc<PoolState>,
    address: SocketAddr,
    /// Whether a response has arrived on it.
    is_used: bool,
    refused_ids: RefusedIds,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
        self.pool.adjust_open_count(self.address, -1);
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    usable_until: Instant,
    idle_since: Instant,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: RefCell<HashMap<SocketAddr, u32>>,
    opened: Cell<u64>,
}

impl PoolState {
    fn adjust_open_count(&self, address: SocketAddr, by: i32) {
        let mut open = self.open.borrow_mut();
        let count = open.entry(address).or_default();
        *count = count.saturating_add_signed(by);
        if *count == 0 {
            open.remove(&address);
        }
    }
}

/// Pool of connections to upstreams; clones share it within one thread.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    state: Rc<PoolState>,
    timeouts: ConnectionTimeouts,
}

/// Response of an upstream; its body is read on demand.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status and headers of the response.
    pub head: Parts,
    body: Incoming,
    framing: Framing,
    connection: Option<PooledConnection>,
    /// Id with which the request was sent.
    sent_id: Option<String>,
    is_first_on_connection: bool,
    /// How the body ended; `None` until then.
    end: Option<BodyEnd>,
}

/// The connection ended before the body was complete, or the body exceeds its size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("incomplete response body")]
pub struct IncompleteBody;

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(timeouts: ConnectionTimeouts) -> Self {
        Self { state: Rc::default(), timeouts }
    }

    /// Returns the number of connections opened since the start.
    pub fn opened_count(&self) -> u64 {
        self.state.opened.get()
    }

    /// Returns the number of open connections to an address.
    pub fn open_count(&self, address: SocketAddr) -> u32 {
        self.state.open.borrow().get(&address).copied().unwrap_or(0)
    }

    /// Closes idle connections that have expired or whose address does not satisfy `keep`.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let mut closing = Vec::new();
        for (address, connections) in self.state.idle.borrow_mut().iter_mut() {
            let is_kept = keep(address);
            closing.extend(connections.extract_if(.., |idle| {
                !is_kept || idle.usable_until <= now || idle.connection.sender.is_closed()
            }));
        }
        self.state.idle.borrow_mut().retain(|_, connections| !connections.is_empty());
        drop(closing);
    }

    /// Closes every idle connection.
    pub fn close_idle(&self) {
        let closing = std::mem::take(&mut *self.state.idle.borrow_mut());
        drop(closing);
    }

    /// Sends a request without an id and waits for the response head.
    ///
    /// Reuses an idle connection only if it was idle for less than `max_idle`.
    ///
    /// # Errors
    /// [`SendError::NotSent`] when the upstream has received nothing of the request,
    /// [`SendError::Lost`] when it may have received it.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_idle: Duration,
    ) -> Result<UpstreamResponse> {
        self.send_call(address, request, None, max_idle).await
    }

    /// Sends a request with an id as [`ConnectionPool::send`] does, but not on a connection on which
    /// this id was refused: a copy of that refusal would bear the id too.
    ///
    /// # Errors
    /// As [`ConnectionPool::send`].
    pub async fn send_identified(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        id: &str,
        max_idle: Duration,
    ) -> Result<UpstreamResponse> {
        self.send_call(address, request, Some(id), max_idle).await
    }

    async fn send_call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        id: Option<&str>,
        max_idle: Duration,
    ) -> Result<UpstreamResponse> {
        let mut request = request;
        while let Some(connection) = self.acquire_idle(address, id, max_idle) {
            match exchange(connection, request, id).await {
                Ok(response) => return Ok(response),
                // The upstream had already closed the connection; nothing was sent.
                Err(ExchangeError::NotSent(returned)) => request = *returned,
                Err(ExchangeError::Failed(error)) => return Err(error),
            }
        }
        let connection = self.connect(address).await?;
        exchange(connection, request, id).await.map_err(|failure| match failure {
            ExchangeError::NotSent(_) => SendError::NotSent,
            ExchangeError::Failed(error) => error,
        })
    }

    /// Returns the connection that was used last of those on which the id was not refused.
    fn acquire_idle(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        max_idle: Duration,
    ) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.state.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let mut passed_over = Vec::new();
        let mut acquired = None;
        while let Some(candidate) = connections.pop() {
            let is_fresh = now < candidate.usable_until && now < candidate.idle_since + max_idle;
            if !is_fresh || !candidate.connection.sender.is_ready() {
                continue;
            }
            if id.is_some_and(|id| candidate.connection.refused_ids.contains(id)) {
                passed_over.push(candidate);
                continue;
            }
            acquired = Some(candidate.connection);
            break;
        }
        connections.extend(passed_over.into_iter().rev());
        if connections.is_empty() {
            idle.remove(&address);
        }
        acquired
    }

    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection> {
        let connecting = TcpStream::connect(address);
        let stream = timeout(self.timeouts.connect, connecting)
            .await
            .map_err(|_elapsed| SendError::NotSent)?
            .map_err(|_error| SendError::NotSent)?;
        let socket = socket2::SockRef::from(&stream);
        // On a system without these options only the callers' own timeouts apply.
        let _unsupported = stream.set_nodelay(true);
        let _unsupported = socket.set_tcp_user_timeout(Some(self.timeouts.unacknowledged));
        let (head_limit, request_progress) = (HeadLimit::default(), RequestProgress::default());
        let stream = ConnectionStream::new(stream, head_limit.clone(), request_progress.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_error| SendError::NotSent)?;
        let task = tokio::task::spawn_local(async move {
            // The request in progress reports the failure.
            let _ended = connection.await;
        });
        self.state.opened.set(self.state.opened.get() + 1);
        self.state.adjust_open_count(address, 1);
        let pool = Rc::clone(&self.state);
        Ok(PooledConnection {
            sender,
            task,
            head_limit,
            request_progress,
            pool,
            address,
            is_used: false,
            refused_ids: RefusedIds::default(),
        })
    }
}

/// Why a request got no response on one connection.
enum ExchangeError {
    /// Nothing was sent; the request can be sent on another connection.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have been sent.
    Failed(SendError),
}

async fn exchange(
    mut connection: PooledConnection,
    request: Request<Full<Bytes>>,
    id: Option<&str>,
) -> std::result::Result<UpstreamResponse, ExchangeError> {
    let method = request.method().clone();
    connection.head_limit.start();
    let result = connection.sender.try_send_request(request).await;
    connection.head_limit.end();
    match result.map(Response::into_parts) {
        Ok((head, body)) if response_head::is_usable(&head) => {
            Ok(UpstreamResponse::new(&method, head, body, connection, id))
        }
        Ok(_unusable) => Err(ExchangeError::Failed(SendError::Lost)),
        Err(mut error) => Err(match error.take_message() {
            Some(request) => ExchangeError::NotSent(Box::new(request)),
            None => ExchangeError::Failed(SendError::Lost),
        }),
    }
}

impl UpstreamResponse {
    fn new(
        method: &Method,
        head: Parts,
        body: Incoming,
        connection: PooledConnection,
        id: Option<&str>,
    ) -> Self {
        let framing = Framing::of(method, &head);
        let mut connection = connection;
        let is_first_on_connection = !std::mem::replace(&mut connection.is_used, true);
        Self {
            head,
            body,
            framing,
            connection: Some(connection),
            sent_id: id.map(str::to_owned),
            is_first_on_connection,
            end: None,
        }
    }

    /// Decides which call the response belongs to, from the id that it names and whether it states
    /// that its request did not run. An id that is refused is not sent on this connection again.
    pub fn attribute(&mut self, answered_id: Option<&str>, is_refusal: bool) -> Attribution {
        if is_refusal && let (Some(connection), Some(id)) = (&mut self.connection, &self.sent_id) {
            connection.refused_ids.insert(id);
        }
        attribute(&Evidence {
            sent_id: self.sent_id.as_deref(),
            answered_id,
            is_refusal,
            is_first_on_connection: self.is_first_on_connection,
        })
    }

    /// Returns how the response marks the end of its body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns how the body ended, or `None` if its end was not reached yet.
    pub fn end(&self) -> Option<BodyEnd> {
        self.end
    }

    /// Decides whether the body is complete; before its end it is not.
    pub fn completeness(&self, content: BodyContent) -> Completeness {
        self.end.map_or(Completeness::BrokenOff, |end| Completeness::of(end, content))
    }

    /// Closes the connection, since the body exceeds a size limit of its reader. Reading on fails.
    pub fn reject_as_too_large(&mut self) {
        self.end = Some(BodyEnd::TooLarge);
        self.connection = None;
    }

    /// Waits for the next chunk of the body; returns none at its end.
    ///
    /// # Errors
    /// [`IncompleteBody`] when the connection ended before the body did, or before the request was
    /// written, or the body was rejected as too large.
    pub async fn next(&mut self) -> std::result::Result<Option<Bytes>, IncompleteBody> {
        if self.end == Some(BodyEnd::TooLarge) {
            return Err(IncompleteBody);
        }
        loop {
            match self.body.frame().await {
                None if self.ended_before_request() => {
                    self.end = Some(BodyEnd::Lost);
                    return Err(IncompleteBody);
                }
                None => {
                    self.end = Some(match self.framing {
                        Framing::UntilClose => BodyEnd::Closed,
                        Framing::Empty | Framing::Length | Framing::Chunked => BodyEnd::Marked,
                    });
                    return Ok(None);
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data()
                        && !bytes.is_empty()
                    {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(_)) => {
                    self.end = Some(BodyEnd::Lost);
                    return Err(IncompleteBody);
                }
            }
        }
    }

    /// Returns whether the end of the connection, which marks that of the body, came before the upstream
    /// could have read the request: it may still follow with a reset.
    fn ended_before_request(&self) -> bool {
        let is_unwritten =
            |connection: &PooledConnection| connection.request_progress.is_unwritten();
        self.framing == Framing::UntilClose && self.connection.as_ref().is_some_and(is_unwritten)
    }

    /// Reads the whole body, at most `max_bytes`.
    ///
    /// # Errors
    /// [`IncompleteBody`] when the body ended early or is larger than `max_bytes`.
    pub async fn read(&mut self, max_bytes: usize) -> std::result::Result<Bytes, IncompleteBody> {
        self.read_while(|length| length <= max_bytes).await
    }

    /// Reads the whole body, at most `max_bytes`, and no more than there is memory for. The memory
    /// is held on after the read.
    ///
    /// # Errors
    /// [`IncompleteBody`] when the body ended early or is too large.
    pub async fn read_within(
        &mut self,
        max_bytes: usize,
        memory: &mut MemoryHold,
    ) -> std::result::Result<Bytes, IncompleteBody> {
        // The buffer grows by doubling.
        self.read_while(|length| length <= max_bytes && memory.try_resize(2 * length).is_ok()).await
    }

    /// Reads the body while its length is accepted.
    async fn read_while(
        &mut self,
        mut accepts: impl FnMut(usize) -> bool,
    ) -> std::result::Result<Bytes, IncompleteBody> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next().await? {
            if !accepts(body.len() + chunk.len()) {
                self.reject_as_too_large();
                return Err(IncompleteBody);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(Bytes::from(body))
    }

    /// Reads a JSON document, at most `max_bytes`. The document itself shows whether it is
    /// complete if the framing does not.
    ///
    /// # Errors
    /// [`IncompleteBody`] when the document ended early or is larger than `max_bytes`.
    pub async fn read_json(
        &mut self,
        max_bytes: usize,
    ) -> std::result::Result<Bytes, IncompleteBody> {
        let body = self.read(max_bytes).await?;
        let content = match self.completeness(BodyContent::Opaque) {
            Completeness::Whole => return Ok(body),
            Completeness::Unproven if is_json(&body) => BodyContent::SelfContained,
            Completeness::Unproven | Completeness::BrokenOff => BodyContent::Unfinished,
        };
        match self.completeness(content) {
            Completeness::Whole => Ok(body),
            Completeness::Unproven | Completeness::BrokenOff => Err(IncompleteBody),
        }
    }

    /// Returns the connection to the pool for further requests; closes it instead if the
    /// body was not read to its end or the upstream closes the connection.
    pub fn return_connection(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let closes_connection = header_contains(&self.head, http::header::CONNECTION, "close");
        let is_complete = self.end == Some(BodyEnd::Marked);
        let is_full = connection.refused_ids.is_full();
        if !is_complete || closes_connection || is_full || connection.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let usable_for = keep_alive_time(&self.head).unwrap_or(DEFAULT_IDLE_TIME);
        let idle = IdleConnection { usable_until: now + usable_for, idle_since: now, connection };
        let pool = Rc::clone(&idle.connection.pool);
        pool.idle.borrow_mut().entry(idle.connection.address).or_default().push(idle);
    }
}

fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

fn keep_alive_time(head: &Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let part = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let time_s = part.parse::<f64>().ok()?.max(0.0) * KEEP_ALIVE_FRACTION;
    Some(Duration::try_from_secs_f64(time_s).unwrap_or(MAX_IDLE_TIME).min(MAX_IDLE_TIME))
}
