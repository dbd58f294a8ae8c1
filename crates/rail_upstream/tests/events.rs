//! Tests of splitting streams into whole events and resuming them.

use rail_upstream::EventSplitter;

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
    let passed = other.push(&vec![b'x'; 2 << 20]);
    assert_eq!(
        passed.len(),
        2 << 20,
        "a stream that does not consist of events is not buffered without limit"
    );
    other.resume().expect_err("a part of an event was passed on");
}

/// Bytes after the last event must not be lost in the buffer when the stream ends.
#[test]
fn bytes_after_the_last_event_are_passed_on_at_the_end_of_the_stream() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\n: end");
    assert_eq!(text(&splitter.finish()), ": end");
}
