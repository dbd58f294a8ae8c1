//! Configuration through faults, with real processes.

use rail_testfleet::{CallerOutcome, CompletionRequest, FleetPlan, TestFleet};
use serde_json::json;
use std::{
    process::Output,
    time::{Duration, Instant},
};

/// Time in which an accepted generation is in force on every host.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time after which a host that confirms nothing refuses new work.
const FRESH_LIMIT: Duration = Duration::from_secs(10);
/// Exit codes of the operator's tool.
const EXIT_CONFLICT: i32 = 5;
const EXIT_UNAVAILABLE: i32 = 6;

fn plan() -> FleetPlan {
    FleetPlan { engines: 1, ..FleetPlan::default() }
}

/// Reads the generation that a change reports.
fn generation_of(output: &Output) -> u64 {
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    let number = text.trim().strip_prefix("generation ").and_then(|n| n.parse().ok());
    number.unwrap_or_else(|| panic!("change is accepted: {text} {error}"))
}

fn change(fleet: &TestFleet, host: u8, adapter: &str) -> u64 {
    generation_of(&fleet.ctl(host, &["adapter", "--base", "llama", adapter, "v1"]))
}

async fn reason_of(fleet: &TestFleet, host: u8) -> Option<String> {
    match CompletionRequest::new("llama:a0@v1", 1).send(&fleet.caller_url(host)).await {
        CallerOutcome::Problem { reason, .. } => Some(reason),
        _ => None,
    }
}

#[actix_rt::test]
async fn changes_are_in_force_everywhere_in_time_and_generations_only_grow() {
    let fleet = TestFleet::start(plan());
    let mut last = change(&fleet, 1, "before");
    for number in 0..10 {
        let generation = change(&fleet, number % 3 + 1, &format!("n{number}"));
        assert_eq!(generation, last + 1);
        last = generation;
        fleet.wait_for_generation(1..=3, generation, IN_FORCE_LIMIT).await;
    }
}

#[actix_rt::test]
async fn lost_replies_at_acceptance_are_settled() {
    let fleet = TestFleet::start(plan());
    let first = change(&fleet, 1, "before");
    // One adapter writes its segment, then the head: each is lost once, then both.
    for (number, lost) in [1, 2, 3].into_iter().enumerate() {
        fleet.set_faults("platform", json!({"lose_write_replies": lost})).await;
        let generation = change(&fleet, 1, &format!("lost{number}"));
        assert_eq!(generation, first + 1 + number as u64, "accepted once");
        fleet.wait_for_generation(1..=3, generation, IN_FORCE_LIMIT).await;
    }
}

#[actix_rt::test]
async fn of_racing_operators_one_wins_and_the_other_gets_a_conflict() {
    let fleet = TestFleet::start(plan());
    let mut seen = change(&fleet, 1, "before");
    for round in 0..6 {
        // In the later rounds the reply of a write is lost as well.
        let lost = u32::from(round >= 3);
        fleet.set_faults("platform", json!({"lose_write_replies": lost, "delay_ms": 20})).await;
        let expect = seen.to_string();
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
        let (won, lost): (Vec<_>, Vec<_>) = outputs.iter().partition(|o| o.status.success());
        assert_eq!(won.len(), 1, "round {round}: {outputs:?}");
        for output in lost {
            assert_eq!(output.status.code(), Some(EXIT_CONFLICT), "{output:?}");
            let error = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(error.contains(&format!("generation {} stands", seen + 1)), "{error}");
        }
        seen += 1;
        assert_eq!(generation_of(won[0]), seen);
        fleet.wait_for_generation(1..=3, seen, IN_FORCE_LIMIT).await;
    }
}

#[actix_rt::test]
async fn nothing_is_accepted_while_the_platform_is_down() {
    let fleet = TestFleet::start(plan());
    let before = change(&fleet, 1, "before");
    fleet.set_faults("platform", json!({"down": true})).await;
    let output = fleet.ctl(1, &["adapter", "--base", "llama", "during", "v1"]);
    assert_eq!(output.status.code(), Some(EXIT_UNAVAILABLE), "{output:?}");
    fleet.set_faults("platform", json!({})).await;
    let after = change(&fleet, 2, "after");
    assert_eq!(after, before + 1);
    fleet.wait_for_generation(1..=3, after, IN_FORCE_LIMIT).await;
}

#[actix_rt::test]
async fn a_slow_platform_delays_no_change_beyond_the_limit() {
    let fleet = TestFleet::start(plan());
    fleet.set_faults("platform", json!({"delay_ms": 400})).await;
    for number in 0..3 {
        let generation = change(&fleet, 1, &format!("slow{number}"));
        fleet.wait_for_generation(1..=3, generation, IN_FORCE_LIMIT).await;
    }
}

#[actix_rt::test]
async fn a_host_cut_from_the_platform_learns_changes_from_peers_and_goes_on() {
    let fleet = TestFleet::start(plan());
    fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(3).to_string()]})).await;
    let started = Instant::now();
    while started.elapsed() < FRESH_LIMIT + IN_FORCE_LIMIT {
        let number = started.elapsed().as_secs();
        let generation = change(&fleet, 1, &format!("cut{number}"));
        fleet.wait_for_generation(1..=3, generation, IN_FORCE_LIMIT).await;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
    }
    assert_ne!(reason_of(&fleet, 3).await.as_deref(), Some("stale_configuration"));
    let refused = fleet.ctl(3, &["adapter", "--base", "llama", "refused", "v1"]);
    assert_eq!(refused.status.code(), Some(EXIT_UNAVAILABLE), "{refused:?}");
}

#[actix_rt::test]
async fn a_host_restarted_in_an_outage_learns_the_last_generation_from_peers() {
    let mut fleet = TestFleet::start(plan());
    let last = change(&fleet, 1, "last");
    fleet.wait_for_generation(1..=3, last, IN_FORCE_LIMIT).await;
    fleet.set_faults("platform", json!({"down": true})).await;
    for role in ["gateway", "scheduler", "admin"] {
        fleet.kill(&format!("host1/{role}"));
    }
    fleet.start_host(1);
    fleet.wait_for_gateway(1).await;
    fleet.wait_for_generation(1..=1, last, IN_FORCE_LIMIT).await;
    actix_rt::time::sleep(FRESH_LIMIT + Duration::from_secs(3)).await;
    for host in 1..=3 {
        assert_ne!(reason_of(&fleet, host).await.as_deref(), Some("stale_configuration"), "{host}");
    }
    // The head must not be taken for a new start when the platform is back.
    fleet.set_faults("platform", json!({})).await;
    let next = change(&fleet, 1, "next");
    assert_eq!(next, last + 1);
    fleet.wait_for_generation(1..=3, next, IN_FORCE_LIMIT).await;
}

#[actix_rt::test]
async fn a_change_spreads_by_peers_when_the_platform_fails_after_acceptance() {
    let fleet = TestFleet::start(plan());
    for (number, fault) in [json!({"down": true}), json!({"delay_ms": 3000})].iter().enumerate() {
        // One host has not read the change yet when the platform fails.
        fleet.set_faults("platform", json!({"cut_from": [fleet.host_ip(3).to_string()]})).await;
        let generation = change(&fleet, 1, &format!("spread{number}"));
        fleet.set_faults("platform", fault.clone()).await;
        fleet.wait_for_generation(1..=3, generation, IN_FORCE_LIMIT).await;
        fleet.set_faults("platform", json!({})).await;
        actix_rt::time::sleep(Duration::from_secs(4)).await;
    }
}

#[actix_rt::test]
async fn an_admin_killed_at_acceptance_leaves_the_change_whole_or_undone() {
    let mut fleet = TestFleet::start(plan());
    let mut seen = change(&fleet, 1, "before");
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
        let expect = seen.to_string();
        let args = ["adapter", "--base", "llama", &name, "v1", "--expect", &expect];
        let again = fleet.ctl(2, &args);
        if output.status.success() || !again.status.success() {
            assert_eq!(again.status.code(), Some(EXIT_CONFLICT), "{again:?}");
        }
        seen += 1;
        fleet.wait_for_generation(1..=3, seen, IN_FORCE_LIMIT).await;
        let list = fleet.ctl(2, &["list"]);
        let text = String::from_utf8_lossy(&list.stdout).into_owned();
        assert!(text.contains(&format!("generation {seen}\n")), "{text}");
        assert!(text.contains(&format!("adapter llama:{name} v1")), "{text}");
        fleet.start_process("host1/admin");
        let started = Instant::now();
        while !fleet.ctl(1, &["list"]).status.success() {
            assert!(started.elapsed() < IN_FORCE_LIMIT, "admin is up again");
        }
    }
}

#[actix_rt::test]
async fn a_stale_peer_reverts_nothing() {
    let mut fleet = TestFleet::start(plan());
    let old = change(&fleet, 1, "old");
    fleet.wait_for_generation(1..=3, old, IN_FORCE_LIMIT).await;
    fleet.process("host3/scheduler").freeze();
    let new = change(&fleet, 1, "new");
    fleet.wait_for_generation(1..=2, new, IN_FORCE_LIMIT).await;
    // The stale peer can't catch up from the platform, and host1 starts beside it.
    fleet.set_faults("platform", json!({"down": true})).await;
    fleet.kill("host1/gateway");
    fleet.process("host3/scheduler").thaw();
    fleet.start_process("host1/gateway");
    fleet.wait_for_gateway(1).await;
    fleet.wait_for_generation(1..=3, new, IN_FORCE_LIMIT).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        let applied = fleet.applied_generations(1..=3).await;
        assert!(applied.iter().all(|generation| *generation == Some(new)), "{applied:?}");
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
    actix_rt::time::sleep(FRESH_LIMIT + Duration::from_secs(3)).await;
    let refusal = CompletionRequest::new("llama:a0@v1", 1).send(&fleet.caller_url(1)).await;
    let expected =
        CallerOutcome::Problem { reason: "stale_configuration".to_owned(), ran: "no".to_owned() };
    assert_eq!(refusal, expected);
    for host in [2, 3] {
        fleet.process(&format!("host{host}/scheduler")).thaw();
    }
    fleet.set_faults("platform", json!({})).await;
    let started = Instant::now();
    while reason_of(&fleet, 1).await.as_deref() == Some("stale_configuration") {
        assert!(started.elapsed() < IN_FORCE_LIMIT, "confirmed again");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}
