//! Account of the memory that a process holds for its callers.

use crate::arrivals::{ArrivalId, Arrivals};
use std::{
    cell::RefCell,
    net::IpAddr,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

/// Result of a request for memory.
pub type Result<T> = std::result::Result<T, Shortage>;

/// No memory is left, and nothing that holds some gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for callers")]
pub struct Shortage;

/// What holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// A request with its body, which is kept for retries.
    Request,
    /// Parts of an upstream's answer.
    Answer,
    /// Bytes of a connection that are not read or not sent yet.
    Connection,
}

impl Holder {
    /// All holders.
    pub const ALL: [Self; 3] = [Self::Request, Self::Answer, Self::Connection];

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "requests",
            Self::Answer => "answers",
            Self::Connection => "connections",
        }
    }
}

/// Limits of an account, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountLimits {
    /// Most that all holds have together.
    pub total_bytes: usize,
    /// Part of the total that only small holds may use.
    pub reserve_bytes: usize,
    /// Size up to which a hold is small.
    pub small_bytes: usize,
    /// Most that all answers have together.
    pub answer_bytes: usize,
    /// Size up to which an answer may exceed that.
    pub small_answer_bytes: usize,
}

/// Part of the reserve, as one divided by this, that small requests leave to small answers and to
/// bytes that callers have not read yet.
const ANSWER_RESERVE_DIVISOR: usize = 4;

/// Account of the memory of one process; clones share it within one thread.
#[derive(Debug, Clone)]
pub struct MemoryAccount {
    state: Rc<RefCell<State>>,
}

#[derive(Debug)]
struct State {
    limits: AccountLimits,
    held_bytes: [usize; Holder::ALL.len()],
    arrivals: Arrivals,
    /// Tasks that wait for memory to return.
    waiting: Vec<Waker>,
}

impl State {
    fn total_held_bytes(&self) -> usize {
        self.held_bytes.iter().sum()
    }

    /// Returns how many bytes are missing for a hold to grow.
    fn missing_bytes(&self, holder: Holder, held: usize, wanted: usize) -> usize {
        let limits = &self.limits;
        let growth = wanted - held;
        let kept = match holder {
            _ if wanted > limits.small_bytes => limits.reserve_bytes,
            // Requests that have run must not lose their answers to bodies that are still arriving.
            Holder::Request => limits.reserve_bytes / ANSWER_RESERVE_DIVISOR,
            Holder::Answer | Holder::Connection => 0,
        };
        let usable = limits.total_bytes.saturating_sub(kept);
        let missing = (self.total_held_bytes() + growth).saturating_sub(usable);
        if holder == Holder::Answer && wanted > limits.small_answer_bytes {
            let answers = self.held_bytes[Holder::Answer as usize] + growth;
            return missing.max(answers.saturating_sub(limits.answer_bytes));
        }
        missing
    }
}

impl MemoryAccount {
    /// Creates an account in which nothing is held.
    pub fn new(limits: AccountLimits) -> Self {
        let state = State {
            limits,
            held_bytes: Default::default(),
            arrivals: Arrivals::default(),
            waiting: Vec::new(),
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }

    /// Returns the limits.
    pub fn limits(&self) -> AccountLimits {
        self.state.borrow().limits
    }

    /// Returns the memory of one kind of holder, in bytes.
    pub fn held_bytes(&self, holder: Holder) -> usize {
        self.state.borrow().held_bytes[holder as usize]
    }

    /// Starts a hold of nothing.
    pub fn start(&self, holder: Holder) -> MemoryHold {
        MemoryHold { account: self.clone(), holder, bytes: 0, arrival: None }
    }

    /// Starts a hold of nothing for a request whose body is arriving. Until the end of the arrival
    /// it may have to give way.
    pub fn start_arrival(&self, caller: IpAddr, now: Duration) -> MemoryHold {
        let arrival = self.state.borrow_mut().arrivals.start(caller, now);
        let account = self.clone();
        MemoryHold { account, holder: Holder::Request, bytes: 0, arrival: Some(arrival) }
    }
}

/// Memory that one holder has; returned when dropped.
#[derive(Debug)]
pub struct MemoryHold {
    account: MemoryAccount,
    holder: Holder,
    bytes: usize,
    /// The arrival that this memory is for, until its end.
    arrival: Option<ArrivalId>,
}

impl MemoryHold {
    /// Returns the memory held, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size of the hold to `bytes`, without others giving way.
    ///
    /// # Errors
    /// [`Shortage`] if the memory for a greater size is not there; the size stays.
    pub fn try_resize(&mut self, bytes: usize) -> Result<()> {
        if bytes > self.bytes {
            let state = self.account.state.borrow();
            if state.missing_bytes(self.holder, self.bytes, bytes) > 0 {
                return Err(Shortage);
            }
        }
        self.set_bytes(bytes);
        Ok(())
    }

    /// Changes the size of the hold of an arrival to `bytes`. If memory is short, waits until
    /// others have given way.
    ///
    /// # Errors
    /// [`Shortage`] if too little memory is held by arrivals that give way to this one.
    pub fn poll_resize(
        &mut self,
        context: &Context<'_>,
        bytes: usize,
        now: Duration,
    ) -> Poll<Result<()>> {
        if self.try_resize(bytes).is_ok() {
            return Poll::Ready(Ok(()));
        }
        let Some(arrival) = self.arrival else { return Poll::Ready(Err(Shortage)) };
        let mut state = self.account.state.borrow_mut();
        let missing = state.missing_bytes(self.holder, self.bytes, bytes);
        if !state.arrivals.displace(arrival, missing, now) {
            return Poll::Ready(Err(Shortage));
        }
        state.waiting.push(context.waker().clone());
        Poll::Pending
    }

    /// Records that bytes of the body arrived.
    pub fn record_progress(&self, now: Duration) {
        if let Some(arrival) = self.arrival {
            self.account.state.borrow_mut().arrivals.record_progress(arrival, now);
        }
    }

    /// Returns ready once the arrival must give way, by dropping this hold.
    pub fn poll_displaced(&self, context: &Context<'_>) -> Poll<()> {
        let Some(arrival) = self.arrival else { return Poll::Pending };
        self.account.state.borrow_mut().arrivals.poll_displaced(arrival, context)
    }

    /// Ends the arrival; the memory is held on.
    pub fn end_arrival(&mut self) {
        if let Some(arrival) = self.arrival.take() {
            let mut state = self.account.state.borrow_mut();
            state.arrivals.end(arrival);
            wake_all(&mut state);
        }
    }

    fn set_bytes(&mut self, bytes: usize) {
        let mut state = self.account.state.borrow_mut();
        let held = &mut state.held_bytes[self.holder as usize];
        *held = *held - self.bytes + bytes;
        if let Some(arrival) = self.arrival {
            state.arrivals.record_held_bytes(arrival, bytes);
        }
        if bytes < self.bytes {
            wake_all(&mut state);
        }
        self.bytes = bytes;
    }
}

/// Wakes all that wait for memory; each decides anew.
fn wake_all(state: &mut State) {
    for waker in state.waiting.drain(..) {
        waker.wake();
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.set_bytes(0);
        self.end_arrival();
    }
}
