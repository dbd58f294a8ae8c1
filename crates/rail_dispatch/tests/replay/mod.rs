//! Replays load on a plain service, without a network: hosts, ways between them, and instances
//! whose speed changes.

use rail_dispatch::{
    Arrival, Dispatcher, LoadGuard, LoadReport, Pace, RunEnd, RunId, RunOutcome, RunRequest,
    UpstreamLoads,
};
use rail_route::{OutlierDetector, Upstream, UpstreamState, choose_instance};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// Requests that wait on an instance before it turns further ones away.
const UPSTREAM_QUEUE: usize = 24;
const WARM_UP_US: u64 = 1_000_000;

/// How hosts choose instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The lowest cost by what each host has seen, as for instances that report no pace.
    Before,
    /// The lowest load by reports that all hosts share twice a second.
    Shared,
    /// One host dispatches; from `stops_at_us` on it is silent for good.
    Dispatched { stops_at_us: u64 },
    /// Knows everything at once, and keeps one queue.
    Perfect,
}

/// What an instance says of its pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Figure {
    True,
    Always(u64),
    Absent,
}

/// The load that is replayed.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub requests_per_s: f64,
    /// Amplitude of the waves of each zone, which don't coincide.
    pub wave: f64,
    /// Factor of the demand during one second in eight.
    pub burst: f64,
    /// Factor by which a shared machine is slower at times, and the share of these times.
    pub noise: (f64, f64),
    /// Factor by which each instance is slower all the time.
    pub slowness: [f64; 3],
    pub figure: Figure,
    pub seconds: u64,
}

/// Waits in milliseconds beyond a request's own work at the usual pace.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub mean_wait: f64,
    pub p99_wait: f64,
    pub late: f64,
    pub refused: f64,
    /// Largest share of requests at one instance.
    pub largest_share: f64,
    pub smallest_share: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    PaceChange(usize),
    AtDispatcher(usize),
    Granted(usize, usize),
    AtInstance(usize, usize),
    Done(usize, usize),
    Answered(usize, usize),
    Released(usize),
    SharedReports,
}

#[derive(Debug)]
struct Request {
    host: usize,
    arrived_us: u64,
    work_us: f64,
    sent_us: u64,
    run: Option<RunId>,
    reported: u32,
    pace: f64,
    /// Counts the request at its host until the answer.
    guard: Option<LoadGuard>,
    tried: Vec<String>,
}

#[derive(Debug)]
struct Instance {
    upstream: Arc<Upstream>,
    running: u32,
    queue: VecDeque<usize>,
    pace: f64,
    slowness: f64,
    served: u64,
}

struct Replay {
    load: Load,
    policy: Policy,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now_us: u64,
    requests: Vec<Request>,
    instances: Vec<Instance>,
    hosts: Vec<UpstreamLoads>,
    shared: Vec<f64>,
    dispatcher: Dispatcher,
    waiting: BTreeMap<RunId, usize>,
    central: VecDeque<usize>,
    waits_ms: Vec<f64>,
    late: u64,
    refused: u64,
}

/// Replays a load with 70 hosts and 3 instances of 6 slots.
pub fn replay(load: Load, policy: Policy, seed: u64) -> Outcome {
    let instances = (0..3).map(|index| Instance {
        upstream: Arc::new(Upstream {
            id: format!("i{index}"),
            service: "desk".to_owned(),
            address: "127.0.0.1:80".parse().expect("an address"),
            zone: ZONES[index].to_owned(),
            slots: 6,
            state: UpstreamState::Ready,
            started_unix_ms: None,
            software: String::new(),
            resident_models: Vec::new(),
        }),
        running: 0,
        queue: VecDeque::new(),
        pace: 1.0,
        slowness: load.slowness[index],
        served: 0,
    });
    let mut replay = Replay {
        load,
        policy,
        rng: ChaCha8Rng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        sequence: 0,
        now_us: 0,
        requests: Vec::new(),
        instances: instances.collect(),
        hosts: (0..70).map(|_| UpstreamLoads::default()).collect(),
        shared: vec![0.0; 3],
        dispatcher: Dispatcher::default(),
        waiting: BTreeMap::new(),
        central: VecDeque::new(),
        waits_ms: Vec::new(),
        late: 0,
        refused: 0,
    };
    replay.run()
}

impl Replay {
    fn now(&self) -> Duration {
        Duration::from_micros(self.now_us)
    }

    fn at(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn run(&mut self) -> Outcome {
        self.dispatcher.set_ready(self.instances.iter().map(|instance| &instance.upstream));
        self.at(0, Event::Arrival);
        self.at(0, Event::SharedReports);
        for index in 0..3 {
            self.at(0, Event::PaceChange(index));
        }
        while let Some(Reverse((time_us, _, event))) = self.events.pop() {
            if time_us > self.load.seconds * 1_000_000 {
                break;
            }
            self.now_us = time_us;
            self.handle(event);
        }
        self.outcome()
    }

    fn outcome(&mut self) -> Outcome {
        self.waits_ms.sort_by(f64::total_cmp);
        let count = self.waits_ms.len();
        let total = count as f64 + self.refused as f64;
        let served: u64 = self.instances.iter().map(|instance| instance.served).sum();
        let share = |instance: &Instance| instance.served as f64 / served as f64;
        let shares = self.instances.iter().map(share);
        Outcome {
            mean_wait: self.waits_ms.iter().sum::<f64>() / count as f64,
            p99_wait: self.waits_ms[count * 99 / 100],
            late: self.late as f64 / total,
            refused: self.refused as f64 / total,
            largest_share: shares.clone().fold(0.0, f64::max),
            smallest_share: shares.fold(1.0, f64::min),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::PaceChange(index) => self.change_pace(index),
            Event::AtDispatcher(request) => self.dispatch(request),
            Event::Granted(request, index) => self.send(request, index),
            Event::AtInstance(request, index) => self.receive(request, index),
            Event::Done(request, index) => self.finish(request, index),
            Event::Answered(request, index) => self.answer(request, index),
            Event::Released(request) => self.release(request),
            Event::SharedReports => {
                self.shared = self.instances.iter().map(Instance::requests).collect();
                self.at(500_000, Event::SharedReports);
            }
        }
    }

    /// Rate of all zones, and the zone of one request.
    fn demand(&mut self) -> (f64, usize) {
        let time_s = self.now_us as f64 / 1e6;
        let burst = if (time_s as u64) % 8 == 5 { self.load.burst } else { 1.0 };
        let phase = |zone: usize| (time_s / 15.0 + zone as f64 / 3.0) * std::f64::consts::TAU;
        let rates = [0, 1, 2].map(|zone| (1.0 + self.load.wave * phase(zone).sin()) / 3.0);
        let total: f64 = rates.iter().sum();
        let mut pick = self.rng.random_range(0.0..total);
        let zone = rates.iter().position(|rate| {
            pick -= rate;
            pick < 0.0
        });
        (self.load.requests_per_s * total * burst, zone.unwrap_or(2))
    }

    fn arrive(&mut self) {
        let (rate, zone) = self.demand();
        let pause_s = Exp::new(rate).expect("a rate").sample(&mut self.rng);
        self.at((pause_s * 1e6) as u64, Event::Arrival);
        let spread = LogNormal::new(-0.125, 0.5).expect("a distribution");
        let factor = if self.rng.random_bool(0.01) { 5.0 } else { 1.0 };
        let host = self.rng.random_range(0..23) * 3 + zone;
        self.requests.push(Request {
            host,
            arrived_us: self.now_us,
            work_us: 29_000.0 * factor * spread.sample(&mut self.rng),
            sent_us: 0,
            run: None,
            reported: 0,
            pace: 1.0,
            guard: None,
            tried: Vec::new(),
        });
        self.choose(self.requests.len() - 1);
    }

    fn choose(&mut self, request: usize) {
        let host = self.requests[request].host;
        match self.policy {
            Policy::Perfect => {
                self.central.push_back(request);
                self.start_perfect();
            }
            Policy::Dispatched { stops_at_us } if self.now_us < stops_at_us => {
                let way_us = way_us(host, 0);
                self.at(way_us, Event::AtDispatcher(request));
            }
            Policy::Before | Policy::Shared | Policy::Dispatched { .. } => {
                let index = self.choose_alone(request);
                self.send(request, index);
            }
        }
    }

    fn choose_alone(&mut self, request: usize) -> usize {
        let Request { host, tried, .. } = &self.requests[request];
        let (host, tried) = (*host, tried.clone());
        let upstreams: Vec<Arc<Upstream>> =
            self.instances.iter().map(|instance| Arc::clone(&instance.upstream)).collect();
        let loads = &self.hosts[host];
        let detector = OutlierDetector::default();
        let (zone, now) = (ZONES[host % 3], self.now());
        let chosen = match self.policy {
            Policy::Shared => {
                let load = |id: &str| self.shared[index_of(id)] + loads.estimate(id);
                choose_instance(upstreams.iter(), &tried, zone, &detector, load, now)
            }
            Policy::Before | Policy::Dispatched { .. } | Policy::Perfect => {
                let load = |id: &str| loads.estimate(id);
                choose_instance(upstreams.iter(), &tried, zone, &detector, load, now)
            }
        };
        index_of(&chosen.expect("an instance").id)
    }

    fn dispatch(&mut self, request: usize) {
        let Request { host, arrived_us, .. } = self.requests[request];
        let late_at = Duration::from_micros(arrived_us + 150_000);
        let expires_at = Duration::from_micros(arrived_us + 750_000);
        let zone = ZONES[host % 3].to_owned();
        let run = RunRequest { zone, priority: 1, late_at, expires_at, excluded: Vec::new() };
        match self.dispatcher.request(run, self.now()) {
            Arrival::Queued(id) => {
                self.requests[request].run = Some(id);
                self.waiting.insert(id, request);
            }
            Arrival::Refused(_) | Arrival::NoInstance => self.refused += 1,
        }
        self.start_dispatched();
    }

    fn start_dispatched(&mut self) {
        while let Some(start) = self.dispatcher.next_start(self.now()) {
            let request = self.waiting.remove(&start.id).expect("a waiting request");
            let way_us = way_us(self.requests[request].host, 0);
            self.at(way_us, Event::Granted(request, index_of(&start.instance)));
        }
    }

    fn start_perfect(&mut self) {
        while !self.central.is_empty() {
            let free = (0..3).filter(|&index| self.instances[index].running < 6);
            let speed = |index: &usize| self.instances[*index].factor();
            let Some(index) = free.min_by(|a, b| speed(a).total_cmp(&speed(b))) else { return };
            let request = self.central.pop_front().expect("a request");
            self.receive(request, index);
        }
    }

    fn send(&mut self, request: usize, index: usize) {
        let host = self.requests[request].host;
        self.requests[request].sent_us = self.now_us;
        self.requests[request].guard = Some(self.hosts[host].track(&format!("i{index}")));
        let way_us = way_us(host, index);
        self.at(way_us, Event::AtInstance(request, index));
    }

    fn receive(&mut self, request: usize, index: usize) {
        if self.instances[index].running < 6 {
            self.start(request, index);
        } else if self.instances[index].queue.len() < UPSTREAM_QUEUE {
            self.instances[index].queue.push_back(request);
        } else {
            self.turn_away(request, index);
        }
    }

    /// A request that an instance turns away goes to another one once.
    fn turn_away(&mut self, request: usize, index: usize) {
        self.requests[request].guard = None;
        if let Some(id) = self.requests[request].run {
            let end = RunEnd { outcome: RunOutcome::Refused, ..RunEnd::UNKNOWN };
            self.dispatcher.end(id, end, self.now());
        } else if self.requests[request].tried.is_empty() {
            self.requests[request].tried.push(format!("i{index}"));
            let next = self.choose_alone(request);
            return self.send(request, next);
        }
        self.refused += 1;
    }

    fn start(&mut self, request: usize, index: usize) {
        let instance = &mut self.instances[index];
        instance.running += 1;
        let time_us = self.requests[request].work_us * instance.factor();
        self.at(time_us as u64, Event::Done(request, index));
    }

    fn finish(&mut self, request: usize, index: usize) {
        let instance = &mut self.instances[index];
        instance.running -= 1;
        instance.served += 1;
        self.requests[request].reported = instance.running + instance.queue.len() as u32;
        self.requests[request].pace = instance.pace;
        if let Some(next) = instance.queue.pop_front() {
            self.start(next, index);
        }
        let way_us = way_us(self.requests[request].host, index);
        self.at(way_us, Event::Answered(request, index));
        if self.policy == Policy::Perfect {
            self.start_perfect();
        }
    }

    fn answer(&mut self, request: usize, index: usize) {
        let Request { host, arrived_us, work_us, run, .. } = self.requests[request];
        let total_ms = (self.now_us - arrived_us) as f64 / 1000.0;
        if arrived_us > WARM_UP_US {
            self.waits_ms.push(total_ms - work_us / 1000.0);
            self.late += u64::from(total_ms > 150.0);
        }
        if self.policy == Policy::Perfect {
            return;
        }
        let (id, loads) = (format!("i{index}"), &self.hosts[host]);
        loads.record_report(&id, self.report(request));
        self.requests[request].guard = None;
        if run.is_some() {
            let way_us = way_us(host, 0);
            self.at(way_us, Event::Released(request));
        }
    }

    fn release(&mut self, request: usize) {
        let Some(id) = self.requests[request].run else { return };
        let Request { host, sent_us, .. } = self.requests[request];
        let way_us = way_us(host, 0);
        let took = Duration::from_micros(self.now_us - way_us - sent_us);
        let report = Some(self.report(request));
        let end = RunEnd {
            outcome: RunOutcome::Answered,
            report,
            took: Some(took),
            max_refusals_per_s: None,
        };
        self.dispatcher.end(id, RunEnd::from_code(end.code()), self.now());
        self.start_dispatched();
    }

    fn report(&self, request: usize) -> LoadReport {
        let Request { reported, pace, .. } = self.requests[request];
        let pace = match self.load.figure {
            Figure::True => Pace::from_percent((pace * 100.0) as u64),
            Figure::Always(percent) => Pace::from_percent(percent),
            Figure::Absent => None,
        };
        LoadReport { requests: reported, pace }
    }

    /// Slow times last 600 ms at the mean; the usual ones so long that the shares hold.
    fn change_pace(&mut self, index: usize) {
        let (factor, share) = self.load.noise;
        let was_slow = self.instances[index].pace > 1.0;
        let is_slow = !was_slow && factor > 1.0 && self.now_us > 0;
        self.instances[index].pace = if is_slow { factor } else { 1.0 };
        let mean_s = if is_slow { 0.6 } else { 0.6 * (1.0 - share) / share.max(0.01) };
        let time_s = Exp::new(1.0 / mean_s).expect("a rate").sample(&mut self.rng);
        self.at((time_s * 1e6) as u64, Event::PaceChange(index));
    }
}

impl Instance {
    fn requests(&self) -> f64 {
        f64::from(self.running) + self.queue.len() as f64
    }

    fn factor(&self) -> f64 {
        self.pace * self.slowness
    }
}

/// Time from a host to what lies in the zone with this index.
fn way_us(host: usize, zone: usize) -> u64 {
    if host % 3 == zone { 300 } else { 1_400 }
}

fn index_of(id: &str) -> usize {
    id[1..].parse().expect("a number")
}
