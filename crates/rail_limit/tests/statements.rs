//! What answers say about limits, and what a host believes of it.

use quickcheck::quickcheck;
use rail_limit::{KnownLimits, Limit, LimitKey, LimitStatement, RequestRate};
use std::time::Duration;

fn named(requests_per_s: f64) -> LimitStatement {
    LimitStatement::Named(RequestRate::per_second(requests_per_s).expect("a rate"))
}

fn start(started_unix_ms: u64) -> LimitKey {
    LimitKey { upstream: "u".to_owned(), started_unix_ms: Some(started_unix_ms) }
}

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Guards against a limit that is taken from a text which names none, and one that such a text
/// ends.
#[test]
fn an_odd_text_sets_or_ends_a_limit() {
    let read = |values: &[&str]| LimitStatement::read(values.iter().map(|value| Some(*value)));
    assert_eq!(read(&[]), LimitStatement::NotNamed);
    for (text, limit) in [("0", 0.0), (" 0.2 ", 0.2), ("3.7000000000000000000001", 3.7)] {
        assert_eq!(read(&[text]), named(limit), "{text}");
    }
    assert_eq!(read(&["1e300"]), named(1e6), "a rate that limits nothing");
    for text in ["", " ", "-1", "NaN", "inf", "1e999", "many", "1,5", "0x10"] {
        assert_eq!(read(&[text]), LimitStatement::Unreadable, "{text}");
    }
    assert_eq!(read(&["5", "2"]), named(2.0));
    assert_eq!(read(&["-1", "2"]), named(2.0));
    assert_eq!(LimitStatement::read([None].into_iter()), LimitStatement::Unreadable);
    let mut known = KnownLimits::default();
    known.record_answer(&start(1), named(2.0), ms(1));
    assert!(!known.record_answer(&start(1), LimitStatement::Unreadable, ms(2)));
    assert_eq!(known.rate(&start(1)), RequestRate::per_second(2.0));
}

/// Guards against a limit that another start at the same address inherits.
#[test]
fn a_new_start_inherits_a_limit() {
    let mut known = KnownLimits::default();
    known.record_answer(&start(1), named(2.0), ms(1));
    assert_eq!(known.rate(&start(2)), None);
    known.prune(|start| start.started_unix_ms == Some(2), ms(2));
    assert_eq!(known.rate(&start(1)), None);
}

/// Guards against older news that bring an ended limit back, or end one that holds.
#[test]
fn older_news_change_a_limit() {
    let mut known = KnownLimits::default();
    let told = |rate, at| Limit { rate, answered_at: ms(at) };
    known.record_answer(&start(1), named(2.0), ms(1_000));
    assert!(!known.merge(&start(1), told(None, 500)));
    assert!(known.merge(&start(1), told(None, 2_000)));
    assert!(!known.merge(&start(1), told(RequestRate::per_second(2.0), 1_500)));
    assert_eq!(known.rate(&start(1)), None);
    known.prune(|_| true, ms(10_000));
    assert!(!known.merge(&start(1), told(RequestRate::per_second(2.0), 1_500)));
}

quickcheck! {
    /// Guards against a text that ends the process, or a rate that is not one.
    fn a_text_is_no_rate(texts: Vec<String>) -> bool {
        match LimitStatement::read(texts.iter().map(|text| Some(text.as_str()))) {
            LimitStatement::Named(rate) => rate.requests_per_s() >= 0.0,
            LimitStatement::NotNamed => texts.is_empty(),
            LimitStatement::Unreadable => !texts.is_empty(),
        }
    }
}

/// Guards against servers that are asked too early, and against a pause without end.
#[test]
fn a_refusal_says_for_how_long_an_upstream_pauses() {
    use rail_limit::Refusal;
    use std::time::Duration;
    let pause_ms = |retry_after_ms: Option<u64>, max_refusals_per_s, live_hosts| {
        let retry_after = retry_after_ms.map(Duration::from_millis);
        let pause = Refusal { retry_after, max_refusals_per_s }.pause(live_hosts);
        pause.map(|pause| pause.as_millis())
    };
    assert_eq!(pause_ms(None, None, 7), None);
    assert_eq!(pause_ms(Some(2500), None, 7), Some(2500));
    assert_eq!(pause_ms(Some(9_000_000), None, 7), Some(60_000));
    assert_eq!(pause_ms(None, Some(7), 7), Some(2000), "all hosts cause half of the refusals");
    assert_eq!(pause_ms(None, Some(1000), 3), Some(300));
    assert_eq!(pause_ms(None, Some(0), 380), Some(10_000));
    assert_eq!(pause_ms(Some(3000), Some(7), 7), Some(3000), "the longer of both");
}
