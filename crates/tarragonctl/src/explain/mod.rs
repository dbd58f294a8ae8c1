//! `explain`: prints the history of one request from the event lines of all hosts.

mod cause;
mod lines;

use crate::{
    error::{Error, Result},
    flags::ExplainCommand,
};
use cause::find_cause;
use lines::Line;
use std::{collections::BTreeSet, fs};

/// Time before the start of a request, in milliseconds, from which related lines are shown.
const CONTEXT_BEFORE_MS: i64 = 3000;
/// Time after the last line of a request, in milliseconds, up to which related lines are shown.
const CONTEXT_AFTER_MS: i64 = 500;

/// Event lines that concern one request.
#[derive(Debug)]
pub(crate) struct History {
    /// Lines that name the request, ordered by time.
    request_lines: Vec<Line>,
    /// Related lines, which may explain its outcome: those about its upstreams, its adapters and its
    /// hosts around that time, ordered by time.
    context_lines: Vec<Line>,
}

/// Prints the history of a request and the cause of its outcome.
pub fn explain(command: &ExplainCommand) -> Result<()> {
    let (request, files) = command.names.split_first().ok_or(Error::Missing("request"))?;
    let mut lines = Vec::new();
    for path in files {
        let text =
            fs::read(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
        lines.extend(lines::read_lines(&String::from_utf8_lossy(&text), path));
    }
    let history =
        collect_history(lines, request).ok_or_else(|| Error::RequestNotFound(request.clone()))?;
    print_history(&history);
    Ok(())
}

/// Selects the lines that concern a request; returns `None` if no line names it.
fn collect_history(lines: Vec<Line>, request: &str) -> Option<History> {
    let (mut request_lines, others): (Vec<Line>, Vec<Line>) =
        lines.into_iter().partition(|line| line.text("request") == Some(request));
    request_lines.sort_by_key(|line| line.at_ms);
    let start_ms = request_lines.iter().map(Line::start_ms).min()?;
    let end_ms = request_lines.iter().map(|line| line.at_ms).max()?;
    let queue_ms = request_lines.iter().filter_map(|line| line.number("queue_ms")).max();
    let sent_ms = start_ms + queue_ms.unwrap_or(0);
    let upstreams: BTreeSet<&str> = request_lines.iter().flat_map(Line::upstreams).collect();
    let adapters: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.text("adapter")).collect();
    let hosts: BTreeSet<&str> = request_lines.iter().map(|line| line.host.as_str()).collect();
    let fingerprints: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.text("fingerprint")).collect();
    // Crashes of the same request explain a refusal, however long ago they were.
    let is_crash = |line: &Line| {
        let is_same = line.text("fingerprint").is_some_and(|it| fingerprints.contains(it));
        is_same && matches!(line.event(), "request_crashed" | "quarantined" | "suspect_cleared")
    };
    let is_near = |line: &Line| {
        (start_ms - CONTEXT_BEFORE_MS..=end_ms + CONTEXT_AFTER_MS).contains(&line.at_ms)
    };
    let is_related = |line: &Line| match line.event() {
        "upstream" | "ejected" | "upstream_ended" => {
            line.upstreams().any(|id| upstreams.contains(id))
        }
        "order" => line.text("subject").is_some_and(|subject| is_subject_in(subject, &adapters)),
        "config" | "config_fetched" | "lease" | "store" | "source" | "source_lost" | "started"
        | "stopping" | "stopped" | "memory_short" => hosts.contains(line.host.as_str()),
        // Prompts that the engine read during the answer may have held it up.
        "place" => {
            line.text("outcome") == Some("granted")
                && (sent_ms..=end_ms).contains(&line.at_ms)
                && line.text("engine").is_some_and(|id| upstreams.contains(id))
        }
        "owner" | "revoked" => line.text("engine").is_some_and(|id| upstreams.contains(id)),
        _ => false,
    };
    let mut context_lines: Vec<Line> = others
        .into_iter()
        .filter(|line| is_crash(line) || is_near(line) && is_related(line))
        .collect();
    context_lines.sort_by_key(|line| line.at_ms);
    Some(History { request_lines, context_lines })
}

/// Returns whether the subject of an order, `model/adapter`, is one of the adapters.
///
/// Lines of engine owners name an adapter without its model, so either form matches.
fn is_subject_in(subject: &str, adapters: &BTreeSet<&str>) -> bool {
    let name = subject.split_once('/').map_or(subject, |(_model, name)| name);
    adapters.contains(subject) || adapters.contains(name)
}

fn print_history(history: &History) {
    let first_ms = history.request_lines.first().map_or(0, |line| line.at_ms);
    let mut lines: Vec<(&Line, char)> =
        history.request_lines.iter().map(|line| (line, '*')).collect();
    lines.extend(history.context_lines.iter().map(|line| (line, ' ')));
    lines.sort_by_key(|(line, _)| line.at_ms);
    for (line, mark) in lines {
        println!("{mark} {:>8} ms  {:<24} {}", line.at_ms - first_ms, line.host, line.describe());
    }
    println!("cause: {}", find_cause(history));
}
