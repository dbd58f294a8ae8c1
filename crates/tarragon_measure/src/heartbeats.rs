//! Size and processing time of heartbeat lists.

use crate::{Result, print_metric};
use rail_member::{Heartbeat, Members, Role};
use std::time::{Duration, Instant};

/// Number of times that the list is processed, to average the time.
const ITERATIONS: u32 = 20;

/// Measures the size of a list of heartbeats, and the time to encode, decode and merge it.
pub fn measure(processes: usize, owned: usize) -> Result<()> {
    let mut list: Vec<Heartbeat> = (0..processes).map(|n| heartbeat(n, owned)).collect();
    let bytes = postcard::to_allocvec(&list)?;
    print_metric("processes", processes);
    print_metric("list bytes", bytes.len());
    print_metric("bytes a heartbeat", bytes.len() / processes.max(1));
    let mut members = Members::default();
    let started = Instant::now();
    for iteration in 0..ITERATIONS {
        for heartbeat in &mut list {
            heartbeat.sequence += 1;
        }
        let decoded: Vec<Heartbeat> = postcard::from_bytes(&postcard::to_allocvec(&list)?)?;
        for heartbeat in decoded {
            members.observe(heartbeat, Duration::from_secs(u64::from(iteration)));
        }
    }
    let time_per_list = started.elapsed() / ITERATIONS;
    print_metric("microseconds to encode, decode, merge a list", time_per_list.as_micros());
    print_metric("nanoseconds a heartbeat", time_per_list.as_nanos() / processes.max(1) as u128);
    Ok(())
}

/// Creates the heartbeat of one process of a fleet in which each host runs one process per role.
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
