//! Tests of splitting streams into whole events and resuming them.

use rail_upstream::{BodyContent, EventSplitter};

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("valid UTF-8")
}

/// An event that is passed on in part can't be sent again by another attempt, wherever the network
/// splits the stream.
#[test]
fn only_whole_events_are_passed_on_wherever_chunks_end() {
    let stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\n";
    for chunk_end in 0..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut passed = text(&splitter.push(&stream.as_bytes()[..chunk_end]));
        assert!(passed.is_empty() || passed.ends_with("\n\n"), "{passed:?}");
        passed += &text(&splitter.push(&stream.as_bytes()[chunk_end..]));
        assert_eq!(passed, stream);
        assert!(splitter.finish().is_empty());
    }
}

/// The connection can end within an event; the caller must then get that event only once, in whole.
#[test]
fn an_incomplete_event_is_dropped_and_the_stream_resumes_after_the_last_whole_event() {
    let mut splitter = EventSplitter::default();
    assert_eq!(text(&splitter.push(b"id: 7\ndata: a\n\nid: 8\nda")), "id: 7\ndata: a\n\n");
    assert_eq!(splitter.resume(), Ok(Some("7")));
    assert_eq!(text(&splitter.push(b"id: 8\ndata: b\n\n")), "id: 8\ndata: b\n\n");
}

/// An upstream may resume earlier than requested. Identifiers are compared as numbers: as text, 10
/// would come before 9.
#[test]
fn events_before_the_resume_point_are_not_passed_on_again() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 9\ndata: a\n\nid: 10\ndata: b\n\n");
    splitter.resume().expect("resumable");
    assert_eq!(text(&splitter.push(b"id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 11\nd")), "");
    assert_eq!(text(&splitter.push(b"ata: c\n\n")), "id: 11\ndata: c\n\n");
}

/// A stream without whole events may restart from the beginning only if nothing was passed on.
#[test]
fn a_stream_without_whole_events_restarts_or_cannot_be_resumed() {
    let mut splitter = EventSplitter::default();
    assert_eq!(text(&splitter.push(b"id: 1\nda")), "");
    assert_eq!(splitter.resume(), Ok(None), "nothing was passed on, so the stream restarts");
    let mut other = EventSplitter::default();
    assert_eq!(text(&other.push(b"data: a\n\n")), "data: a\n\n");
    other.resume().expect_err("the next attempt would repeat the event");
}

/// Bytes without end that are no events must not fill the memory. Events before them count as
/// passed on, so the stream resumes after them.
#[test]
fn a_line_without_end_is_not_buffered_without_limit() {
    let mut splitter = EventSplitter::default();
    assert_eq!(text(&splitter.push(b"id: 1\ndata: a\n\nxx")), "id: 1\ndata: a\n\n");
    let pieces = std::iter::repeat_n(vec![b'x'; 4096], 32);
    let refused = pieces.into_iter().position(|piece| {
        assert!(splitter.push(&piece).is_empty());
        splitter.is_event_too_large()
    });
    assert_eq!(refused, Some(15), "the event exceeds 64 KiB");
    assert_eq!(splitter.resume(), Ok(Some("1")));
    assert!(!splitter.is_event_too_large());
}

/// Lines may end with LF, CRLF or CR, and the network may split the stream anywhere, also within a
/// line end.
#[test]
fn events_end_at_a_blank_line_with_any_line_end_wherever_chunks_end() {
    for line_end in ["\n", "\r\n", "\r"] {
        let stream = "id: 1\ndata: a\n\n: comment\nid: 2\ndata: b\n\n".replace('\n', line_end);
        for chunk_end in 0..=stream.len() {
            let mut splitter = EventSplitter::default();
            let mut passed = text(&splitter.push(&stream.as_bytes()[..chunk_end]));
            passed += &text(&splitter.push(&stream.as_bytes()[chunk_end..]));
            passed += &text(&splitter.finish());
            assert_eq!(passed, stream);
            assert_eq!(splitter.content(), BodyContent::WholeEvents);
            assert_eq!(splitter.resume(), Ok(Some("2")));
        }
    }
}

/// Bytes after the last event must not be lost in the buffer when the stream ends.
#[test]
fn bytes_after_the_last_event_are_passed_on_at_the_end_of_the_stream() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\n: end");
    assert_eq!(text(&splitter.finish()), ": end");
}

/// Whether a stream broke off depends on where it ended.
#[test]
fn a_stream_is_cut_within_an_event_but_not_after_one_or_after_a_comment() {
    let content = |stream: &str| {
        let mut splitter = EventSplitter::default();
        splitter.push(stream.as_bytes());
        splitter.content()
    };
    assert_eq!(content(""), BodyContent::NoEvents);
    assert_eq!(content(": ready\n\n"), BodyContent::NoEvents);
    assert_eq!(content("id: 1\ndata: a\n\n"), BodyContent::WholeEvents);
    assert_eq!(content("id: 1\ndata: a\n\n: alive\n"), BodyContent::WholeEvents);
    assert_eq!(content("id: 1\ndata: a\r\n\r"), BodyContent::WholeEvents);
    for cut in ["id: 1\ndata: a\n", "id: 1\ndata: a", "data: a\n\nid: 2\n", "data: a\n\n: al"] {
        assert_eq!(content(cut), BodyContent::CutEvent, "{cut:?}");
    }
}
