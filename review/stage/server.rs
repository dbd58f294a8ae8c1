//! A plain service's server, as the pages describe it.

use crate::{
    http::{Connection, Head},
    json::Json,
    stage::{Record, unix_ms},
    store::Store,
};
use std::{
    collections::HashMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// What a server does.
#[derive(Debug, Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    /// Requests that may wait beside those that run.
    pub queue: usize,
    pub work: Duration,
    pub body_bytes: usize,
}

/// A request that has arrived at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub request: String,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// Limit that each answer names.
    limit: Option<f64>,
    /// Requests turned away in a second at which the server does not fall over yet.
    brittle: Option<usize>,
    brittle_since: Option<Instant>,
    refusals: Vec<Instant>,
    /// Number of the current start.
    start: u64,
    born: u64,
    down_until: Option<Instant>,
    falls: Vec<Instant>,
    /// Whether the server has left: its entry is removed and it writes no other.
    has_left: bool,
    arrivals: Vec<Arrival>,
    connections: HashMap<u64, TcpStream>,
    next_connection: u64,
}

/// A server that runs in this process; clones are the same one.
#[derive(Clone)]
pub struct Server {
    pub plan: Arc<Plan>,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

/// Time for which a server that fell over is down.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time after the first statement from which a brittle server lets fewer wait and may fall over.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests that may wait at a brittle server.
const BRITTLE_QUEUE: usize = 2;

impl Server {
    /// Starts a server and registers it.
    pub fn start(store: &Store, record: &Record, plan: Plan) -> Self {
        let server = Self { plan: Arc::new(plan), shared: Arc::default(), record: record.clone() };
        server.state(|state| state.born = unix_ms());
        let (listening, registering, store) = (server.clone(), server.clone(), store.clone());
        thread::spawn(move || listening.listen());
        thread::spawn(move || registering.register(&store));
        server
    }

    fn state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.shared.0.lock().unwrap())
    }

    /// Names a limit in all answers, or none.
    pub fn name_limit(&self, limit: Option<f64>) {
        self.state(|state| state.limit = limit);
    }

    /// Names the requests turned away in a second from which on the server falls over.
    pub fn be_brittle(&self, refusals: Option<usize>) {
        self.state(|state| {
            state.brittle = refusals;
            state.brittle_since = Some(Instant::now());
        });
    }

    /// Leaves without reporting it: the entry is removed, and the server goes on serving.
    pub fn leave(&self, store: &Store) {
        let id = self.id();
        self.state(|state| state.has_left = true);
        store.remove("servers", &id);
        self.record.line(&format!("server {id} leaves; its entry is removed"));
    }

    /// Ends, with the requests that it runs.
    pub fn end(&self) {
        let running = self.state(|state| {
            let running = state.running + state.waiting;
            state.start += 1;
            state.down_until = Some(Instant::now() + Duration::from_secs(3600));
            (state.running, state.waiting) = (0, 0);
            for (_, connection) in state.connections.drain() {
                let _ignored = connection.shutdown(Shutdown::Both);
            }
            running
        });
        self.shared.1.notify_all();
        self.record.line(&format!("server {} ends; {running} requests run there", self.plan.id));
    }

    /// Returns the requests that arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state(|state| state.arrivals.clone())
    }

    /// Returns the times at which the server fell over.
    pub fn falls(&self) -> Vec<Instant> {
        self.state(|state| state.falls.clone())
    }

    fn id(&self) -> String {
        let start = self.state(|state| state.start);
        if start == 0 { self.plan.id.clone() } else { format!("{}-{start}", self.plan.id) }
    }

    fn is_down(&self) -> bool {
        self.state(|state| state.down_until.is_some_and(|until| Instant::now() < until))
    }

    fn register(&self, store: &Store) {
        let mut registered = String::new();
        while !self.state(|state| state.has_left) {
            let id = self.id();
            if self.is_down() || (id != registered && !registered.is_empty()) {
                store.remove("servers", &registered);
                registered.clear();
            }
            if !self.is_down() {
                let Plan { service, zone, address, slots, .. } = &*self.plan;
                let born = self.state(|state| state.born);
                let spec = format!(
                    "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
                     \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\
                     \"Seq\":0,\"born\":{born}}}"
                );
                store.put("servers", &id, &Json::parse(&spec).expect("an entry"));
                registered = id;
            }
            thread::sleep(Duration::from_millis(400));
        }
    }

    fn listen(&self) {
        loop {
            if self.is_down() {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.plan.address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let _ignored = listener.set_nonblocking(true);
            while !self.is_down() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ignored = stream.set_nonblocking(false);
                        let server = self.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let number = self.state(|state| {
            state.next_connection += 1;
            let number = state.next_connection;
            state.connections.insert(number, copy);
            number
        });
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(_body) = connection.read_body(&head, false) else { break };
            if self.answer(&mut connection, &head).is_none() {
                break;
            }
        }
        self.state(|state| state.connections.remove(&number));
    }

    fn answer(&self, connection: &mut Connection, head: &Head) -> Option<()> {
        let request = head.get("x-request-id").unwrap_or_default().to_owned();
        let id = self.id();
        let (limit, brittle) = self.state(|state| (state.limit, state.brittle));
        let mut headers = format!("X-Request-Id: {request}\r\nX-Instance-Id: {id}\r\n");
        if let Some(limit) = limit {
            headers += &format!("Server-Limit: {limit}\r\n");
        }
        if let Some(refusals) = brittle {
            headers += &format!("Server-Brittle: {refusals}\r\n");
        }
        if head.word(1) == "/health" {
            return connection.answer("200 OK", &headers, b"").ok();
        }
        if head.get("x-expect-instance").is_some_and(|expected| expected != id) {
            return connection.answer("421 Misdirected Request", &headers, b"").ok();
        }
        let start = self.state(|state| state.start);
        let has_place = self.admit(&request, &id);
        if !has_place {
            headers += "X-Not-Executed: 1\r\n";
            let written = connection.answer("503 Service Unavailable", &headers, b"").ok();
            self.fall_over_if_due();
            return written;
        }
        thread::sleep(self.plan.work);
        let is_same_start = self.state(|state| {
            let is_same = state.start == start;
            if is_same {
                state.running -= 1;
            }
            is_same
        });
        self.shared.1.notify_all();
        if !is_same_start {
            return None;
        }
        let load =
            self.state(|state| format!("{},{},{}", state.running, state.waiting, self.plan.slots));
        headers += &format!("X-Server-Load: {load}\r\nX-Response-Seal: {id}.{request}\r\n");
        let body = vec![b'a'; self.plan.body_bytes];
        connection.answer("200 OK", &headers, &body).ok()
    }

    /// Waits for a slot; returns whether the request runs.
    fn admit(&self, request: &str, id: &str) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        let is_brittle = state.brittle.is_some()
            && state.brittle_since.is_some_and(|since| since.elapsed() >= CONTACT_TIME);
        let queue = if is_brittle { BRITTLE_QUEUE } else { self.plan.queue };
        let has_place = state.running < self.plan.slots || state.waiting < queue;
        state.arrivals.push(Arrival { at: Instant::now(), request: request.to_owned() });
        let word = if has_place { "takes" } else { "turns away" };
        self.record.line(&format!("server {id} {word} {request}"));
        if !has_place {
            state.refusals.push(Instant::now());
            return false;
        }
        let start = state.start;
        state.waiting += 1;
        while state.running >= self.plan.slots && state.start == start {
            state = self.shared.1.wait(state).unwrap();
        }
        if state.start != start {
            return true;
        }
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn fall_over_if_due(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let Some(most) = state.brittle else { return };
        if state.brittle_since.is_none_or(|since| since.elapsed() < CONTACT_TIME) {
            return;
        }
        let now = Instant::now();
        state.refusals.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        if state.refusals.len() <= most {
            return;
        }
        let lost = state.running + state.waiting;
        state.falls.push(now);
        state.start += 1;
        state.born = unix_ms() + DOWN_TIME.as_millis() as u64;
        state.down_until = Some(now + DOWN_TIME);
        (state.running, state.waiting) = (0, 0);
        state.refusals.clear();
        for (_, connection) in state.connections.drain() {
            let _ignored = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.shared.1.notify_all();
        self.record.line(&format!(
            "server {} falls over: it had to turn away more than {most} in a second; {lost} requests lost",
            self.plan.id
        ));
    }
}
