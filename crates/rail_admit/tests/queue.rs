//! Rules of the admission queue, over generated sequences with a fixed seed.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rail_admit::{
    AdmissionQueue, AdmissionRequest, QueueLimits, QueuePolicy, RefusalReason, Urgency,
};
use std::{collections::BTreeSet, time::Duration};

const SEED: u64 = 7;
const TESTS: u64 = 500;
const MAX_REQUESTS: usize = 6;
const MAX_BYTES: usize = 1000;

#[derive(Debug, Clone)]
enum Step {
    Push { caller: u8, urgent: bool, size_bytes: usize, deadline_ms: u64 },
    Start,
    Finish,
    Wait { ms: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=4 => Self::Push {
                caller: u8::arbitrary(g) % 3,
                urgent: bool::arbitrary(g),
                size_bytes: usize::arbitrary(g) % 400,
                deadline_ms: u64::arbitrary(g) % 60_000,
            },
            5 => Self::Start,
            6 => Self::Finish,
            _ => Self::Wait { ms: u64::arbitrary(g) % 5000 },
        }
    }
}

fn limits() -> QueueLimits {
    QueueLimits { max_requests: MAX_REQUESTS, max_bytes: MAX_BYTES, ..QueueLimits::default() }
}

fn ticket(caller: &str, urgency: Urgency, deadline_ms: u64) -> AdmissionRequest {
    let deadline_at = Duration::from_millis(deadline_ms);
    AdmissionRequest { caller: caller.to_owned(), urgency, size_bytes: 1, deadline_at }
}

/// Every request ends exactly once: started, refused, displaced or expired; bounds always hold.
fn holds_for(steps: Vec<Step>) -> bool {
    let mut queue = AdmissionQueue::new(limits());
    let mut now = Duration::ZERO;
    let mut pushed = 0_u32;
    let mut ended = BTreeSet::new();
    for step in steps {
        match step {
            Step::Push { caller, urgent, size_bytes, deadline_ms } => {
                let urgency = if urgent { Urgency::Urgent } else { Urgency::Deferrable };
                let deadline_at = now + Duration::from_millis(deadline_ms);
                let caller = caller.to_string();
                let ticket = AdmissionRequest { caller, urgency, size_bytes, deadline_at };
                let refused = match queue.push(ticket, pushed, now) {
                    Ok(displaced) => displaced,
                    Err(refused) => vec![refused],
                };
                pushed += 1;
                if !refused.into_iter().all(|r| ended.insert(r.item)) {
                    return false;
                }
            }
            Step::Start => {
                let first = queue.start_order(now).first().copied();
                if let Some(item) = first.and_then(|id| queue.dequeue(id))
                    && !ended.insert(item)
                {
                    return false;
                }
            }
            Step::Finish => queue.record_completion(now, true),
            Step::Wait { ms } => {
                now += Duration::from_millis(ms);
                if !queue.remove_expired(now).into_iter().all(|r| ended.insert(r.item)) {
                    return false;
                }
            }
        }
        if queue.len() > MAX_REQUESTS || queue.queued_bytes() > MAX_BYTES {
            return false;
        }
        if queue.len() + ended.len() != pushed as usize {
            return false;
        }
    }
    queue.drain().into_iter().all(|item| ended.insert(item)) && ended.len() == pushed as usize
}

#[test]
fn every_request_ends_once_and_bounds_hold() {
    let generator = Gen::from_size_and_seed(80, SEED);
    QuickCheck::new().rng(generator).tests(TESTS).quickcheck(holds_for as fn(Vec<Step>) -> bool);
}

#[test]
fn urgent_goes_first_then_the_earlier_deadline() {
    let mut queue = AdmissionQueue::new(limits());
    let requests = [
        ("late", Urgency::Urgent, 50_000),
        ("deferred", Urgency::Deferrable, 40_000),
        ("early", Urgency::Urgent, 45_000),
    ];
    for (name, urgency, deadline_ms) in requests {
        queue.push(ticket("c", urgency, deadline_ms), name, Duration::ZERO).expect("room");
    }
    let order = queue.start_order(Duration::ZERO);
    let names: Vec<_> = order.iter().filter_map(|id| queue.find(*id)).map(|(_, n)| *n).collect();
    assert_eq!(names, ["early", "late", "deferred"]);
}

#[test]
fn deferrable_work_is_promoted_before_its_deadline() {
    let mut queue = AdmissionQueue::new(limits());
    queue
        .push(ticket("c", Urgency::Deferrable, 100_000), "deferred", Duration::ZERO)
        .expect("room");
    let now = Duration::from_secs(75);
    queue.push(ticket("c", Urgency::Urgent, 105_000), "urgent", now).expect("room");
    let first = queue.start_order(now)[0];
    assert_eq!(queue.dequeue(first), Some("deferred"));
}

#[test]
fn deferrable_work_is_promoted_after_a_long_wait() {
    let limits = QueueLimits::default();
    let mut queue = AdmissionQueue::new(limits);
    let day_ms = 86_400_000;
    queue.push(ticket("c", Urgency::Deferrable, day_ms), "deferred", Duration::ZERO).expect("room");
    let now = limits.promote_after;
    queue.push(ticket("c", Urgency::Urgent, day_ms + 1), "urgent", now).expect("room");
    let first = queue.start_order(now)[0];
    assert_eq!(queue.dequeue(first), Some("deferred"));
}

#[test]
fn a_full_queue_refuses_the_caller_that_holds_most() {
    let mut queue = AdmissionQueue::new(limits());
    for number in 0..MAX_REQUESTS {
        queue
            .push(ticket("greedy", Urgency::Urgent, 60_000), number, Duration::ZERO)
            .expect("room");
    }
    let displaced =
        queue.push(ticket("modest", Urgency::Urgent, 60_000), 99, Duration::ZERO).expect("room");
    assert_eq!(displaced.len(), 1);
    assert_eq!(displaced[0].refusal.reason, RefusalReason::OverShare);
    let refused = queue.push(ticket("greedy", Urgency::Urgent, 60_000), 100, Duration::ZERO);
    assert_eq!(refused.expect_err("full").refusal.reason, RefusalReason::QueueFull);
}

#[test]
fn what_cannot_make_its_deadline_is_refused_at_once() {
    let mut queue = AdmissionQueue::new(QueueLimits { max_requests: 100, ..limits() });
    for number in 0..40 {
        queue.push(ticket("c", Urgency::Urgent, 60_000), number, Duration::ZERO).expect("room");
    }
    // Ten requests a second, learnt over two seconds.
    for tenth in 0..20 {
        queue.record_completion(Duration::from_millis(100 * tenth), true);
    }
    let now = Duration::from_secs(2);
    let refused = queue.push(ticket("c", Urgency::Urgent, 61_000), 99, now);
    assert!(refused.is_ok(), "four seconds of backlog fit into 59");
    let mut hasty = ticket("c", Urgency::Urgent, 0);
    hasty.deadline_at = now;
    let refused = queue.push(hasty, 100, now).expect_err("no time is left");
    assert_eq!(refused.refusal.reason, RefusalReason::Deadline);
}

#[test]
fn the_baseline_keeps_arrival_order() {
    let policy = QueuePolicy::FirstCome;
    let mut queue = AdmissionQueue::new(QueueLimits { policy, ..limits() });
    queue.push(ticket("c", Urgency::Deferrable, 90_000), 1, Duration::ZERO).expect("room");
    queue.push(ticket("c", Urgency::Urgent, 1_000), 2, Duration::ZERO).expect("room");
    let first = queue.start_order(Duration::ZERO)[0];
    assert_eq!(queue.dequeue(first), Some(1));
}

#[test]
fn a_short_deferrable_deadline_is_not_urgent_from_the_start() {
    let mut queue = AdmissionQueue::new(limits());
    queue.push(ticket("c", Urgency::Deferrable, 20_000), "deferred", Duration::ZERO).expect("room");
    queue.push(ticket("c", Urgency::Urgent, 25_000), "urgent", Duration::ZERO).expect("room");
    let first = queue.start_order(Duration::ZERO)[0];
    assert_eq!(queue.dequeue(first), Some("urgent"));
}

#[test]
fn what_would_finish_late_is_refused_on_arrival() {
    let mut queue =
        AdmissionQueue::new(QueueLimits { max_requests: 100, engine_slots: 8, ..limits() });
    for number in 0..10 {
        queue.push(ticket("c", Urgency::Urgent, 60_000), number, Duration::ZERO).expect("room");
    }
    for tenth in 0..20 {
        queue.record_completion(Duration::from_millis(100 * tenth), true);
    }
    // Ten a second: ten ahead and eight in service take 1.9 s, and with the margin 2.4 s.
    let now = Duration::from_secs(2);
    let late = queue.push(ticket("c", Urgency::Urgent, 62_200), 98, now);
    assert!(late.is_ok(), "60 s are enough");
    let mut hasty = ticket("c", Urgency::Urgent, 0);
    hasty.deadline_at = now + Duration::from_millis(100);
    let refused = queue.push(hasty, 99, now).expect_err("100 ms are not enough");
    assert_eq!(refused.refusal.reason, RefusalReason::Deadline);
}
