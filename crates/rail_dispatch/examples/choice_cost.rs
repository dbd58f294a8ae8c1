//! Prints the time of one choice among 200 instances, with few and with many runs in progress.

use rail_dispatch::{Arrival, Dispatcher, RunEnd, RunRequest};
use rail_route::{Upstream, UpstreamState};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const INSTANCES: usize = 200;
const CHOICES: u32 = 20_000;

fn upstream(index: usize) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("instance-{index}"),
        service: "service".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: format!("z{}", index % 3),
        slots: 16,
        state: UpstreamState::Ready,
        started_unix_ms: None,
        software: String::new(),
        resident_models: Vec::new(),
    })
}

fn main() {
    let upstreams: Vec<Arc<Upstream>> = (0..INSTANCES).map(upstream).collect();
    for running in [10, 3000] {
        let mut dispatcher = Dispatcher::default();
        dispatcher.set_ready(upstreams.iter());
        let mut runs = std::collections::VecDeque::new();
        let mut choose = |now: Duration| {
            let request = RunRequest {
                zone: "z1".to_owned(),
                priority: 1,
                late_at: now + Duration::from_millis(150),
                expires_at: now + Duration::from_millis(700),
                excluded: Vec::new(),
            };
            if let Arrival::Queued(id) = dispatcher.request(request, now) {
                runs.push_back(id);
            }
            while dispatcher.next_start(now).is_some() {}
            if runs.len() > running
                && let Some(ended) = runs.pop_front()
            {
                dispatcher.end(ended, RunEnd::UNKNOWN, now);
            }
        };
        (0..running).for_each(|_| choose(Duration::ZERO));
        let started_at = Instant::now();
        (0..CHOICES).for_each(|n| choose(Duration::from_micros(u64::from(n) * 100)));
        println!("{running} runs in progress: {:?} a choice", started_at.elapsed() / CHOICES);
    }
}
