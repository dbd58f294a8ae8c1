//! A sound model server that streams events, carries out orders and reports its state.

use crate::{
    http::{self, Message},
    site::{self, CannotRun, Record, Site},
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    thread,
    time::{Duration, Instant},
};

/// Time in which a server loads an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
/// Time in which a server loads its model.
const MODEL_LOAD: Duration = Duration::from_millis(4_300);
/// Memory of a server in tokens.
const MEMORY_TOKENS: u64 = 226_207;

/// What one server is.
#[derive(Clone)]
pub struct EngineShape {
    pub id: String,
    pub zone: String,
    /// Version of its software.
    pub software: String,
    /// Last number of its address.
    pub last: u8,
    /// Base model that is loaded.
    pub model: String,
    /// Adapters of the model that are loaded from the start.
    pub adapters: Vec<String>,
    pub adapter_slots: usize,
    pub events: u64,
    pub event_gap: Duration,
}

/// An adapter that occupies a slot.
struct Adapter {
    /// Time from which it is loaded.
    usable_from: Instant,
    /// Requests that use it now.
    runs: u32,
    /// Whether it leaves as soon as no request uses it.
    is_leaving: bool,
}

impl Adapter {
    /// Returns an adapter that is loaded after some time.
    fn loaded_after(time: Duration) -> Self {
        Self { usable_from: Instant::now() + time, runs: 0, is_leaving: false }
    }

    fn is_usable(&self) -> bool {
        !self.is_leaving && Instant::now() >= self.usable_from
    }
}

struct State {
    seq: u64,
    /// Version of the weights of the model that the server holds, and the newest one that was named.
    weights: u64,
    newest_weights: u64,
    /// End of the load of the newest weights, if it is under way.
    loads_until: Option<Instant>,
    adapters: BTreeMap<String, Adapter>,
}

/// An order that reached a server.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
}

/// A running server.
pub struct Engine {
    shape: EngineShape,
    address: SocketAddr,
    born: u64,
    record: Record,
    state: Mutex<State>,
    /// All orders, in the order of their arrival.
    orders: Mutex<Vec<Order>>,
}

impl Engine {
    /// Starts a server, without registering it.
    pub fn start(site: &Site, shape: EngineShape) -> Result<Arc<Self>, CannotRun> {
        let adapters = shape
            .adapters
            .iter()
            .map(|name| (name.clone(), Adapter::loaded_after(Duration::ZERO)))
            .collect();
        let engine = Arc::new(Self {
            address: site.address(shape.last, 9000),
            born: site::unix_ms(),
            record: site.record.clone(),
            state: Mutex::new(State {
                seq: 0,
                weights: 1,
                newest_weights: 1,
                loads_until: None,
                adapters,
            }),
            orders: Mutex::default(),
            shape,
        });
        let serving = Arc::clone(&engine);
        let stays = Arc::new(AtomicBool::new(false));
        site::serve(engine.address, stays, move |stream| serving.serve(stream))?;
        Ok(engine)
    }

    /// Returns the record of the server in the store.
    pub fn entry(&self, state: &str) -> String {
        let EngineShape { zone, software, model, .. } = &self.shape;
        let (address, born) = (self.address, self.born);
        let adapters = self.adapters_text();
        format!(
            r#"{{"Service":"lm","Address":"{address}","Zone":"{zone}","Version":"{software}","Slots":64,
            "State":"{state}","ColdLeftMs":0,"Seq":1,"Stage":"both","born":{born},
            "Models":[{{"Name":"{model}","Version":1,"Adapters":[{adapters}]}}]}}"#
        )
    }

    /// Records that a version of the model's weights was named, which the next load fetches.
    pub fn name_weights(&self, version: u64) {
        self.state().newest_weights = version;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.loads_until.is_some_and(|until| Instant::now() >= until) {
            state.loads_until = None;
            state.weights = state.newest_weights;
            state.adapters.clear();
        }
        state
    }

    fn adapters_text(&self) -> String {
        let state = self.state();
        let usable = state.adapters.iter().filter(|(_, adapter)| adapter.is_usable());
        usable.map(|(name, _)| format!(r#""{name}@1""#)).collect::<Vec<_>>().join(",")
    }

    /// Returns the adapters that are not loaded yet, or leave once no request uses them.
    fn coming_text(&self) -> String {
        let (state, model) = (self.state(), &self.shape.model);
        let other = state.adapters.iter().filter(|(_, adapter)| !adapter.is_usable());
        other.map(|(name, _)| format!(r#""{model}/{name}@1""#)).collect::<Vec<_>>().join(",")
    }

    /// Begins to use an adapter; returns whether it is loaded.
    fn begin_use(&self, adapter: &str) -> bool {
        let mut state = self.state();
        let usable = state.adapters.get_mut(adapter).filter(|adapter| adapter.is_usable());
        usable.is_some_and(|adapter| {
            adapter.runs += 1;
            true
        })
    }

    fn end_use(&self, adapter: &str) {
        let mut state = self.state();
        let Some(known) = state.adapters.get_mut(adapter) else { return };
        known.runs = known.runs.saturating_sub(1);
        if known.runs == 0 && known.is_leaving {
            state.adapters.remove(adapter);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut rest, false) {
            let is_written = match (request.method(), request.path()) {
                ("GET", "/v1/report") => stream.write_all(&self.report()).is_ok(),
                ("POST", "/v1/order") => stream.write_all(&self.order(&request)).is_ok(),
                ("GET", "/health") => {
                    let headers = [("x-instance-id", self.shape.id.as_str())];
                    stream.write_all(&http::response_bytes(200, &headers, b"")).is_ok()
                }
                _ => self.run(&mut stream, &request),
            };
            if !is_written {
                return;
            }
        }
    }

    fn report(&self) -> Vec<u8> {
        let (model, born) = (&self.shape.model, self.born);
        let (adapters, coming) = (self.adapters_text(), self.coming_text());
        let State { seq, weights, loads_until, .. } = *self.state();
        let is_busy = loads_until.is_some();
        let body = format!(
            r#"{{"Stage":"both","Models":[{{"Name":"{model}","Version":{weights},"Adapters":[{adapters}]}}],
            "Coming":[{coming}],"Busy":{is_busy},"Seq":{seq},"QueueDepth":0,"Running":0,"KvUsed":0,"KvTotal":{MEMORY_TOKENS},"Handles":0,
            "born":{born}}}"#
        );
        http::response_bytes(200, &[("content-type", "application/json")], body.as_bytes())
    }

    /// Returns the orders that reached the server so far.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn order(&self, request: &Message) -> Vec<u8> {
        let text = request.text();
        let field = |name: &str| json_field(&text, name);
        let expected = field("Expect").and_then(|value| value.parse::<u64>().ok());
        let op = field("Op").unwrap_or_default();
        let adapter = field("Adapter");
        let holder = field("Holder").unwrap_or_default();
        let fence = field("Fence").and_then(|value| value.parse().ok()).unwrap_or(0);
        let name = adapter.as_deref().unwrap_or("its model");
        self.record.line(&format!(
            "server {} gets from {holder}, fence {fence}: {op} {name}",
            self.shape.id
        ));
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        orders.push(Order { at: Instant::now(), holder, fence });
        drop(orders);
        let mut state = self.state();
        let status = if request.header("x-expect-instance") != self.shape.id {
            421
        } else if expected.is_some_and(|expected| expected != state.seq) {
            409
        } else if state.loads_until.is_some() {
            409
        } else {
            match (op.as_str(), adapter) {
                ("load", None) if state.weights == state.newest_weights => 200,
                ("load", None) => {
                    self.record.line(&format!("server {} loads its model", self.shape.id));
                    state.loads_until = Some(Instant::now() + MODEL_LOAD);
                    state.seq += 1;
                    202
                }
                ("load", Some(adapter)) if state.adapters.contains_key(&adapter) => 200,
                ("load", Some(adapter)) => {
                    if state.adapters.len() >= self.shape.adapter_slots {
                        self.record.line(&format!(
                            "server {} was ordered to load more than {} adapters",
                            self.shape.id, self.shape.adapter_slots
                        ));
                    }
                    state.adapters.insert(adapter, Adapter::loaded_after(ADAPTER_LOAD));
                    state.seq += 1;
                    202
                }
                ("unload", Some(adapter)) => {
                    state.seq += 1;
                    match state.adapters.get_mut(&adapter) {
                        Some(known) if known.runs > 0 => {
                            known.is_leaving = true;
                            202
                        }
                        _ => {
                            state.adapters.remove(&adapter);
                            200
                        }
                    }
                }
                _ => 200,
            }
        };
        drop(state);
        http::response_bytes(status, &[], b"")
    }

    /// Runs a request; returns whether its answer was written to the end.
    fn run(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let own = &self.shape.id;
        let id = request.header("x-request-id");
        if request.header("x-expect-instance") != own {
            return stream
                .write_all(&http::response_bytes(421, &[("x-instance-id", own)], b""))
                .is_ok();
        }
        let model = request.header("x-model");
        let (weights, is_busy) = {
            let state = self.state();
            (state.weights.to_string(), state.loads_until.is_some())
        };
        if is_busy {
            let headers = [("x-request-id", id), ("x-not-executed", "1")];
            return stream.write_all(&http::response_bytes(503, &headers, b"")).is_ok();
        }
        // For a request for an adapter the header names a version of the adapter.
        let expected = request.header("x-expect-version");
        let held = if model.contains('/') { "1" } else { &weights };
        if !expected.is_empty() && expected != held {
            self.record
                .line(&format!("server {own} has version {held}, {id} expects {expected}: 421"));
            let headers = [("x-request-id", id), ("x-not-executed", "1")];
            return stream.write_all(&http::response_bytes(421, &headers, b"")).is_ok();
        }
        let adapter = model.split_once('/').map(|(_, adapter)| adapter.to_owned());
        let usage = request.header("x-token-usage").split(',');
        let tokens: u64 = usage.filter_map(|count| count.trim().parse::<u64>().ok()).sum();
        if tokens > MEMORY_TOKENS {
            self.record
                .line(&format!("server {own} rejects {id}, which is larger than its memory"));
            let headers = [("x-request-id", id), ("x-not-executed", "1")];
            return stream.write_all(&http::response_bytes(503, &headers, b"")).is_ok();
        }
        if adapter.as_ref().is_some_and(|adapter| !self.begin_use(adapter)) {
            let headers = [("x-request-id", id), ("x-not-executed", "1")];
            return stream.write_all(&http::response_bytes(421, &headers, b"")).is_ok();
        }
        let is_written = self.write_events(stream, request);
        adapter.iter().for_each(|adapter| self.end_use(adapter));
        is_written
    }

    /// Writes the answer to a request that runs; returns whether it was written to the end.
    fn write_events(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let EngineShape { id: own, software, events, event_gap, .. } = &self.shape;
        let id = request.header("x-request-id");
        let first = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        self.record.line(&format!("server {own} ({software}) runs {id} from event {first}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\n\
             x-response-seal: {own}\r\nx-weight-versions: 1\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in first..=*events {
            thread::sleep(if event == first { Duration::from_millis(50) } else { *event_gap });
            let text = format!("id: {event}\ndata: {software} {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns the value of a field of a flat JSON object as text.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let key = format!("\"{name}\":");
    let value = text[text.find(&key)? + key.len()..].trim_start();
    let end = if let Some(quoted) = value.strip_prefix('"') {
        return Some(quoted[..quoted.find('"')?].to_owned());
    } else {
        value.find([',', '}']).unwrap_or(value.len())
    };
    Some(value[..end].trim().to_owned())
}
