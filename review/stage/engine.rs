//! A model server that takes orders and answers requests for adapters that it holds.

use crate::{
    http::{Connection, Head},
    json::Json,
    stage::{Record, unix_ms},
    store::Store,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Base model that is loaded from the start.
pub const MODEL: &str = "m0";
/// Time that an adapter takes to load.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Time after which an order that was left unanswered is carried out.
const LATE: Duration = Duration::from_millis(11_500);
/// Time for which a server is down that was ordered to load too much.
const CRASH_TIME: Duration = Duration::from_secs(3);
/// Time that a long request takes.
pub const LONG_WORK: Duration = Duration::from_secs(7);

/// An order as it arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
}

#[derive(Default)]
struct State {
    /// Adapter slots; 0 for any number.
    slots: usize,
    /// Adapters of which the next order is left unanswered and carried out late.
    late_adapters: BTreeSet<String>,
    /// Loads that were accepted beyond the slots.
    overruns: usize,
    /// Number of the current start.
    start: u64,
    born: u64,
    down_until: Option<Instant>,
    connections: Vec<TcpStream>,
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
            work,
            state: Arc::default(),
            record: record.clone(),
        };
        engine.state.lock().unwrap().born = unix_ms();
        let (registering, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                // A server that is down sends nothing.
                if !registering.is_down() {
                    store.put("servers", &registering.id, &registering.entry());
                }
                thread::sleep(Duration::from_millis(400));
            }
        });
        let serving = engine.clone();
        thread::spawn(move || serving.listen());
        engine
    }

    /// Returns the orders that arrived.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    /// Sets the adapter slots.
    pub fn limit_slots(&self, slots: usize) {
        self.state.lock().unwrap().slots = slots;
    }

    /// Leaves the next order for each of these adapters unanswered and carries it out late.
    pub fn carry_out_late(&self, adapters: &[&str]) {
        let adapters = adapters.iter().map(ToString::to_string);
        self.state.lock().unwrap().late_adapters = adapters.collect();
    }

    /// Returns the loads beyond the adapter slots that were carried out.
    pub fn overruns(&self) -> usize {
        self.state.lock().unwrap().overruns
    }

    /// Returns how many orders were accepted since the start, and the adapters.
    pub fn holds(&self) -> (u64, Vec<String>) {
        let state = self.state.lock().unwrap();
        (state.accepted, state.adapters.keys().cloned().collect())
    }

    /// Crashes, and starts again under the same id after some time, with nothing loaded.
    pub fn crash(&self, down: Duration) {
        let mut state = self.state.lock().unwrap();
        let running: usize = state.running.values().sum();
        self.record.line(&format!("server {} crashes; {running} requests run there", self.id));
        state.start += 1;
        state.born = unix_ms() + down.as_millis() as u64;
        state.down_until = Some(Instant::now() + down);
        state.accepted = 0;
        state.adapters.clear();
        state.running.clear();
        state.unloading.clear();
        for connection in state.connections.drain(..) {
            let _ignored = connection.shutdown(Shutdown::Both);
        }
    }

    fn is_down(&self) -> bool {
        self.state.lock().unwrap().down_until.is_some_and(|until| Instant::now() < until)
    }

    fn listen(&self) {
        loop {
            if self.is_down() {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let _ignored = listener.set_nonblocking(true);
            while !self.is_down() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ignored = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            self.state.lock().unwrap().connections.push(copy);
                        }
                        let engine = self.clone();
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn entry(&self) -> Json {
        let (address, zone) = (self.address, &self.zone);
        let born = self.state.lock().unwrap().born;
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
            state.born
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
        let (op, expected) = (text("Op"), number("Expect"));
        let is_late = {
            let mut state = self.state.lock().unwrap();
            state.orders.push(Order { at: Instant::now(), holder: holder.clone(), fence });
            state.late_adapters.remove(&adapter)
        };
        if is_late {
            let expect = expected.unwrap_or(0);
            self.record.line(&format!(
                "server {} leaves the order to {op} {adapter} with Expect {expect} unanswered",
                self.id
            ));
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(LATE);
                let status = engine.carry_out(&op, &adapter, expected);
                engine.record.line(&format!(
                    "server {} now carries out the order to {op} {adapter} with Expect {expect}: {status}",
                    engine.id
                ));
                engine.crash_if_overfilled();
            });
            thread::sleep(Duration::from_secs(1));
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        let status = self.carry_out(&op, &adapter, expected);
        self.record.line(&format!(
            "server {} gets the order to {op} {adapter} from {holder} with fence {fence}, Expect {}: {status}",
            self.id,
            expected.unwrap_or(0)
        ));
        self.crash_if_overfilled();
        connection.answer(status, "Content-Type: application/json\r\n", b"{}")
    }

    fn carry_out(&self, op: &str, adapter: &str, expected: Option<u64>) -> &'static str {
        let mut state = self.state.lock().unwrap();
        if expected.is_some_and(|expected| expected != state.accepted) {
            return "409 Conflict";
        }
        let is_held = state.adapters.contains_key(adapter);
        if (op == "load") == is_held {
            return "200 OK";
        }
        state.accepted += 1;
        if op == "load" {
            state.adapters.insert(adapter.to_owned(), Instant::now() + LOAD_TIME);
            return "202 Accepted";
        }
        if state.running.get(adapter).is_some_and(|count| *count > 0) {
            state.unloading.insert(adapter.to_owned());
            return "202 Accepted";
        }
        state.adapters.remove(adapter);
        "200 OK"
    }

    /// Crashes if it was ordered to load more adapters than it has places.
    fn crash_if_overfilled(&self) {
        let count = {
            let mut state = self.state.lock().unwrap();
            let count = state.adapters.len();
            if state.slots == 0 || count <= state.slots {
                return;
            }
            state.overruns += 1;
            count
        };
        self.record.line(&format!("server {} was ordered to hold {count} adapters", self.id));
        self.crash(CRASH_TIME);
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
        let start = self.state.lock().unwrap().start;
        thread::sleep(if head.word(1).ends_with("/long") { LONG_WORK } else { self.work });
        {
            let mut state = self.state.lock().unwrap();
            if state.start != start {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
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
