//! Claims against a platform that loses, delays and repeats.

use quickcheck::{Gen, QuickCheck, TestResult};
use rail_request::{
    Claim, ClaimCommand, ClaimEvent, ClaimEventKind, ClaimHolder, ClaimRecord, ClaimReply,
    ClaimState, Fingerprint, HolderLiveness, RequestFailure, StoredOutcome, claim_chart,
};
use std::time::Duration;

fn record(nonce: u64) -> ClaimRecord {
    ClaimRecord {
        key: "service/feed/k1".to_owned(),
        fingerprint: Fingerprint::of([b"post".as_slice()]),
        nonce,
        holder: ClaimHolder { host: format!("host{nonce}"), incarnation: 1 },
        created_at_ms: 1_000,
        deadline_ms: 30_000,
        outcome: None,
    }
}

fn generator(seed: u64) -> Gen {
    Gen::from_size_and_seed(200, seed)
}

/// The stored claim, with writes that are still on their way.
#[derive(Debug, Default)]
struct Store {
    object: Option<(ClaimRecord, u64)>,
    version: u64,
    delayed: Vec<ClaimCommand>,
}

impl Store {
    fn write(&mut self, command: &ClaimCommand) -> ClaimEvent {
        let current = self.object.as_ref().map(|(_, version)| version.to_string());
        let next = match (command, current) {
            (ClaimCommand::Create(record), None) => Some(record.clone()),
            (ClaimCommand::Store { record, version }, Some(v)) if *version == v => {
                Some(record.clone())
            }
            (ClaimCommand::Release { version }, Some(v)) if *version == v => None,
            (_, Some(_)) => return ClaimEvent::Taken,
            (_, None) => return ClaimEvent::Missing,
        };
        self.version += 1;
        self.object = next.map(|record| (record, self.version));
        ClaimEvent::Written(self.version.to_string())
    }

    fn read(&self) -> ClaimEvent {
        match &self.object {
            None => ClaimEvent::Missing,
            Some((record, version)) => ClaimEvent::Found {
                record: record.clone(),
                version: version.to_string(),
                holder: HolderLiveness::Live,
            },
        }
    }

    /// Carries a call out as the fault says.
    fn call(&mut self, command: &ClaimCommand, fault: u8) -> ClaimEvent {
        let is_read = *command == ClaimCommand::Read;
        match fault % 6 {
            0 => ClaimEvent::Refused,
            1 if !is_read => {
                self.write(command);
                ClaimEvent::Lost
            }
            2 if !is_read => {
                self.delayed.push(command.clone());
                ClaimEvent::Lost
            }
            1 | 2 => ClaimEvent::Lost,
            _ if is_read => self.read(),
            _ => self.write(command),
        }
    }
}

/// One arrival: its machine, the command at hand and how often it ran.
struct Arrival {
    claim: Claim,
    command: ClaimCommand,
    runs: u32,
    kept_not_run: u32,
}

/// Steps arrivals in any order; none of them runs after another has run.
fn at_most_once(steps: Vec<(u8, u8)>) -> TestResult {
    let mut store = Store::default();
    let mut arrivals: Vec<Arrival> = (0..4)
        .map(|nonce| {
            let mut claim = Claim::new(record(nonce));
            let command = claim.handle(ClaimEvent::Begin).expect("begin is defined");
            Arrival { claim, command, runs: 0, kept_not_run: 0 }
        })
        .collect();
    for (who, fault) in steps {
        if who % 7 == 6 && !store.delayed.is_empty() {
            let late = store.delayed.remove(usize::from(fault) % store.delayed.len());
            store.write(&late);
            continue;
        }
        let arrival = &mut arrivals[usize::from(who % 4)];
        let event = match &arrival.command {
            ClaimCommand::Run if fault % 3 == 0 => {
                arrival.kept_not_run += 1;
                ClaimEvent::NotRun
            }
            ClaimCommand::Run => {
                arrival.runs += 1;
                ClaimEvent::Ended(StoredOutcome::Failed(RequestFailure::UnknownOutcome))
            }
            ClaimCommand::Reply(_) | ClaimCommand::Deny { .. } | ClaimCommand::Close => continue,
            call => store.call(call, fault),
        };
        match arrival.claim.handle(event) {
            Ok(command) => arrival.command = command,
            Err(error) => return TestResult::error(error.to_string()),
        }
    }
    let runs: u32 = arrivals.iter().map(|a| a.runs).sum();
    TestResult::from_bool(runs <= 1)
}

#[test]
fn four_arrivals_run_once_over_a_faulty_platform() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(generator(seed))
            .tests(2_000)
            .quickcheck(at_most_once as fn(Vec<(u8, u8)>) -> TestResult);
    }
}

fn any_event(pick: u8) -> ClaimEvent {
    let found = |record, version: &str| ClaimEvent::Found {
        record,
        version: version.to_owned(),
        holder: HolderLiveness::Live,
    };
    let stored = ClaimRecord { outcome: Some(StoredOutcome::NotKept), ..record(1) };
    match pick % 12 {
        0 => ClaimEvent::Begin,
        1 => ClaimEvent::Written("1".to_owned()),
        2 => ClaimEvent::Taken,
        3 => ClaimEvent::Lost,
        4 => ClaimEvent::Refused,
        5 => found(record(1), "2"),
        6 => found(stored, "3"),
        7 => found(record(2), "4"),
        8 => ClaimEvent::Missing,
        9 => ClaimEvent::Ended(StoredOutcome::NotKept),
        10 => ClaimEvent::NotRun,
        _ => ClaimEvent::GiveUp,
    }
}

/// Events in any order, late and twice: one run at most, and none after an end without one.
fn one_run_for_any_events(picks: Vec<u8>) -> bool {
    let mut claim = Claim::new(record(1));
    let mut runs = 0;
    let mut ended = false;
    for pick in picks {
        match claim.handle(any_event(pick)) {
            Ok(ClaimCommand::Run) if ended => return false,
            Ok(ClaimCommand::Run) => runs += 1,
            Ok(ClaimCommand::Reply(_) | ClaimCommand::Deny { .. } | ClaimCommand::Close) => {
                ended = true;
            }
            Ok(_) | Err(_) => {}
        }
    }
    runs <= 1
}

#[test]
fn any_events_in_any_order_run_once() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(generator(seed))
            .tests(5_000)
            .quickcheck(one_run_for_any_events as fn(Vec<u8>) -> bool);
    }
}

#[test]
fn every_state_meets_every_event() {
    use ClaimEventKind as E;
    use ClaimState as S;
    let states = [
        S::Start,
        S::Creating,
        S::Reading,
        S::Running,
        S::Storing,
        S::Checking,
        S::Releasing,
        S::Replied,
        S::Denied,
        S::Closed,
    ];
    let events = [
        E::Begin,
        E::Written,
        E::Taken,
        E::Lost,
        E::Refused,
        E::FoundOwn,
        E::FoundStored,
        E::FoundOther,
        E::Missing,
        E::Ended,
        E::NotRun,
        E::GiveUp,
    ];
    let mut defined = 0;
    for state in states {
        for event in events {
            if let Ok(next) = claim_chart().step(state, event) {
                defined += 1;
                assert!(next != S::Running || [S::Creating, S::Reading].contains(&state));
            }
        }
    }
    assert_eq!(defined, claim_chart().transitions().count());
}

#[test]
fn a_second_arrival_gets_what_is_known() {
    let first = record(1);
    let at = |ms| ClaimRecord { created_at_ms: ms, ..record(2) };
    let progress = |ms| ClaimReply::InProgress { retry_after: Duration::from_millis(ms) };
    assert_eq!(first.reply_to(&at(2_000), HolderLiveness::Live), progress(1_000));
    assert_eq!(first.reply_to(&at(15_500), HolderLiveness::Unknown), progress(500));
    assert_eq!(first.reply_to(&at(16_000), HolderLiveness::Unknown), ClaimReply::Unknown);
    assert_eq!(first.reply_to(&at(33_000), HolderLiveness::Live), ClaimReply::Unknown);
    assert_eq!(first.reply_to(&at(1_000), HolderLiveness::Gone), ClaimReply::Unknown);
    let other = ClaimRecord { fingerprint: Fingerprint::of([b"x".as_slice()]), ..at(2_000) };
    assert_eq!(first.reply_to(&other, HolderLiveness::Live), ClaimReply::KeyReused);
}
