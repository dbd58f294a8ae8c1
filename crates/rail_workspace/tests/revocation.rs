//! A host with the decision code, whose questions to the store are late, cut off early, lost and
//! held up by freezes, against the bound of revocations.

use rail_member::{Confirmations, RecordKind};
use rail_workspace::{
    Key, KeyBounds, WorkspaceEntry, WorkspaceTable, WorkspaceTerms, access::decide,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const SCHEDULES: u64 = 3000;
const REVOKE_MS: u64 = 5000;
const LONGEST_WAIT_MS: u64 = 300;
const DAY_MS: u64 = 30_000;

/// An answer of the store, with times in milliseconds: the host records it when it is received, and
/// it contains what the store had acknowledged when it was answered.
struct Answer {
    asked: u64,
    answered: u64,
    received: u64,
    wait: u64,
    /// Age that another host had of its records, if it passed them on.
    relayed_after: Option<u64>,
}

/// Times at which a process stands still.
struct Freezes(Vec<(u64, u64)>);

impl Freezes {
    /// Returns when a process does what is due at a time.
    fn thawed(&self, at_ms: u64) -> u64 {
        self.0.iter().find(|(from, to)| (*from..*to).contains(&at_ms)).map_or(at_ms, |(_, to)| *to)
    }
}

fn freezes(rng: &mut ChaCha8Rng) -> Freezes {
    let count = rng.random_range(0..3);
    Freezes((0..count).map(|_| rng.random_range(0..DAY_MS)).map(|at| (at, at + 7000)).collect())
}

fn answers(rng: &mut ChaCha8Rng, freezes: &Freezes) -> Vec<Answer> {
    let (mut answers, mut at_ms) = (Vec::new(), 0);
    while at_ms < DAY_MS {
        let asked = freezes.thawed(at_ms);
        let wait = if rng.random_bool(0.5) { LONGEST_WAIT_MS } else { 0 };
        // The store may cut a watch off before its wait is over.
        let waited = if rng.random_bool(0.3) { rng.random_range(0..=wait) } else { wait };
        let answered = asked + rng.random_range(0..60) + waited;
        let relayed_after = rng.random_bool(0.3).then(|| rng.random_range(0..2000));
        let delay_ms = rng.random_range(0..60) + relayed_after.unwrap_or(0);
        let received = freezes.thawed(answered + delay_ms);
        if rng.random_bool(0.7) {
            let answer = Answer { asked, answered, received, wait, relayed_after };
            answers.push(answer);
        }
        let pause_ms = if rng.random_bool(0.1) { 8000 } else { rng.random_range(100..1200) };
        at_ms = received + pause_ms;
    }
    answers
}

fn confirm(confirmations: &mut Confirmations, answer: &Answer, has_changes: bool) {
    let ms = Duration::from_millis;
    let (asked_at, wait) = (ms(answer.asked), ms(answer.wait));
    let Some(relayed_after) = answer.relayed_after else {
        let now = ms(answer.received);
        confirmations.record_watch(RecordKind::Config, asked_at, now, wait, has_changes);
        return;
    };
    let mut other = Confirmations::default();
    let answered_at = ms(answer.answered);
    other.record_watch(RecordKind::Config, asked_at, answered_at, wait, has_changes);
    let told_at = answered_at + ms(relayed_after);
    confirmations.record_ages(&other.ages(told_at), told_at);
}

/// Guards against a revoked key that runs at a host which was frozen, cut off or told late.
#[test]
fn no_request_sent_after_the_bound_runs_with_a_revoked_key() {
    let ms = Duration::from_millis;
    let terms = Ok(WorkspaceTerms { priority: None, quota: None });
    let table = |keys| {
        let entry = WorkspaceEntry { name: "a", keys, terms: terms.clone() };
        WorkspaceTable::new([1; 32], vec![entry])
    };
    let (before, after) = (table(vec![Key::new("k")]), table(Vec::new()));
    let bounds = KeyBounds::new(ms(3000), Some(ms(REVOKE_MS)), ms(LONGEST_WAIT_MS));
    let (mut runs, mut runs_after_revocation, mut refusals) = (0, 0, 0);
    for seed in 0..SCHEDULES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let freezes = freezes(&mut rng);
        let revoked_ms = rng.random_range(0..DAY_MS);
        let answers = answers(&mut rng, &freezes);
        let mut request = || {
            let sent_ms = rng.random_range(0..DAY_MS);
            (freezes.thawed(sent_ms + rng.random_range(0..50)), sent_ms)
        };
        let mut requests: Vec<(u64, u64)> = (0..200).map(|_| request()).collect();
        requests.sort_unstable();
        let mut confirmations = Confirmations::default();
        let (mut next, mut is_revoked_here) = (0, false);
        for (decided_ms, sent_ms) in requests {
            while let Some(answer) = answers.get(next).filter(|it| it.received <= decided_ms) {
                let has_changes = !is_revoked_here && answer.answered >= revoked_ms;
                is_revoked_here |= has_changes;
                confirm(&mut confirmations, answer, has_changes);
                next += 1;
            }
            let table = if is_revoked_here { &after } else { &before };
            let age = confirmations.ages(ms(decided_ms)).of(RecordKind::Config);
            if decide(table, Key::new("k"), age, &bounds).is_err() {
                refusals += 1;
                continue;
            }
            assert!(
                sent_ms <= revoked_ms + REVOKE_MS,
                "seed {seed}: sent at {sent_ms}, revoked at {revoked_ms}, decided at {decided_ms}"
            );
            runs += 1;
            runs_after_revocation += u64::from(sent_ms > revoked_ms);
        }
    }
    assert!(runs > 0 && refusals > 0 && runs_after_revocation > 0, "the schedules show something");
}
