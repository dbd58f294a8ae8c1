//! The platform's store: objects with revisions, conditional writes, watches and eras.

use crate::{http::Connection, json::Json};
use std::{
    collections::BTreeMap,
    io::Result,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    object: Json,
    is_removed: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    era: u64,
    away_until: Option<Instant>,
    objects: BTreeMap<(String, String), Json>,
    history: Vec<Change>,
}

/// Whether the store is silent towards the machine that uses an address.
pub type Gate = Arc<AtomicBool>;

/// The store; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves calls at an address. While the returned gate is set, it answers nothing there.
    pub fn listen(&self, address: SocketAddr) -> Result<Gate> {
        let listener = TcpListener::bind(address)?;
        let (store, gate) = (self.clone(), Gate::default());
        let gate_of_calls = Arc::clone(&gate);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (store.clone(), Arc::clone(&gate_of_calls));
                thread::spawn(move || store.serve(stream, &gate));
            }
        });
        Ok(gate)
    }

    /// Creates or replaces an object, unless it has that content already.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) {
        let mut state = self.shared.0.lock().unwrap();
        if state.away_until.is_some_and(|until| Instant::now() < until) {
            return;
        }
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).and_then(|object| object.get("Spec")) == Some(spec) {
            return;
        }
        state.write(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().remove(kind, name);
        self.shared.1.notify_all();
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        let names = state.objects.keys().filter(|(of, _)| of == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    /// Goes away for some time and comes back from a copy as of `time`, in a new era.
    pub fn return_to(&self, time: Instant, away: Duration) {
        let mut state = self.shared.0.lock().unwrap();
        state.away_until = Some(Instant::now() + away);
        state.era += 1;
        state.history.retain(|change| change.at <= time);
        state.revision = state.history.last().map_or(1, |change| change.revision);
        state.objects.clear();
        for change in state.history.clone() {
            let key = (change.kind, change.name);
            if change.is_removed {
                state.objects.remove(&key);
            } else {
                state.objects.insert(key, change.object);
            }
        }
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, gate: &Gate) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head, false) else { return };
            if gate.load(Ordering::Relaxed) {
                // A connection on which an answer is lost returns nothing further.
                thread::sleep(Duration::from_secs(30));
                return;
            }
            let (status, answer) = self.handle(head.word(0), head.word(1), &body);
            if gate.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_secs(30));
                return;
            }
            let era = self.shared.0.lock().unwrap().era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if connection.answer(status, &headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, method: &str, target: &str, body: &[u8]) -> (&'static str, String) {
        let mut state = self.shared.0.lock().unwrap();
        if state.away_until.is_some_and(|until| Instant::now() < until) {
            return ("503 Service Unavailable", String::new());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let mut parts = path.trim_start_matches("/v1/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().unwrap_or_default().to_owned();
        let written = Json::parse(&String::from_utf8_lossy(body));
        let metadata = written.as_ref().and_then(|json| json.get("Metadata"));
        let spec = written.as_ref().and_then(|json| json.get("Spec")).cloned();
        let condition = metadata.and_then(|json| json.get("Revision")).and_then(Json::number);
        let condition =
            condition.or_else(|| parameter("Revision").and_then(|text| text.parse().ok()));
        match (method, name.as_str()) {
            ("GET", "") => {
                if let Some(after) = parameter("Watch").and_then(|text| text.parse().ok()) {
                    let wait = parameter("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    drop(state);
                    return self.watch(&kind, after, Duration::from_millis(wait));
                }
                let items = state.objects.iter().filter(|((of, _), _)| *of == kind);
                let items = items.map(|(_, object)| object.clone()).collect();
                let revision = Json::Number(state.revision.to_string());
                let fields = vec![
                    ("items".to_owned(), Json::List(items)),
                    ("More".to_owned(), Json::Bool(false)),
                    ("StoreRevision".to_owned(), revision),
                ];
                ("200 OK", Json::Object(fields).to_string())
            }
            ("GET", _) => match state.objects.get(&(kind, name)) {
                Some(object) => ("200 OK", object.to_string()),
                None => ("404 Not Found", String::new()),
            },
            ("POST", "") => {
                let name = metadata.and_then(|json| json.get("Name")).and_then(Json::text);
                let (Some(name), Some(spec)) = (name, spec) else {
                    return ("400 Bad Request", String::new());
                };
                if let Some(object) = state.objects.get(&(kind.clone(), name.to_owned())) {
                    return ("409 Conflict", object.to_string());
                }
                let object = state.write(&kind, name, &spec);
                self.shared.1.notify_all();
                ("200 OK", object.to_string())
            }
            ("PUT", _) => {
                let Some(object) = state.objects.get(&(kind.clone(), name.clone())).cloned() else {
                    return ("404 Not Found", String::new());
                };
                if condition.is_some() && condition != revision_of(&object) {
                    return ("409 Conflict", object.to_string());
                }
                let Some(spec) = spec else { return ("400 Bad Request", String::new()) };
                if object.get("Spec") == Some(&spec) {
                    return ("200 OK", object.to_string());
                }
                let object = state.write(&kind, &name, &spec);
                self.shared.1.notify_all();
                ("200 OK", object.to_string())
            }
            ("DELETE", _) => {
                let known = state.objects.get(&(kind.clone(), name.clone())).cloned();
                let Some(object) = known else { return ("404 Not Found", String::new()) };
                if condition.is_some() && condition != revision_of(&object) {
                    return ("409 Conflict", object.to_string());
                }
                state.remove(&kind, &name);
                self.shared.1.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", String::new()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let deadline = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.shared.0.lock().unwrap();
        let era = state.era;
        loop {
            if state.era != era || after > state.revision {
                return ("410 Gone", String::new());
            }
            let is_new = |change: &&Change| change.revision > after && change.kind == kind;
            let events: Vec<Json> = state.history.iter().filter(is_new).map(event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let fields = vec![
                    ("events".to_owned(), Json::List(events)),
                    ("StoreRevision".to_owned(), Json::Number(state.revision.to_string())),
                ];
                return ("200 OK", Json::Object(fields).to_string());
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &Json) -> Json {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).and_then(|object| object.get("Metadata"));
        let created = created.and_then(|json| json.get("CreatedRev")).and_then(Json::number);
        let number = |value: u64| Json::Number(value.to_string());
        let metadata = Json::Object(vec![
            ("Name".to_owned(), Json::Text(name.to_owned())),
            ("Revision".to_owned(), number(self.revision)),
            ("CreatedRev".to_owned(), number(created.unwrap_or(self.revision))),
        ]);
        let object = Json::Object(vec![
            ("Metadata".to_owned(), metadata),
            ("Spec".to_owned(), spec.clone()),
            ("Status".to_owned(), Json::Null),
        ]);
        self.objects.insert(key, object.clone());
        self.record(kind, name, object.clone(), false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.record(kind, name, object, true);
        }
    }

    fn record(&mut self, kind: &str, name: &str, object: Json, is_removed: bool) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let (at, revision) = (Instant::now(), self.revision);
        self.history.push(Change { at, revision, kind, name, object, is_removed });
    }
}

fn revision_of(object: &Json) -> Option<u64> {
    object.get("Metadata")?.get("Revision")?.number()
}

fn event(change: &Change) -> Json {
    Json::Object(vec![
        ("Object".to_owned(), change.object.clone()),
        ("Tombstone".to_owned(), Json::Bool(change.is_removed)),
    ])
}
