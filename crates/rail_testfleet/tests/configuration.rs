//! Configuration changes spread in spite of faults, tested with real processes.

use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::json;
use std::{
    process::Output,
    time::{Duration, Instant},
};

/// Time within which every host must apply an accepted generation.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Age of the last confirmation at which a host refuses new requests.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(10);
/// Exit code of `tarragonctl` when the expected generation is not the latest.
const EXIT_CONFLICT: i32 = 5;
/// Exit code of `tarragonctl` when the platform is unavailable.
const EXIT_UNAVAILABLE: i32 = 6;

fn plan() -> FleetPlan {
    FleetPlan { engines: 1, ..FleetPlan::default() }
}

/// Returns the generation that `tarragonctl` prints for an accepted change.
fn accepted_generation(output: &Output) -> u64 {
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    let number = text.trim().strip_prefix("generation ").and_then(|n| n.parse().ok());
    number.unwrap_or_else(|| panic!("change was not accepted: {text} {error}"))
}

/// Registers an adapter through a host and returns the generation that contains it.
fn register_adapter(fleet: &TestFleet, host: u8, adapter: &str) -> u64 {
    accepted_generation(&fleet.ctl(host, &["adapter", "--base", "llama", adapter, "v1"]))
}

/// Returns the reason of the problem with which a host answers a request; `None` when it answers
/// with a completion.
async fn problem_reason(fleet: &TestFleet, host: u8) -> Option<String> {
    match CompletionRequest::new("llama:a0@v1", 1).send(&fleet.caller_url(host)).await {
        CallerOutcome::Problem { reason, .. } => Some(reason),
        _ => None,
    }
}

#[actix_rt::test]
async fn changes_are_in_force_everywhere_in_time_and_generations_only_grow() {
    let fleet = TestFleet::start(plan());
    let mut last = register_adapter(&fleet, 1, "before");
    for number in 0..10 {
        let generation = register_adapter(&fleet, number % 3 + 1, &format!("n{number}"));
        assert_eq!(generation, last + 1);
        last = generation;
        fleet.wait_for_generation(1..=3, generation, APPLY_TIMEOUT).await;
    }
}

#[actix_rt::test]
async fn lost_replies_at_acceptance_are_settled() {
    let fleet = TestFleet::start(plan());
    let first = register_adapter(&fleet, 1, "before");
    // Registering an adapter writes its segment, then the head. Replies to these writes are lost: to
    // each once, then to both.
    for (number, lost_replies) in [1, 2, 3].into_iter().enumerate() {
        fleet.set_faults("platform", json!({"lose_write_replies": lost_replies})).await;
        let generation = register_adapter(&fleet, 1, &format!("lost{number}"));
        assert_eq!(generation, first + 1 + number as u64, "change was not accepted exactly once");
        fleet.wait_for_generation(1..=3, generation, APPLY_TIMEOUT).await;
    }
}

#[actix_rt::test]
async fn of_racing_operators_one_wins_and_the_other_gets_a_conflict() {
    let fleet = TestFleet::start(plan());
    let mut latest = register_adapter(&fleet, 1, "before");
    for round in 0..6 {
        // From round 3 on, the reply to one write is lost as well.
        let lost_replies = u32::from(round >= 3);
        fleet
            .set_faults("platform", json!({"lose_write_replies": lost_replies, "delay_ms": 20}))
            .await;
        let expect = latest.to_string();
        let outputs: Vec<Output> = std::thread::scope(|scope| {
            let operators = [1, 2, 3].map(|host| {
                let (fleet, expect) = (&fleet, &expect);
                scope.spawn(move || {
                    let name = format!("r{round}h{host}");
                    let args = ["adapter", "--base", "llama", &name, "v1", "--expect", expect];
                    fleet.ctl(host, &args)
                })
            });
            operators.into_iter().map(|operator| operator.join().expect("ran")).collect()
        });
        let (accepted, rejected): (Vec<_>, Vec<_>) =
            outputs.iter().partition(|o| o.status.success());
        assert_eq!(accepted.len(), 1, "round {round}: {outputs:?}");
        for output in rejected {
            assert_eq!(output.status.code(), Some(EXIT_CONFLICT), "{output:?}");
            let error = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(error.contains(&format!("generation {} stands", latest + 1)), "{error}");
        }
        latest += 1;
        assert_eq!(accepted_generation(accepted[0]), latest);
        fleet.wait_for_generation(1..=3, latest, APPLY_TIMEOUT).await;
    }
}

#[actix_rt::test]
async fn nothing_is_accepted_while_the_platform_is_down() {
    let fleet = TestFleet::start(plan());
    let before = register_adapter(&fleet, 1, "before");
    fleet.set_faults("platform", json!({"down": true})).await;
    let output = fleet.ctl(1, &["adapter", "--base", "llama", "during", "v1"]);
    assert_eq!(output.status.code(), Some(EXIT_UNAVAILABLE), "{output:?}");
    fleet.set_faults("platform", json!({})).await;
    let after = register_adapter(&fleet, 2, "after");
    assert_eq!(after, before + 1);
    fleet.wait_for_generation(1..=3, after, APPLY_TIMEOUT).await;
}

#[actix_rt::test]
async fn a_slow_platform_delays_no_change_beyond_the_limit() {
    let fleet = TestFleet::start(plan());
    fleet.set_faults("platform", json!({"delay_ms": 400})).await;
    for number in 0..3 {
        let generation = register_adapter(&fleet, 1, &format!("slow{number}"));
        fleet.wait_for_generation(1..=3, generation, APPLY_TIMEOUT).await;
    }
}

#[actix_rt::test]
async fn a_host_cut_from_the_platform_learns_changes_from_peers_and_keeps_serving() {
    let fleet = TestFleet::start(plan());
    fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(3).to_string()]})).await;
    let started = Instant::now();
    while started.elapsed() < MAX_CONFIRMATION_AGE + APPLY_TIMEOUT {
        let number = started.elapsed().as_secs();
        let generation = register_adapter(&fleet, 1, &format!("cut{number}"));
        fleet.wait_for_generation(1..=3, generation, APPLY_TIMEOUT).await;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
    }
    assert_ne!(problem_reason(&fleet, 3).await.as_deref(), Some("stale_configuration"));
    let refused = fleet.ctl(3, &["adapter", "--base", "llama", "refused", "v1"]);
    assert_eq!(refused.status.code(), Some(EXIT_UNAVAILABLE), "{refused:?}");
}

#[actix_rt::test]
async fn a_host_restarted_in_an_outage_learns_the_last_generation_from_peers() {
    let mut fleet = TestFleet::start(plan());
    let last = register_adapter(&fleet, 1, "last");
    fleet.wait_for_generation(1..=3, last, APPLY_TIMEOUT).await;
    fleet.set_faults("platform", json!({"down": true})).await;
    for role in ["gateway", "scheduler", "admin"] {
        fleet.kill(&format!("host1/{role}"));
    }
    fleet.start_host(1);
    fleet.wait_for_gateway(1).await;
    fleet.wait_for_generation(1..=1, last, APPLY_TIMEOUT).await;
    actix_rt::time::sleep(MAX_CONFIRMATION_AGE + Duration::from_secs(3)).await;
    for host in 1..=3 {
        assert_ne!(
            problem_reason(&fleet, host).await.as_deref(),
            Some("stale_configuration"),
            "{host}"
        );
    }
    // When the platform is back, the host must continue from the stored head instead of starting a
    // new sequence of generations.
    fleet.set_faults("platform", json!({})).await;
    let next = register_adapter(&fleet, 1, "next");
    assert_eq!(next, last + 1);
    fleet.wait_for_generation(1..=3, next, APPLY_TIMEOUT).await;
}

#[actix_rt::test]
async fn a_change_spreads_by_peers_when_the_platform_fails_after_acceptance() {
    let fleet = TestFleet::start(plan());
    for (number, fault) in [json!({"down": true}), json!({"delay_ms": 3000})].iter().enumerate() {
        // host3 is cut off, so it has not read the change when the platform fails.
        fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(3).to_string()]})).await;
        let generation = register_adapter(&fleet, 1, &format!("spread{number}"));
        fleet.set_faults("platform", fault.clone()).await;
        fleet.wait_for_generation(1..=3, generation, APPLY_TIMEOUT).await;
        fleet.set_faults("platform", json!({})).await;
        actix_rt::time::sleep(Duration::from_secs(4)).await;
    }
}

// The admin process dies between its writes. A second operator then repeats the change with the
// generation that was latest before: either this succeeds, because nothing was accepted, or it
// conflicts, because the change is complete.
#[actix_rt::test]
async fn an_admin_killed_at_acceptance_leaves_the_change_whole_or_undone() {
    let mut fleet = TestFleet::start(plan());
    let mut latest = register_adapter(&fleet, 1, "before");
    for (round, kill_after_ms) in [50, 250, 450, 650].into_iter().enumerate() {
        fleet.set_faults("platform", json!({"write_delay_ms": 200})).await;
        let name = format!("k{round}");
        let admin = fleet.remove_process("host1/admin");
        let output = std::thread::scope(|scope| {
            let fleet = &fleet;
            let name = &name;
            let operator =
                scope.spawn(move || fleet.ctl(1, &["adapter", "--base", "llama", name, "v1"]));
            std::thread::sleep(Duration::from_millis(kill_after_ms));
            drop(admin);
            operator.join().expect("ran")
        });
        fleet.set_faults("platform", json!({})).await;
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        let expect = latest.to_string();
        let args = ["adapter", "--base", "llama", &name, "v1", "--expect", &expect];
        let retry = fleet.ctl(2, &args);
        if output.status.success() || !retry.status.success() {
            assert_eq!(retry.status.code(), Some(EXIT_CONFLICT), "{retry:?}");
        }
        latest += 1;
        fleet.wait_for_generation(1..=3, latest, APPLY_TIMEOUT).await;
        let list = fleet.ctl(2, &["list"]);
        let text = String::from_utf8_lossy(&list.stdout).into_owned();
        assert!(text.contains(&format!("generation {latest}\n")), "{text}");
        assert!(text.contains(&format!("adapter llama:{name} v1")), "{text}");
        fleet.start_process("host1/admin");
        let started = Instant::now();
        while !fleet.ctl(1, &["list"]).status.success() {
            assert!(started.elapsed() < APPLY_TIMEOUT, "restarted admin process is not ready");
        }
    }
}

#[actix_rt::test]
async fn a_stale_peer_reverts_nothing() {
    let mut fleet = TestFleet::start(plan());
    let old_generation = register_adapter(&fleet, 1, "old");
    fleet.wait_for_generation(1..=3, old_generation, APPLY_TIMEOUT).await;
    fleet.process("host3/scheduler").freeze();
    let new_generation = register_adapter(&fleet, 1, "new");
    fleet.wait_for_generation(1..=2, new_generation, APPLY_TIMEOUT).await;
    // With the platform down, the stale host3 can't read the new generation, and the gateway of
    // host1 can learn its configuration only from peers, one of which is stale.
    fleet.set_faults("platform", json!({"down": true})).await;
    fleet.kill("host1/gateway");
    fleet.process("host3/scheduler").thaw();
    fleet.start_process("host1/gateway");
    fleet.wait_for_gateway(1).await;
    fleet.wait_for_generation(1..=3, new_generation, APPLY_TIMEOUT).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        let applied = fleet.applied_generations(1..=3).await;
        assert!(
            applied.iter().all(|generation| *generation == Some(new_generation)),
            "{applied:?}"
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

#[actix_rt::test]
async fn a_host_that_confirms_nothing_refuses_new_work() {
    let mut fleet = TestFleet::start(plan());
    fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(1).to_string()]})).await;
    for host in [2, 3] {
        fleet.process(&format!("host{host}/scheduler")).freeze();
    }
    actix_rt::time::sleep(MAX_CONFIRMATION_AGE + Duration::from_secs(3)).await;
    let refusal = CompletionRequest::new("llama:a0@v1", 1).send(&fleet.caller_url(1)).await;
    let expected =
        CallerOutcome::Problem { reason: "stale_configuration".to_owned(), ran: "no".to_owned() };
    assert_eq!(refusal, expected);
    for host in [2, 3] {
        fleet.process(&format!("host{host}/scheduler")).thaw();
    }
    fleet.set_faults("platform", json!({})).await;
    let started = Instant::now();
    while problem_reason(&fleet, 1).await.as_deref() == Some("stale_configuration") {
        assert!(
            started.elapsed() < APPLY_TIMEOUT,
            "host still refuses requests after the fault ended"
        );
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}
