//! Tests of the claim state machine against a platform that refuses calls, loses replies and
//! delays writes.

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

/// Model of the platform object of one claim.
#[derive(Debug, Default)]
struct PlatformModel {
    object: Option<(ClaimRecord, u64)>,
    version: u64,
    /// Writes whose reply was lost and that may take effect at any later time.
    delayed: Vec<ClaimCommand>,
}

impl PlatformModel {
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

    /// Executes a call with the fault that this number selects: refusal, lost reply, delayed write
    /// or none.
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

/// One call with the key: its state machine, its next command and how often it ran the request.
struct Call {
    claim: Claim,
    command: ClaimCommand,
    runs: u32,
    refusals: u32,
}

/// Advances four calls in a random order and checks that at most one of them runs the request.
fn four_calls_run_at_most_once(steps: Vec<(u8, u8)>) -> TestResult {
    let mut platform = PlatformModel::default();
    let mut calls: Vec<Call> = (0..4)
        .map(|nonce| {
            let mut claim = Claim::new(record(nonce));
            let command = claim.handle(ClaimEvent::Begin).expect("begin is defined");
            Call { claim, command, runs: 0, refusals: 0 }
        })
        .collect();
    for (selector, fault) in steps {
        if selector % 7 == 6 && !platform.delayed.is_empty() {
            let delayed = platform.delayed.remove(usize::from(fault) % platform.delayed.len());
            platform.write(&delayed);
            continue;
        }
        let call = &mut calls[usize::from(selector % 4)];
        let event = match &call.command {
            ClaimCommand::Run if fault % 3 == 0 => {
                call.refusals += 1;
                ClaimEvent::NotRun
            }
            ClaimCommand::Run => {
                call.runs += 1;
                ClaimEvent::Ended(StoredOutcome::Failed(RequestFailure::UnknownOutcome))
            }
            ClaimCommand::Reply(_) | ClaimCommand::Deny { .. } | ClaimCommand::Close => continue,
            command => platform.call(command, fault),
        };
        match call.claim.handle(event) {
            Ok(command) => call.command = command,
            Err(error) => return TestResult::error(error.to_string()),
        }
    }
    let runs: u32 = calls.iter().map(|call| call.runs).sum();
    TestResult::from_bool(runs <= 1)
}

// A call whose create has no reply can't know whether it made the claim, and the create may still
// take effect after another call's. Two such calls must not both run the request.
#[test]
fn at_most_one_of_four_calls_runs_on_a_faulty_platform() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(generator(seed))
            .tests(2_000)
            .quickcheck(four_calls_run_at_most_once as fn(Vec<(u8, u8)>) -> TestResult);
    }
}

fn event_from(selector: u8) -> ClaimEvent {
    let found = |record, version: &str| ClaimEvent::Found {
        record,
        version: version.to_owned(),
        holder: HolderLiveness::Live,
    };
    let stored = ClaimRecord { outcome: Some(StoredOutcome::NotKept), ..record(1) };
    match selector % 12 {
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

/// Handles late, repeated and reordered events in one call and checks that the request runs at most
/// once, and not after the call has ended.
fn one_call_runs_at_most_once(selectors: Vec<u8>) -> bool {
    let mut claim = Claim::new(record(1));
    let mut runs = 0;
    let mut ended = false;
    for selector in selectors {
        match claim.handle(event_from(selector)) {
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
fn events_in_any_order_run_the_request_at_most_once() {
    for seed in 0..8 {
        QuickCheck::new()
            .rng(generator(seed))
            .tests(5_000)
            .quickcheck(one_call_runs_at_most_once as fn(Vec<u8>) -> bool);
    }
}

// A transition from any other state would run the request without a claim, or twice.
#[test]
fn only_creating_and_reading_lead_to_running() {
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
fn reply_to_another_call_depends_on_age_and_holder() {
    let first = record(1);
    let other_at = |ms| ClaimRecord { created_at_ms: ms, ..record(2) };
    let in_progress = |ms| ClaimReply::InProgress { retry_after: Duration::from_millis(ms) };
    assert_eq!(first.reply_to(&other_at(2_000), HolderLiveness::Live), in_progress(1_000));
    assert_eq!(first.reply_to(&other_at(15_500), HolderLiveness::Unknown), in_progress(500));
    assert_eq!(first.reply_to(&other_at(16_000), HolderLiveness::Unknown), ClaimReply::Unknown);
    assert_eq!(first.reply_to(&other_at(33_000), HolderLiveness::Live), ClaimReply::Unknown);
    assert_eq!(first.reply_to(&other_at(1_000), HolderLiveness::Gone), ClaimReply::Unknown);
    let other = ClaimRecord { fingerprint: Fingerprint::of([b"x".as_slice()]), ..other_at(2_000) };
    assert_eq!(first.reply_to(&other, HolderLiveness::Live), ClaimReply::KeyReused);
}
