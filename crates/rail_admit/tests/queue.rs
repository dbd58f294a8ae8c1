//! Tests of the admission queue, partly over generated sequences with a fixed seed.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rail_admit::{
    AdmissionQueue, AdmissionRequest, QueueLimits, QueuePolicy, RefusalReason, Urgency,
};
use std::{collections::BTreeSet, time::Duration};

const SEED: u64 = 7;
const TEST_CASES: u64 = 500;
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

fn request(caller: &str, urgency: Urgency, deadline_ms: u64) -> AdmissionRequest {
    let deadline = Duration::from_millis(deadline_ms);
    AdmissionRequest { caller: caller.to_owned(), urgency, size_bytes: 1, deadline }
}

/// Checks that every request ends exactly once (started, refused, displaced or expired) and that
/// the queue never exceeds its limits.
fn all_requests_end_once_within_bounds(steps: Vec<Step>) -> bool {
    let mut queue = AdmissionQueue::new(limits());
    let mut now = Duration::ZERO;
    let mut pushed = 0_u32;
    let mut ended = BTreeSet::new();
    for step in steps {
        match step {
            Step::Push { caller, urgent, size_bytes, deadline_ms } => {
                let urgency = if urgent { Urgency::Urgent } else { Urgency::Deferrable };
                let deadline = now + Duration::from_millis(deadline_ms);
                let caller = caller.to_string();
                let request = AdmissionRequest { caller, urgency, size_bytes, deadline };
                let refused = match queue.push(request, pushed, now) {
                    Ok(displaced) => displaced,
                    Err(refused) => vec![refused],
                };
                pushed += 1;
                if !refused.into_iter().all(|refused| ended.insert(refused.item)) {
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
                if !queue.remove_expired(now).into_iter().all(|refused| ended.insert(refused.item))
                {
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
    QuickCheck::new()
        .rng(generator)
        .tests(TEST_CASES)
        .quickcheck(all_requests_end_once_within_bounds as fn(Vec<Step>) -> bool);
}

#[test]
fn urgent_requests_start_first_then_the_earlier_deadline() {
    let mut queue = AdmissionQueue::new(limits());
    let requests = [
        ("late", Urgency::Urgent, 50_000),
        ("deferred", Urgency::Deferrable, 40_000),
        ("early", Urgency::Urgent, 45_000),
    ];
    for (name, urgency, deadline_ms) in requests {
        queue
            .push(request("c", urgency, deadline_ms), name, Duration::ZERO)
            .expect("the queue has space");
    }
    let order = queue.start_order(Duration::ZERO);
    let names: Vec<_> = order.iter().filter_map(|id| queue.find(*id)).map(|(_, n)| *n).collect();
    assert_eq!(names, ["early", "late", "deferred"]);
}

#[test]
fn deferrable_requests_are_promoted_before_their_deadline() {
    let mut queue = AdmissionQueue::new(limits());
    queue
        .push(request("c", Urgency::Deferrable, 100_000), "deferred", Duration::ZERO)
        .expect("the queue has space");
    let now = Duration::from_secs(75);
    queue.push(request("c", Urgency::Urgent, 105_000), "urgent", now).expect("the queue has space");
    let first = queue.start_order(now)[0];
    assert_eq!(queue.dequeue(first), Some("deferred"));
}

#[test]
fn deferrable_requests_are_promoted_after_a_long_wait() {
    let limits = QueueLimits::default();
    let mut queue = AdmissionQueue::new(limits);
    let day_ms = 86_400_000;
    queue
        .push(request("c", Urgency::Deferrable, day_ms), "deferred", Duration::ZERO)
        .expect("the queue has space");
    let now = limits.promote_after;
    queue
        .push(request("c", Urgency::Urgent, day_ms + 1), "urgent", now)
        .expect("the queue has space");
    let first = queue.start_order(now)[0];
    assert_eq!(queue.dequeue(first), Some("deferred"));
}

#[test]
fn a_full_queue_displaces_requests_of_the_caller_with_the_most() {
    let mut queue = AdmissionQueue::new(limits());
    for number in 0..MAX_REQUESTS {
        queue
            .push(request("greedy", Urgency::Urgent, 60_000), number, Duration::ZERO)
            .expect("the queue has space");
    }
    let displaced = queue
        .push(request("modest", Urgency::Urgent, 60_000), 99, Duration::ZERO)
        .expect("the queue has space");
    assert_eq!(displaced.len(), 1);
    assert_eq!(displaced[0].refusal.reason, RefusalReason::OverShare);
    let refused = queue.push(request("greedy", Urgency::Urgent, 60_000), 100, Duration::ZERO);
    assert_eq!(refused.expect_err("the queue is full").refusal.reason, RefusalReason::QueueFull);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut queue = AdmissionQueue::new(QueueLimits { max_requests: 100, ..limits() });
    for number in 0..40 {
        queue
            .push(request("c", Urgency::Urgent, 60_000), number, Duration::ZERO)
            .expect("the queue has space");
    }
    // The queue measures ten finished requests per second over two seconds.
    for tenth in 0..20 {
        queue.record_completion(Duration::from_millis(100 * tenth), true);
    }
    let now = Duration::from_secs(2);
    let result = queue.push(request("c", Urgency::Urgent, 61_000), 99, now);
    assert!(result.is_ok(), "four seconds of backlog fit into the 59 s that are left");
    let mut late_request = request("c", Urgency::Urgent, 0);
    late_request.deadline = now;
    let refused = queue.push(late_request, 100, now).expect_err("no time is left");
    assert_eq!(refused.refusal.reason, RefusalReason::Deadline);
}

#[test]
fn first_come_policy_keeps_the_order_of_arrival() {
    let policy = QueuePolicy::FirstCome;
    let mut queue = AdmissionQueue::new(QueueLimits { policy, ..limits() });
    queue
        .push(request("c", Urgency::Deferrable, 90_000), 1, Duration::ZERO)
        .expect("the queue has space");
    queue
        .push(request("c", Urgency::Urgent, 1_000), 2, Duration::ZERO)
        .expect("the queue has space");
    let first = queue.start_order(Duration::ZERO)[0];
    assert_eq!(queue.dequeue(first), Some(1));
}

/// With a promotion time of 30 s, a deferrable request with a deadline of 20 s would be urgent on
/// arrival; the promotion time is therefore at most a quarter of the time to the deadline.
#[test]
fn a_short_deferrable_deadline_is_not_urgent_from_the_start() {
    let mut queue = AdmissionQueue::new(limits());
    queue
        .push(request("c", Urgency::Deferrable, 20_000), "deferred", Duration::ZERO)
        .expect("the queue has space");
    queue
        .push(request("c", Urgency::Urgent, 25_000), "urgent", Duration::ZERO)
        .expect("the queue has space");
    let first = queue.start_order(Duration::ZERO)[0];
    assert_eq!(queue.dequeue(first), Some("urgent"));
}

/// The estimate must include the requests that already run on the engine; without them a request is
/// admitted that expires in the queue.
#[test]
fn a_request_that_would_finish_late_is_refused_on_arrival() {
    let mut queue =
        AdmissionQueue::new(QueueLimits { max_requests: 100, engine_slots: 8, ..limits() });
    for number in 0..10 {
        queue
            .push(request("c", Urgency::Urgent, 60_000), number, Duration::ZERO)
            .expect("the queue has space");
    }
    for tenth in 0..20 {
        queue.record_completion(Duration::from_millis(100 * tenth), true);
    }
    // At ten requests per second, the ten ahead, the eight that run and this one take 1.9 s, and
    // 2.4 s with the margin.
    let now = Duration::from_secs(2);
    let in_time = queue.push(request("c", Urgency::Urgent, 62_200), 98, now);
    assert!(in_time.is_ok(), "60.2 s are enough");
    let mut late_request = request("c", Urgency::Urgent, 0);
    late_request.deadline = now + Duration::from_millis(100);
    let refused = queue.push(late_request, 99, now).expect_err("100 ms are not enough");
    assert_eq!(refused.refusal.reason, RefusalReason::Deadline);
}
