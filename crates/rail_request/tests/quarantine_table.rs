//! Records that hosts share about requests that crash upstreams.

use quickcheck::{Gen, QuickCheck};
use rail_request::{
    EndProof, Fingerprint, LostRun, QuarantineDecision, QuarantineTable, RecordNews, TableChange,
    TrialDecision, TrialId, TrialRun, UpstreamEnd, quarantine_table::MAX_RECORDS,
};

const SERVERS: usize = 4;
/// Requests that run beside the crashing one.
const BYSTANDERS: usize = 63;
/// Crashes after which a request is refused while other requests run beside its trials.
const MAX_CRASHES: u32 = 3;

fn fingerprint(text: &str) -> Fingerprint {
    Fingerprint::of([text.as_bytes()])
}

fn end(server: usize, start: u64) -> UpstreamEnd {
    UpstreamEnd {
        upstream: format!("server{server}"),
        started_unix_ms: start,
        host: "host1".to_owned(),
        proof: EndProof::Proven,
        is_trial: false,
        noticed_at_ms: 0,
    }
}

fn candidates(first: usize) -> Vec<String> {
    (0..SERVERS).map(|n| format!("server{}", (first + n) % SERVERS)).collect()
}

/// Runs the trial of a suspect, in which its upstream ends.
fn crash_in_trial(table: &mut QuarantineTable, name: Fingerprint, end: UpstreamEnd, now_ms: u64) {
    let known_crashes = table.find(name).map_or(0, |record| record.crashes);
    let run = TrialRun { id: u64::from(known_crashes) + 1, known_crashes };
    table.start_trial(name, run.id, now_ms);
    table.record_end(name, end, Some(run), now_ms);
    table.end_trial(name, run.id);
}

/// One call of a request that runs on a server.
#[derive(Debug, Clone)]
struct Run {
    request: usize,
    server: usize,
    trial: Option<TrialRun>,
}

/// Servers of which one ends whenever request 0 runs there, with all other requests beside it.
#[derive(Debug, Default)]
struct Simulation {
    table: QuarantineTable,
    running: Vec<Run>,
    next_id: TrialId,
    starts: [u64; SERVERS],
    now_ms: u64,
    crashes: u32,
}

impl Simulation {
    fn name(request: usize) -> Fingerprint {
        fingerprint(&format!("request{request}"))
    }

    /// Starts a request as a host does; the crashing request ends its server at once.
    fn start(&mut self, request: usize, server: usize) {
        self.next_id += 1;
        let id = self.next_id;
        let candidates = candidates(server);
        let name = Self::name(request);
        let run = match self.table.try_start_trial(name, id, &candidates, self.now_ms) {
            TrialDecision::Run => Run { request, server, trial: None },
            TrialDecision::Start { upstream, .. } => {
                let chosen = upstream
                    .as_ref()
                    .and_then(|upstream| (0..SERVERS).find(|n| format!("server{n}") == *upstream));
                let known_crashes = self.table.find(name).map_or(0, |record| record.crashes);
                let trial = Some(TrialRun { id, known_crashes });
                Run { request, server: chosen.unwrap_or(server), trial }
            }
            TrialDecision::Wait | TrialDecision::Refuse { .. } => return,
        };
        let server = run.server;
        self.running.push(run);
        if request == 0 {
            self.crash(server);
        }
    }

    fn crash(&mut self, server: usize) {
        self.crashes += 1;
        let end = end(server, self.starts[server]);
        self.starts[server] += 1;
        for run in self.running.extract_if(.., |run| run.server == server) {
            let name = Self::name(run.request);
            self.table.record_end(name, end.clone(), run.trial, self.now_ms);
            if let Some(TrialRun { id, .. }) = run.trial {
                self.table.end_trial(name, id);
            }
        }
    }

    fn complete(&mut self, request: usize) {
        if let Some(position) = self.running.iter().position(|run| run.request == request) {
            let run = self.running.swap_remove(position);
            self.table.record_completion(Self::name(request), self.now_ms);
            if let Some(TrialRun { id, .. }) = run.trial {
                self.table.end_trial(Self::name(request), id);
            }
        }
    }

    fn is_any_bystander_refused(&self) -> bool {
        (1..=BYSTANDERS).any(|request| self.table.is_quarantined(Self::name(request)))
    }
}

/// Runs steps in which requests start, end and are sent again in any order.
fn condemns_only_the_crashing_request(steps: Vec<(u8, u8, bool)>) -> bool {
    let mut simulation = Simulation::default();
    for (request, server, starts) in steps {
        simulation.now_ms += 50;
        let request = usize::from(request) % (BYSTANDERS + 1);
        // The crashing request is sent in one of eight steps.
        let request = if request.is_multiple_of(8) { 0 } else { request };
        if starts || request == 0 {
            simulation.start(request, usize::from(server) % SERVERS);
        } else {
            simulation.complete(request);
        }
    }
    !simulation.is_any_bystander_refused() && simulation.crashes <= MAX_CRASHES
}

/// Guards against other requests of a batch that are refused with the request that crashed it.
#[test]
fn a_batch_of_64_is_not_condemned_with_its_crashing_request() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(400, seed))
            .tests(400)
            .quickcheck(condemns_only_the_crashing_request as fn(Vec<(u8, u8, bool)>) -> bool);
    }
    let mut simulation = Simulation::default();
    for round in 0..20 {
        for request in (1..=BYSTANDERS).chain([0]) {
            simulation.start(request, (request + round) % 2);
        }
        for request in 1..=BYSTANDERS {
            simulation.complete(request);
        }
        simulation.now_ms += 1_000;
    }
    assert_eq!(simulation.crashes, MAX_CRASHES);
    assert!(!simulation.is_any_bystander_refused());
}

/// Guards against popular requests that are refused when their servers end for another reason.
#[test]
fn a_popular_request_survives_servers_that_end_together_again_and_again() {
    let mut table = QuarantineTable::default();
    let popular = fingerprint("popular");
    for round in 0..50 {
        for server in 0..SERVERS {
            table.record_end(popular, end(server, round), None, round * 1_000);
        }
        let decision = table.try_start_trial(popular, round, &candidates(0), round * 1_000 + 10);
        assert!(matches!(decision, TrialDecision::Start { .. }), "round {round}: {decision:?}");
        assert!(table.record_completion(popular, round * 1_000 + 40));
        let after = table.try_start_trial(popular, 0, &candidates(0), round * 1_000 + 41);
        assert_eq!(after, TrialDecision::Run, "round {round}");
    }
}

/// Guards against memory that grows with a flood of different crashing requests.
#[test]
fn a_flood_of_crashing_requests_is_bounded_and_evicts_suspects_first() {
    let mut table = QuarantineTable::default();
    let refused = fingerprint("refused");
    table.record_end(refused, end(0, 0), None, 0);
    for crashes in 1..MAX_CRASHES {
        crash_in_trial(&mut table, refused, end(0, crashes.into()), 0);
    }
    for n in 0..20_000 {
        table.record_end(fingerprint(&format!("flood{n}")), end(1, n), None, n);
    }
    assert_eq!(table.len(), MAX_RECORDS);
    assert!(table.is_quarantined(refused));
    assert_eq!(table.fingerprints().first(), Some(&refused));
    let newest = fingerprint("flood19999");
    assert!(table.find(newest).is_some(), "the oldest suspects are evicted");
    let older = RecordNews { age_ms: 30_000, ..news(&table, newest, 30_000) };
    let older = RecordNews { fingerprint: fingerprint("older").into(), ..older };
    assert_eq!(table.merge(older, 30_000), TableChange::Unchanged, "evicted records stay out");
}

fn news(table: &QuarantineTable, fingerprint: Fingerprint, now_ms: u64) -> RecordNews {
    table.news([fingerprint], now_ms).pop().expect("a record")
}

/// Guards against hosts that keep refusing a request which another host has cleared.
#[test]
fn hosts_agree_on_refusals_and_on_later_clearances() {
    let (mut first, mut second) = (QuarantineTable::default(), QuarantineTable::default());
    let request = fingerprint("request");
    first.record_end(request, end(0, 0), None, 1_000);
    assert_eq!(second.merge(news(&first, request, 1_000), 500_000), TableChange::Changed);
    for crashes in 1..MAX_CRASHES {
        crash_in_trial(&mut second, request, end(1, crashes.into()), 500_000);
    }
    assert_eq!(first.merge(news(&second, request, 500_000), 2_000), TableChange::Quarantined);
    assert_eq!(first.digest(), second.digest());
    assert_eq!(first.find(request).map(|record| record.ends.len()), Some(3), "all are named");
    let old = news(&first, request, 2_000);
    assert!(first.record_completion(request, 3_000));
    assert_eq!(first.merge(old, 3_000), TableChange::Outdated);
    assert_eq!(second.merge(news(&first, request, 3_000), 501_000), TableChange::Changed);
    assert!(!second.is_quarantined(request));
}

/// Guards against trials that may condemn two requests on one upstream.
#[test]
fn last_trials_of_two_requests_never_share_an_upstream() {
    let mut table = QuarantineTable::default();
    let requests = [fingerprint("first"), fingerprint("second")];
    for request in requests {
        table.record_end(request, end(0, 0), None, 0);
        crash_in_trial(&mut table, request, end(0, 1), 0);
    }
    let only = vec!["server1".to_owned()];
    let started = table.try_start_trial(requests[0], 2, &only, 0);
    assert!(matches!(started, TrialDecision::Start { upstream: Some(_), .. }), "{started:?}");
    assert_eq!(table.try_start_trial(requests[1], 3, &only, 0), TrialDecision::Wait);
    table.end_trial(requests[0], 2);
    let started = table.try_start_trial(requests[1], 3, &only, 0);
    assert!(matches!(started, TrialDecision::Start { upstream: Some(_), .. }), "{started:?}");
}

/// Guards against a crash that is not counted, or counted twice, when it is known only after the
/// trial was given up.
#[test]
fn a_crash_that_is_known_late_counts_once() {
    let mut table = QuarantineTable::default();
    let request = fingerprint("request");
    table.record_end(request, end(0, 0), None, 0);
    let (first, second) =
        (TrialRun { id: 1, known_crashes: 1 }, TrialRun { id: 2, known_crashes: 1 });
    for run in [first, second] {
        table.start_trial(request, run.id, 0);
        table.end_trial(request, run.id);
    }
    assert_eq!(table.record_end(request, end(1, 0), Some(first), 4_000), TableChange::Changed);
    assert_eq!(table.record_end(request, end(2, 0), Some(second), 4_000), TableChange::Unchanged);
    assert_eq!(table.find(request).map(|record| record.crashes), Some(2));
}

/// Records losses of one request at upstreams that live on: each end is suspected and withdrawn.
fn lost_connections_condemn_nothing(steps: Vec<(u8, bool, bool)>) -> bool {
    let mut table = QuarantineTable::default();
    let request = fingerprint("request");
    let mut now_ms = 0;
    for (server, is_trial, completes) in steps {
        now_ms += 40;
        let suspected = UpstreamEnd {
            proof: EndProof::Suspected,
            ..end(usize::from(server) % SERVERS, u64::from(server))
        };
        let known_crashes = table.possible_crashes(request, now_ms);
        let trial = is_trial.then_some(TrialRun { id: now_ms, known_crashes });
        table.record_end(request, suspected.clone(), trial, now_ms);
        if completes {
            table.record_completion(request, now_ms);
        }
        let withdrawn = UpstreamEnd { proof: EndProof::Withdrawn, ..suspected };
        table.record_end(request, withdrawn, trial, now_ms);
    }
    !table.is_quarantined(request) && table.decide(request, now_ms) == QuarantineDecision::Run
}

/// Guards against sound requests that are held back because links to their upstreams fail.
#[test]
fn lost_connections_to_living_upstreams_condemn_a_request() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 28))
        .tests(2_000)
        .quickcheck(lost_connections_condemn_nothing as fn(Vec<(u8, bool, bool)>) -> bool);
}

/// Records ends and clearances at hosts, which then exchange their records once each way.
fn hosts_agree(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut tables = [(); 3].map(|()| QuarantineTable::default());
    let request = fingerprint("request");
    for (host, server, what) in steps {
        let table = &mut tables[usize::from(host) % 3];
        let proofs = [EndProof::Suspected, EndProof::Withdrawn, EndProof::Proven];
        let proof = proofs[usize::from(what) % 3];
        let seen = UpstreamEnd { proof, ..end(usize::from(server) % SERVERS, 0) };
        let known_crashes = table.possible_crashes(request, 0);
        let trial = (what >= 128).then_some(TrialRun { id: 1, known_crashes });
        if what % 16 == 0 {
            table.record_completion(request, 0);
        } else {
            table.record_end(request, seen, trial, 0);
        }
    }
    for (from, to) in [(0, 1), (1, 2), (2, 1), (1, 0)] {
        let news = tables[from].news([request], 0);
        for record in news {
            tables[to].merge(record, 0);
        }
    }
    tables[0].digest() == tables[1].digest() && tables[1].digest() == tables[2].digest()
}

/// Guards against hosts whose records differ for good because news reached them in another order.
#[test]
fn hosts_agree_whatever_the_order_of_their_news() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 28))
        .tests(4_000)
        .quickcheck(hosts_agree as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against a sound request that is condemned because it was sent, again and again, to
/// upstreams that a crashing one had silenced before.
#[test]
fn requests_sent_to_upstreams_that_are_silent_already_are_condemned() {
    let (mut here, mut there) = (QuarantineTable::default(), QuarantineTable::default());
    let (crashing, sound) = (fingerprint("crashing"), fingerprint("sound"));
    for server in 0..SERVERS {
        let silent = UpstreamEnd {
            proof: EndProof::Suspected,
            noticed_at_ms: 1_000,
            ..end(server, server as u64)
        };
        let trial = Some(TrialRun { id: 1, known_crashes: server as u32 });
        here.record_end(crashing, silent.clone(), trial, 1_300);
        // The clock of the other host is 500 s ahead.
        there.merge(news(&here, crashing, 1_300), 501_300);
        let later = UpstreamEnd { noticed_at_ms: 501_500, ..silent.clone() };
        let run = LostRun { trial, sent_at_ms: 501_010 };
        let change = there.record_end(sound, later, run, 501_500);
        assert_eq!(change, TableChange::Unchanged, "server {server}");
        // A later run of the crashing request there takes nothing back.
        let later = UpstreamEnd { noticed_at_ms: 1_500, ..silent };
        let run = LostRun { trial, sent_at_ms: 1_010 };
        let change = here.record_end(crashing, later, run, 1_500);
        assert_eq!(change, TableChange::Unchanged, "server {server}");
    }
    assert!(here.is_held_back(crashing, 1_300));
    assert!(there.find(sound).is_none());
}
