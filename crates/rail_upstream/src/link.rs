//! Connections on which the caller knows what was sent.
//!
//! An answer that is dropped before its end closes its connection at once, so
//! the upstream notices that nobody waits any more.

use bytes::Bytes;
use http::{Request, Response, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
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

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Time for which a connection without a stated keep-alive is used again.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Share of a stated keep-alive for which a connection is used again.
const IDLE_SHARE: f64 = 0.7;
/// Read buffer of a connection in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Why no answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request reached the upstream.
    #[error("not_sent")]
    NotSent,
    /// The request was sent, wholly or in part, and no whole answer head came.
    #[error("lost")]
    Lost,
}

/// Times of connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimeouts {
    /// Time in which a connection must open.
    pub connect: Duration,
    /// Time for which sent bytes may stay unacknowledged before the connection is given up.
    pub unacknowledged: Duration,
}

#[derive(Debug)]
struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    pool: Rc<PoolState>,
    address: SocketAddr,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
        self.pool.change_open(self.address, -1);
    }
}

#[derive(Debug)]
struct IdleLink {
    link: Link,
    usable_until: Instant,
    idle_since: Instant,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleLink>>>,
    open: RefCell<HashMap<SocketAddr, u32>>,
    opened: Cell<u64>,
}

impl PoolState {
    fn change_open(&self, address: SocketAddr, by: i32) {
        let mut open = self.open.borrow_mut();
        let count = open.entry(address).or_default();
        *count = count.saturating_add_signed(by);
        if *count == 0 {
            open.remove(&address);
        }
    }
}

/// Connections to upstreams; clones share them. Not for use across threads.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    state: Rc<PoolState>,
    times: ConnectionTimeouts,
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    link: Option<Link>,
    is_whole: bool,
}

/// The body ended before its end mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("answer broke off")]
pub struct IncompleteBody;

impl ConnectionPool {
    /// Starts without connections.
    pub fn new(times: ConnectionTimeouts) -> Self {
        Self { state: Rc::default(), times }
    }

    /// Counts the connections that were opened so far.
    pub fn opened_count(&self) -> u64 {
        self.state.opened.get()
    }

    /// Counts the open connections to an address.
    pub fn open_count(&self, address: SocketAddr) -> u32 {
        self.state.open.borrow().get(&address).copied().unwrap_or(0)
    }

    /// Closes the idle connections to every address for which this does not hold.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let mut closing = Vec::new();
        for (address, links) in self.state.idle.borrow_mut().iter_mut() {
            let keeps = keep(address);
            closing.extend(links.extract_if(.., |idle| {
                !keeps || idle.usable_until <= now || idle.link.sender.is_closed()
            }));
        }
        self.state.idle.borrow_mut().retain(|_, links| !links.is_empty());
        drop(closing);
    }

    /// Closes every idle connection.
    pub fn close_idle(&self) {
        let closing = std::mem::take(&mut *self.state.idle.borrow_mut());
        drop(closing);
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// A kept connection is used only if it was idle for at most `max_idle`.
    ///
    /// # Errors
    /// [`SendError::NotSent`] when the upstream has seen nothing of it.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_idle: Duration,
    ) -> Result<UpstreamResponse> {
        let mut request = request;
        while let Some(link) = self.take_idle(address, max_idle) {
            match exchange(link, request).await {
                Ok(answer) => return Ok(answer),
                // The upstream had closed it before; nothing was written.
                Err(Unsent::Returned(again)) => request = *again,
                Err(Unsent::Failed(error)) => return Err(error),
            }
        }
        let link = self.connect(address).await?;
        exchange(link, request).await.map_err(|unsent| match unsent {
            Unsent::Returned(_) => SendError::NotSent,
            Unsent::Failed(error) => error,
        })
    }

    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Link> {
        let now = Instant::now();
        let mut idle = self.state.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(IdleLink { link, usable_until, idle_since }) = links.pop() {
            let is_fresh = now < usable_until && now < idle_since + max_idle;
            if is_fresh && link.sender.is_ready() {
                return Some(link);
            }
        }
        idle.remove(&address);
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link> {
        let connecting = TcpStream::connect(address);
        let stream = timeout(self.times.connect, connecting)
            .await
            .map_err(|_elapsed| SendError::NotSent)?
            .map_err(|_error| SendError::NotSent)?;
        let socket = socket2::SockRef::from(&stream);
        // An option that the system lacks leaves the callers' own timeouts in force.
        let _unsupported = stream.set_nodelay(true);
        let _unsupported = socket.set_tcp_user_timeout(Some(self.times.unacknowledged));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_error| SendError::NotSent)?;
        let task = tokio::task::spawn_local(async move {
            // The exchange that was under way reports the failure.
            let _ended = connection.await;
        });
        self.state.opened.set(self.state.opened.get() + 1);
        self.state.change_open(address, 1);
        Ok(Link { sender, task, pool: Rc::clone(&self.state), address })
    }
}

enum Unsent {
    Returned(Box<Request<Full<Bytes>>>),
    Failed(SendError),
}

async fn exchange(
    mut link: Link,
    request: Request<Full<Bytes>>,
) -> std::result::Result<UpstreamResponse, Unsent> {
    match link.sender.try_send_request(request).await {
        Ok(response) => Ok(UpstreamResponse::new(response, link)),
        Err(mut error) => Err(match error.take_message() {
            Some(request) => Unsent::Returned(Box::new(request)),
            None => Unsent::Failed(SendError::Lost),
        }),
    }
}

impl UpstreamResponse {
    fn new(response: Response<Incoming>, link: Link) -> Self {
        let (head, body) = response.into_parts();
        Self { head, body, link: Some(link), is_whole: false }
    }

    /// Waits for the next piece of the body; none at its proper end.
    ///
    /// # Errors
    /// [`IncompleteBody`] when the connection ended before the body did.
    pub async fn next(&mut self) -> std::result::Result<Option<Bytes>, IncompleteBody> {
        loop {
            match self.body.frame().await {
                None => {
                    self.is_whole = true;
                    return Ok(None);
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data()
                        && !bytes.is_empty()
                    {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(_)) => return Err(IncompleteBody),
            }
        }
    }

    /// Reads the whole body, at most `max_bytes`.
    ///
    /// # Errors
    /// [`IncompleteBody`] when the body ended early or is larger.
    pub async fn read(&mut self, max_bytes: usize) -> std::result::Result<Bytes, IncompleteBody> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > max_bytes {
                return Err(IncompleteBody);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(Bytes::from(whole))
    }

    /// Gives the connection back for further requests, after a whole answer.
    pub fn return_connection(mut self) {
        let Some(link) = self.link.take() else { return };
        let closes = header_has(&self.head, http::header::CONNECTION, "close");
        if !self.is_whole || closes || link.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let usable_for = keep_alive(&self.head).unwrap_or(DEFAULT_IDLE);
        let idle = IdleLink { usable_until: now + usable_for, idle_since: now, link };
        let pool = Rc::clone(&idle.link.pool);
        pool.idle.borrow_mut().entry(idle.link.address).or_default().push(idle);
    }
}

fn header_has(head: &Parts, name: http::header::HeaderName, token: &str) -> bool {
    let values = head.headers.get_all(name);
    values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}

fn keep_alive(head: &Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let part = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    part.parse::<f64>().ok().map(|time_s| Duration::from_secs_f64(time_s.max(0.0) * IDLE_SHARE))
}
