//! A model server that takes orders and answers requests for adapters that it holds.

use crate::{
    http::{Connection, Head},
    json::Json,
    stage::{Record, unix_ms},
    store::Store,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Base model that is loaded from the start.
pub const MODEL: &str = "m0";
/// Time that an adapter takes to load.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// An order as it arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
}

#[derive(Default)]
struct State {
    accepted: u64,
    /// Requests that run, by adapter.
    running: BTreeMap<String, usize>,
    /// Adapters that are dropped when their requests have ended.
    unloading: BTreeSet<String>,
    adapters: BTreeMap<String, Instant>,
    orders: Vec<Order>,
}

/// A model server that runs in this process; clones are the same one.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    address: SocketAddr,
    zone: String,
    born: u64,
    /// Time that a request takes.
    work: Duration,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    /// Starts a server and registers it.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        zone: &str,
        address: SocketAddr,
        work: Duration,
    ) -> Self {
        let engine = Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            born: unix_ms(),
            work,
            state: Arc::default(),
            record: record.clone(),
        };
        let (registering, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                store.put("servers", &registering.id, &registering.entry());
                thread::sleep(Duration::from_millis(400));
            }
        });
        let listener = TcpListener::bind(address).expect("a free address");
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Returns the orders that arrived.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    fn entry(&self) -> Json {
        let (address, zone, born) = (self.address, &self.zone, self.born);
        let text = format!(
            "{{\"Service\":\"models\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":0,\"born\":{born},\
             \"Stage\":\"both\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}]}}"
        );
        Json::parse(&text).expect("an entry")
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head, false) else { return };
            let answered = match head.word(1) {
                "/v1/report" => self.report(&mut connection),
                "/v1/order" => self.order(&mut connection, &head, &body),
                _ => self.run(&mut connection, &head),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self, connection: &mut Connection) -> std::io::Result<()> {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let (mut held, mut coming) = (Vec::new(), Vec::new());
        for (name, ready_at) in &state.adapters {
            if *ready_at <= now {
                held.push(format!("\"{name}@1\""));
            } else {
                coming.push(format!("\"{MODEL}/{name}@1\""));
            }
        }
        let body = format!(
            "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[{}]}}],\
             \"Busy\":false,\"Seq\":{},\"QueueDepth\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\
             \"Handles\":0,\"Coming\":[{}],\"born\":{}}}",
            held.join(","),
            state.accepted,
            coming.join(","),
            self.born
        );
        drop(state);
        connection.answer("200 OK", "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn order(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> std::io::Result<()> {
        if head.get("x-expect-instance").is_some_and(|id| id != self.id) {
            return connection.answer("421 Misdirected Request", "", b"");
        }
        let order = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let text = |name: &str| order.get(name).and_then(Json::text).unwrap_or_default().to_owned();
        let number = |name: &str| order.get(name).and_then(Json::number);
        let (holder, fence) = (text("Holder"), number("Fence").unwrap_or(0));
        let adapter = text("Adapter");
        let mut state = self.state.lock().unwrap();
        state.orders.push(Order { at: Instant::now(), holder: holder.clone(), fence });
        let status = if number("Expect").is_some_and(|expected| expected != state.accepted) {
            "409 Conflict"
        } else if text("Op") == "load" {
            if state.adapters.contains_key(&adapter) {
                "200 OK"
            } else {
                state.accepted += 1;
                state.adapters.insert(adapter.clone(), Instant::now() + LOAD_TIME);
                "202 Accepted"
            }
        } else {
            state.accepted += 1;
            if state.running.get(&adapter).is_some_and(|count| *count > 0) {
                state.unloading.insert(adapter.clone());
                "202 Accepted"
            } else {
                state.adapters.remove(&adapter);
                "200 OK"
            }
        };
        drop(state);
        self.record.line(&format!(
            "server {} gets the order to {} {adapter} from {holder} with fence {fence}: {status}",
            self.id,
            text("Op")
        ));
        connection.answer(status, "Content-Type: application/json\r\n", b"{}")
    }

    fn run(&self, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        let request = head.get("x-request-id").unwrap_or_default();
        let headers = format!("X-Request-Id: {request}\r\nX-Instance-Id: {}\r\n", self.id);
        let model = head.get("x-model").unwrap_or_default();
        let adapter = model.split('/').nth(1).unwrap_or_default();
        let is_expected = head.get("x-expect-instance").is_none_or(|id| id == self.id);
        {
            let mut state = self.state.lock().unwrap();
            let ready_at = state.adapters.get(adapter).copied();
            if !is_expected || !ready_at.is_some_and(|ready_at| ready_at <= Instant::now()) {
                return connection.answer("421 Misdirected Request", &headers, b"");
            }
            if state.unloading.contains(adapter) {
                let headers = headers + "X-Not-Executed: 1\r\n";
                return connection.answer("503 Service Unavailable", &headers, b"");
            }
            *state.running.entry(adapter.to_owned()).or_default() += 1;
        }
        thread::sleep(self.work);
        {
            let mut state = self.state.lock().unwrap();
            let count = state.running.entry(adapter.to_owned()).or_default();
            *count -= 1;
            if *count == 0 && state.unloading.remove(adapter) {
                state.adapters.remove(adapter);
            }
        }
        let headers =
            format!("{headers}X-Response-Seal: {}.{request}\r\nX-Weight-Versions: 1\r\n", self.id);
        connection.answer("200 OK", &headers, model.as_bytes())
    }
}
