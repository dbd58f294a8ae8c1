//! Open connections of callers, and which of them are closed when there are too many.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

/// Time without a byte after which a connection without a request may be closed for a new one.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Most connections that are being closed for new ones at the same time.
const MAX_CLOSING: usize = 32;

type ConnectionId = u64;

/// Open connections, bounded in number; clones share the table within one thread.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    max_connections: usize,
    connections: Rc<RefCell<Connections>>,
}

#[derive(Debug, Default)]
struct Connections {
    open: BTreeMap<ConnectionId, Rc<Connection>>,
    next_id: ConnectionId,
    closing: usize,
}

#[derive(Debug)]
struct Connection {
    caller: IpAddr,
    /// Time of its last byte, or of the end of its last request.
    quiet_since: Cell<Duration>,
    is_serving: Cell<bool>,
    is_displaced: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(max_connections: usize) -> Self {
        Self { max_connections, connections: Rc::default() }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.borrow().open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Admits a new connection. In a full table another one has to close for it; returns `None` if
    /// all are in use.
    pub fn admit(&self, caller: IpAddr, now: Duration) -> Option<ConnectionSlot> {
        let mut connections = self.connections.borrow_mut();
        let staying = connections.open.len() - connections.closing;
        if staying >= self.max_connections {
            let displaced = connections.choose_displaced(now)?;
            displaced.is_displaced.set(true);
            connections.closing += 1;
            if let Some(waker) = displaced.waker.take() {
                waker.wake();
            }
        }
        connections.next_id += 1;
        let id = connections.next_id;
        let connection = Rc::new(Connection {
            caller,
            quiet_since: Cell::new(now),
            is_serving: Cell::new(false),
            is_displaced: Cell::new(false),
            waker: RefCell::default(),
        });
        connections.open.insert(id, Rc::clone(&connection));
        Some(ConnectionSlot { table: self.clone(), id, connection })
    }
}

impl Connections {
    /// Returns the connection that is closed for a new one: one that was quiet for some time, of
    /// the caller with the most connections, and of those the one that was quiet for longest.
    fn choose_displaced(&self, now: Duration) -> Option<Rc<Connection>> {
        if self.closing >= MAX_CLOSING {
            return None;
        }
        let mut by_caller = HashMap::<IpAddr, usize>::new();
        for connection in self.open.values() {
            *by_caller.entry(connection.caller).or_default() += 1;
        }
        let may_close = |connection: &&Rc<Connection>| {
            let is_quiet = now >= connection.quiet_since.get() + QUIET_TIME;
            is_quiet && !connection.is_serving.get() && !connection.is_displaced.get()
        };
        let rank = |connection: &&Rc<Connection>| {
            let of_caller = by_caller.get(&connection.caller).copied().unwrap_or(0);
            (of_caller, std::cmp::Reverse(connection.quiet_since.get()))
        };
        self.open.values().filter(may_close).max_by_key(rank).cloned()
    }
}

/// An open connection in a table; leaves it when dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    table: ConnectionTable,
    id: ConnectionId,
    connection: Rc<Connection>,
}

impl ConnectionSlot {
    /// Returns the address of the caller.
    pub fn caller(&self) -> IpAddr {
        self.connection.caller
    }

    /// Records that bytes arrived.
    pub fn record_bytes(&self, now: Duration) {
        self.connection.quiet_since.set(now);
    }

    /// Records that a whole request arrived; until its end the connection is not closed for others.
    pub fn begin_serving(&self) {
        self.connection.is_serving.set(true);
    }

    /// Records the end of a request.
    pub fn end_serving(&self, now: Duration) {
        self.connection.is_serving.set(false);
        self.connection.quiet_since.set(now);
    }

    /// Returns ready once the connection must close for another one.
    pub fn poll_displaced(&self, context: &Context<'_>) -> Poll<()> {
        if self.connection.is_displaced.get() {
            return Poll::Ready(());
        }
        let mut waker = self.connection.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|known| known.will_wake(context.waker())) {
            *waker = Some(context.waker().clone());
        }
        Poll::Pending
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut connections = self.table.connections.borrow_mut();
        connections.open.remove(&self.id);
        if self.connection.is_displaced.get() {
            connections.closing -= 1;
        }
    }
}
