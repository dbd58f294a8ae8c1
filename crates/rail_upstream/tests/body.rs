//! Tests of the decision whether a response body is whole.

use http::{Method, Response, response::Parts};
use rail_upstream::{BodyContent, BodyEnd, Completeness, Framing};

fn head(status: u16, headers: &[(&str, &str)]) -> Parts {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(()).expect("a response").into_parts().0
}

/// An answer whose framing is taken for another one would be judged by an end that it does not
/// have.
#[test]
fn framing_follows_the_head_of_the_response() {
    let framing = |status, headers: &[_]| Framing::of(&Method::POST, &head(status, headers));
    assert_eq!(framing(200, &[("content-length", "3")]), Framing::Length);
    assert_eq!(framing(200, &[("transfer-encoding", "gzip, chunked")]), Framing::Chunked);
    let both = [("content-length", "3"), ("transfer-encoding", "chunked")];
    assert_eq!(framing(200, &both), Framing::Chunked);
    assert_eq!(framing(200, &[]), Framing::UntilClose);
    assert_eq!(framing(200, &[("transfer-encoding", "gzip")]), Framing::UntilClose);
    assert_eq!(framing(204, &[]), Framing::Empty);
    assert_eq!(framing(304, &[("content-length", "3")]), Framing::Empty);
    assert_eq!(Framing::of(&Method::HEAD, &head(200, &[])), Framing::Empty);
}

/// A broken answer that counts as whole reaches the caller as complete.
#[test]
fn completeness_is_claimed_only_where_something_proves_it() {
    use BodyContent::{CutEvent, NoEvents, Opaque, SelfContained, Unfinished, WholeEvents};
    use BodyEnd::{Closed, Lost, Marked, TooLarge};
    use Completeness::{BrokenOff, Unproven, Whole};
    let rows = [
        (Marked, [Whole, Whole, Whole, BrokenOff, Whole, BrokenOff]),
        (Closed, [Unproven, BrokenOff, Unproven, BrokenOff, Whole, BrokenOff]),
        (Lost, [BrokenOff, BrokenOff, BrokenOff, BrokenOff, Whole, BrokenOff]),
        (TooLarge, [BrokenOff, BrokenOff, BrokenOff, BrokenOff, Whole, BrokenOff]),
    ];
    let contents = [Opaque, NoEvents, WholeEvents, CutEvent, SelfContained, Unfinished];
    for (end, expected) in rows {
        let known = contents.map(|content| Completeness::of(end, content));
        assert_eq!(known, expected, "{end:?}");
    }
}
