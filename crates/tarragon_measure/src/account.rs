//! Processing time of the memory account.

use crate::print_metric;
use rail_memory::{Holder, HostCapacity, HostLimits, MemoryAccount, MemoryHold};
use std::{
    net::IpAddr,
    task::{Context, Waker},
    time::{Duration, Instant},
};

/// Memory and sockets of a small host.
const CAPACITY: HostCapacity = HostCapacity {
    memory_bytes: 120 << 20,
    max_sockets: 2875,
    memory_fraction: 0.7,
    socket_fraction: 0.5,
};
/// Memory of a request without its body, and with it, in bytes.
const REQUEST_BYTES: [usize; 2] = [32 << 10, 88 << 10];
/// Memory of its answer, in bytes.
const ANSWER_BYTES: usize = 16 << 10;
/// Chunks in which its body arrives.
const CHUNKS: usize = 4;

/// Measures what the account costs a request, while other bodies arrive.
pub fn measure(arrivals: usize, requests: usize) {
    let account = MemoryAccount::new(HostLimits::of(&CAPACITY).account);
    let others: Vec<_> = (0..arrivals).map(|n| start(&account, caller(n))).collect();
    let started = Instant::now();
    for n in 0..requests {
        serve(&account, caller(n));
    }
    let time_per_request = started.elapsed() / requests.max(1) as u32;
    print_metric("bodies that arrive", others.len());
    print_metric("nanoseconds a request", time_per_request.as_nanos());
}

fn caller(n: usize) -> IpAddr {
    [127, 0, 0, (n % 250) as u8].into()
}

fn start(account: &MemoryAccount, caller: IpAddr) -> MemoryHold {
    let mut memory = account.start_arrival(caller, Duration::ZERO);
    let _short = memory.poll_resize(&context(), REQUEST_BYTES[0], Duration::ZERO);
    memory
}

/// Does what the account does for a request with a body.
fn serve(account: &MemoryAccount, caller: IpAddr) {
    let mut memory = start(account, caller);
    let _short = memory.poll_resize(&context(), REQUEST_BYTES[1], Duration::ZERO);
    for _ in 0..CHUNKS {
        memory.record_progress(Duration::ZERO);
        let _displaced = memory.poll_displaced(&context());
    }
    memory.end_arrival();
    let mut answer = account.start(Holder::Answer);
    let _short = answer.try_resize(ANSWER_BYTES);
}

fn context() -> Context<'static> {
    Context::from_waker(Waker::noop())
}
