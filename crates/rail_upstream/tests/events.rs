//! Streams cut into whole events.

use rail_upstream::EventSplitter;

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

#[test]
fn only_whole_events_pass_wherever_the_stream_is_cut() {
    let stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\n";
    for cut in 0..stream.len() {
        let mut cutter = EventSplitter::default();
        let mut passed = text(&cutter.push(&stream.as_bytes()[..cut]));
        assert!(passed.is_empty() || passed.ends_with("\n\n"), "{passed:?}");
        passed += &text(&cutter.push(&stream.as_bytes()[cut..]));
        assert_eq!(passed, stream);
        assert!(cutter.finish().is_empty());
    }
}

#[test]
fn a_broken_event_is_dropped_and_the_next_run_goes_on_after_the_last_whole_one() {
    let mut cutter = EventSplitter::default();
    assert_eq!(text(&cutter.push(b"id: 7\ndata: a\n\nid: 8\nda")), "id: 7\ndata: a\n\n");
    assert_eq!(cutter.resume(), Ok(Some("7")));
    assert_eq!(text(&cutter.push(b"id: 8\ndata: b\n\n")), "id: 8\ndata: b\n\n");
}

#[test]
fn a_run_that_starts_too_early_repeats_nothing() {
    let mut cutter = EventSplitter::default();
    cutter.push(b"id: 9\ndata: a\n\nid: 10\ndata: b\n\n");
    cutter.resume().expect("resumable");
    assert_eq!(text(&cutter.push(b"id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 11\nd")), "");
    assert_eq!(text(&cutter.push(b"ata: c\n\n")), "id: 11\ndata: c\n\n");
}

#[test]
fn a_stream_without_events_starts_anew_or_not_at_all() {
    let mut cutter = EventSplitter::default();
    assert_eq!(text(&cutter.push(b"id: 1\nda")), "");
    assert_eq!(cutter.resume(), Ok(None), "nothing was passed on yet");
    let mut other = EventSplitter::default();
    let passed = other.push(&vec![b'x'; 2 << 20]);
    assert_eq!(passed.len(), 2 << 20, "what is no stream of events is not held back for ever");
    other.resume().expect_err("a part was passed on");
}

#[test]
fn what_follows_the_last_event_is_passed_on_at_a_proper_end() {
    let mut cutter = EventSplitter::default();
    cutter.push(b"id: 1\ndata: a\n\n: end");
    assert_eq!(text(&cutter.finish()), ": end");
}
