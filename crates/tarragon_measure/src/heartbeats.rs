//! Cost of heartbeat lists.

use crate::{Result, print};
use rail_member::{Heartbeat, Members, Role};
use std::time::{Duration, Instant};

/// Times that the list is taken in, to average its cost.
const REPEATS: u32 = 20;

/// Measures the bytes of a list and the time to write, read and take it in.
pub fn measure(processes: usize, owned: usize) -> Result<()> {
    let mut list: Vec<Heartbeat> = (0..processes).map(|n| heartbeat(n, owned)).collect();
    let bytes = postcard::to_allocvec(&list)?;
    print("processes", processes);
    print("list bytes", bytes.len());
    print("bytes a heartbeat", bytes.len() / processes.max(1));
    let mut members = Members::default();
    let started = Instant::now();
    for repeat in 0..REPEATS {
        for heartbeat in &mut list {
            heartbeat.sequence += 1;
        }
        let read: Vec<Heartbeat> = postcard::from_bytes(&postcard::to_allocvec(&list)?)?;
        for heartbeat in read {
            members.observe(heartbeat, Duration::from_secs(u64::from(repeat)));
        }
    }
    let each = started.elapsed() / REPEATS;
    print("microseconds to write, read and take in a list", each.as_micros());
    print("nanoseconds a heartbeat", each.as_nanos() / processes.max(1) as u128);
    Ok(())
}

fn heartbeat(number: usize, owned: usize) -> Heartbeat {
    let roles = [Role::Scheduler, Role::Gateway, Role::Admin];
    let role = roles[number % roles.len()];
    let mut heartbeat =
        Heartbeat::start(&format!("host-{}", number / 3), &format!("zone-{}", number % 16), role);
    heartbeat.sequence = 100_000;
    heartbeat.generation = 100_000;
    heartbeat.in_flight = 30;
    if role == Role::Scheduler {
        heartbeat.owned = (0..owned).map(|n| format!("engine-{}", number * owned + n)).collect();
    }
    heartbeat
}
