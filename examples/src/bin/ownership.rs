//! Ownership without the daemons: three workers share queues, and the others take over the queues
//! of the one that stops renewing its session.
//!
//! The in-memory store stands for any object API with conditional updates.

use rail_lease::{
    HolderCommand, LeaseTimes, OwnershipCommand, OwnershipRecord, SessionHolder, SessionObserver,
    SessionRecord, plan_ownership,
};
use std::{collections::BTreeMap, net::SocketAddr, process::ExitCode, time::Duration};

/// Time to live of a session.
const TTL: Duration = Duration::from_secs(3);
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(250);
/// Time at which worker 1 stops renewing its session.
const WORKER_STOP_TIME: Duration = Duration::from_secs(5);
/// End of the simulation.
const END_TIME: Duration = Duration::from_secs(12);
/// Resources that the workers own; each has one owner.
const QUEUES: [&str; 4] = ["queue-a", "queue-b", "queue-c", "queue-d"];

/// Records with their versions. An update succeeds only if it names the current version.
#[derive(Debug, Default)]
struct Store {
    write_count: u64,
    sessions: BTreeMap<u64, (SessionRecord, String)>,
    owners: BTreeMap<String, (OwnershipRecord, String)>,
}

impl Store {
    fn next_version(&mut self) -> String {
        self.write_count += 1;
        self.write_count.to_string()
    }

    /// Writes a session if its current version is the expected one; returns the new version.
    fn put_session(&mut self, record: SessionRecord, expected: Option<&str>) -> Option<String> {
        let current = self.sessions.get(&record.session_id).map(|(_, version)| version.as_str());
        if current != expected {
            return None;
        }
        let version = self.next_version();
        self.sessions.insert(record.session_id, (record, version.clone()));
        Some(version)
    }

    /// Writes an owner if its current version is the expected one.
    fn put_owner(&mut self, record: OwnershipRecord, expected: Option<&str>) {
        let current = self.owners.get(&record.resource).map(|(_, version)| version.as_str());
        if current == expected {
            let version = self.next_version();
            self.owners.insert(record.resource.clone(), (record, version));
        }
    }
}

/// One process that may own queues.
#[derive(Debug)]
struct Worker {
    holder: SessionHolder,
    observer: SessionObserver,
}

impl Worker {
    fn new(number: u64) -> Self {
        let record = SessionRecord {
            session_id: number,
            host: format!("worker-{number}"),
            zone: "zone-1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, number as u8], 7402)),
            ttl_ms: TTL.as_millis() as u64,
            renewals: 0,
            leaving: false,
            revoked: false,
            // Without witnesses a session ends when it can't be renewed within its time to live.
            witnesses: Vec::new(),
        };
        let times = LeaseTimes { pause_margin: TTL, max_outage: Duration::ZERO };
        Self { holder: SessionHolder::new(record, times), observer: SessionObserver::new(times) }
    }

    /// Renews the own session, revokes sessions whose holder stopped renewing, and takes over
    /// queues without an owner.
    fn step(&mut self, store: &mut Store, now: Duration) {
        self.renew(store, now);
        for (record, version) in store.sessions.values() {
            self.observer.observe(record.clone(), version.clone(), now);
        }
        for (mut record, version) in self.observer.revocable(now) {
            record.revoked = true;
            store.put_session(record, Some(&version));
        }
        if self.holder.is_valid(now) {
            self.take_over_queues(store);
        }
    }

    /// Creates or renews the own session when that is due.
    fn renew(&mut self, store: &mut Store, now: Duration) {
        self.holder.tick(now);
        let written = match self.holder.poll(now) {
            None => return,
            Some(HolderCommand::Create(record)) => {
                store.put_session(record.clone(), None).map(|version| (record, version))
            }
            Some(HolderCommand::Renew { record, expected_version }) => {
                let version = store.put_session(record.clone(), Some(&expected_version));
                version.map(|version| (record, version))
            }
        };
        match written {
            Some((record, version)) => self.holder.acknowledge(record, version),
            // Another worker revoked the session; a real worker would create one with a new id.
            None => self.holder.record_revocation(),
        }
    }

    fn take_over_queues(&self, store: &mut Store) {
        let live: Vec<SessionRecord> = self.observer.live().cloned().collect();
        let queues = QUEUES.map(|queue| (queue.to_owned(), "zone-1".to_owned()));
        let queues = BTreeMap::from(queues);
        for command in plan_ownership(self.holder.record(), &live, &queues, &store.owners) {
            match command {
                OwnershipCommand::Create(record) => store.put_owner(record, None),
                OwnershipCommand::TakeOver { record, expected_version } => {
                    store.put_owner(record, Some(&expected_version));
                }
            }
        }
    }
}

fn main() -> ExitCode {
    let mut store = Store::default();
    let mut workers = [1, 2, 3].map(Worker::new);
    let mut owners_before_stop = BTreeMap::new();
    let mut now = Duration::ZERO;
    while now < END_TIME {
        if now == WORKER_STOP_TIME {
            owners_before_stop.clone_from(&store.owners);
            print_owners("before worker 1 stops", &store);
        }
        let stopped_workers = usize::from(now >= WORKER_STOP_TIME);
        for worker in &mut workers[stopped_workers..] {
            worker.step(&mut store, now);
        }
        now += STEP;
    }
    print_owners("after", &store);
    let all_owned = store.owners.len() == QUEUES.len();
    let none_owned_by_stopped = store.owners.values().all(|(owner, _)| owner.session_id != 1);
    let fencing_numbers_grew = owners_before_stop
        .iter()
        .filter(|(_, (owner, _))| owner.session_id == 1)
        .all(|(queue, (owner, _))| {
            store.owners.get(queue).is_some_and(|(new_owner, _)| new_owner.fence > owner.fence)
        });
    let stopped_session_invalid = !workers[0].holder.is_valid(now);
    if all_owned && none_owned_by_stopped && fencing_numbers_grew && stopped_session_invalid {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_owners(moment: &str, store: &Store) {
    println!("{moment}:");
    for (queue, (owner, _version)) in &store.owners {
        println!("  {queue}: worker {} with fencing number {}", owner.session_id, owner.fence);
    }
}
