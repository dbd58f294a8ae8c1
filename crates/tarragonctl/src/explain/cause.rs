//! Finds the cause of the outcome of a request in its history.

use super::{History, Line};
use std::fmt;

/// A wait before the first send counts as the cause of a slow answer if it is at least this
/// fraction of the time from the arrival of the request to the first part of its answer.
const LONG_WAIT_FRACTION: f64 = 0.5;

/// Cause of the outcome of a request, as far as the event lines show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The request was answered; the wait before its first send was at least
    /// [`LONG_WAIT_FRACTION`] of the time to the first part of the answer.
    WaitedForGrant {
        /// Time before the first send, in milliseconds.
        queue_ms: i64,
        /// State of its adapter on the engine, if a line of the engine's owner names it.
        adapter_status: Option<String>,
    },
    /// The request was answered; most of the time to the first part of the answer was spent at the
    /// upstream.
    SlowUpstream {
        /// Name of the upstream.
        upstream: String,
        /// Time from the first send to the first part of the answer, in milliseconds.
        served_ms: i64,
    },
    /// The request was answered; a pause between two parts of the answer was longer than its route
    /// allows.
    Paused {
        /// Name of the upstream.
        upstream: String,
        /// The longest pause, in milliseconds.
        gap_ms: i64,
        /// Requests whose prompts the engine's owner granted during the answer, as far as lines
        /// of its log name them.
        beside: Vec<String>,
    },
    /// Owners of engines refused a grant.
    GrantRefused {
        /// Number of refusals.
        refusals: usize,
        /// Requests that waited at the engine of the last refusal.
        waiting: i64,
    },
    /// Upstreams rejected the request because they were full.
    UpstreamFull {
        /// Name of the last such upstream.
        upstream: String,
    },
    /// No owner of a suitable engine could be reached.
    NoOwner,
    /// The connection to the upstream was lost before or during its answer.
    UpstreamLost {
        /// Name of the upstream.
        upstream: String,
        /// Outcome of the last attempt, or the reason of the request if no line records an attempt.
        outcome: String,
        /// Framing and end of the body of its answer, if one was read.
        body: Option<(String, String)>,
        /// First state other than `ready` that a line reports of the upstream around that time:
        /// `gone`, `draining` or `ejected`.
        new_state: Option<String>,
    },
    /// The upstream answered with an error status.
    UpstreamFailed {
        /// Name of the upstream.
        upstream: String,
        /// HTTP status of the answer.
        status: i64,
    },
    /// The request has crashed upstreams, or may have.
    Quarantined {
        /// Crashes that hosts recorded: upstream, host, and the id under which the request ran.
        crashes: Vec<(String, String, String)>,
        /// Whether it shares a part of its prompt with the requests that crashed upstreams.
        is_prompt_part: bool,
        /// Whether only a trial by another call was running.
        is_trial_running: bool,
    },
    /// The quota of its workspace was used up, or the issuer of the quotas could not be asked.
    OverQuota {
        /// Name of the workspace.
        workspace: String,
        /// Units that the request costs.
        cost: i64,
        /// Units that its host had used on credit.
        credit_used: i64,
        /// Host that issues the quotas, and the time since its last reply in milliseconds, if known.
        issuer: (String, Option<i64>),
        /// Time after which the caller was to try again, in milliseconds.
        again_ms: i64,
    },
    /// The key of the request did not identify a workspace, or could not be proven valid.
    KeyRefused {
        /// Value of the `reason` field of the last line.
        reason: String,
        /// Age of the configuration by which the host decided, in milliseconds; `None` if the store
        /// never confirmed it or the line does not name it.
        config_age_ms: Option<i64>,
    },
    /// The caller closed its connection.
    CallerLeft {
        /// Time from the arrival of the request, in milliseconds.
        total_ms: i64,
    },
    /// The host had no memory left for the request.
    MemoryShort {
        /// Whether its body was given up while it arrived, since others needed its memory.
        gave_way: bool,
    },
    /// The caller did not read its answer.
    AnswerUnread,
    /// The request ended for any other reason, as named in its last line.
    Refused {
        /// Value of the `reason` field of that line.
        reason: String,
    },
    /// No line records the outcome: the process ended or the line was dropped.
    Unknown,
}

/// Returns the cause of the outcome of a request.
pub(crate) fn find_cause(history: &History) -> Cause {
    let is_final =
        |line: &&Line| matches!(line.event(), "request" | "refused_at_once" | "quota_refusal");
    let Some(last) = history.request_lines.iter().rev().find(is_final) else {
        return Cause::Unknown;
    };
    let reason = last.text("reason").unwrap_or_default();
    match reason {
        "answered" => answered_cause(history, last),
        "busy" | "late_unsent" => unsent_cause(history),
        "upstream_lost" | "broken_off" | "unproven_end" | "late_sent" | "late_stream" => {
            lost_cause(history, last)
        }
        "upstream_status" => Cause::UpstreamFailed {
            upstream: last.text("upstream").unwrap_or_default().to_owned(),
            status: last.number("status").unwrap_or(0),
        },
        "quarantined" | "trial_running" => quarantine_cause(history, reason),
        "over_quota" | "no_quota_issuer" => quota_cause(history),
        reason if is_key_refusal(reason) => Cause::KeyRefused {
            reason: reason.to_owned(),
            config_age_ms: last.record_age_ms("config"),
        },
        "no_memory" | "gave_way" => Cause::MemoryShort { gave_way: reason == "gave_way" },
        "unread_answer" => Cause::AnswerUnread,
        "caller_left" => Cause::CallerLeft { total_ms: last.number("total_ms").unwrap_or(0) },
        _ => Cause::Refused { reason: reason.to_owned() },
    }
}

fn quota_cause(history: &History) -> Cause {
    let mut lines = history.request_lines.iter().rev();
    let line = lines.find(|line| line.event() == "quota_refusal");
    let text = |name: &str| line.and_then(|line| line.text(name)).unwrap_or_default().to_owned();
    let number = |name: &str| line.and_then(|line| line.number(name)).unwrap_or(0);
    Cause::OverQuota {
        workspace: text("workspace"),
        cost: number("cost"),
        credit_used: number("credit_used"),
        issuer: (text("issuer"), line.and_then(|line| line.number("issuer_age_ms"))),
        again_ms: number("again_ms"),
    }
}

fn is_key_refusal(reason: &str) -> bool {
    reason.starts_with("key_") || reason == "workspace_invalid"
}

/// Takes the crashes from the lines of the hosts that saw them; without such lines, from the line of
/// the refusal.
fn quarantine_cause(history: &History, reason: &str) -> Cause {
    let text = |line: &Line, name: &str| line.text(name).unwrap_or_default().to_owned();
    let crash_lines = history.context_lines.iter().filter(|l| l.event() == "request_crashed");
    let mut crashes: Vec<_> = crash_lines
        .map(|line| (text(line, "upstream"), line.host.clone(), text(line, "request")))
        .collect();
    // An end that is suspected first and proven later has two lines.
    crashes.dedup();
    if crashes.is_empty() {
        let refusals = history.request_lines.iter().filter(|l| l.event() == "quarantine_refusal");
        let ends = refusals.flat_map(Line::ends);
        crashes = ends.map(|(upstream, host)| (upstream, host, String::new())).collect();
    }
    let is_refusal = |line: &&Line| line.event() == "quarantine_refusal";
    let refusals = history.request_lines.iter().filter(is_refusal);
    let keys: Vec<_> = refusals.filter_map(|line| line.text("key")).collect();
    let is_trial_running = reason == "trial_running";
    Cause::Quarantined { crashes, is_prompt_part: keys.contains(&"prompt_part"), is_trial_running }
}

fn grant_lines(history: &History) -> impl DoubleEndedIterator<Item = &Line> {
    history.request_lines.iter().filter(|line| line.event() == "place")
}

fn answered_cause(history: &History, last: &Line) -> Cause {
    if last.text("late") == Some("pause") {
        return Cause::Paused {
            upstream: last.text("upstream").unwrap_or_default().to_owned(),
            gap_ms: last.number("longest_gap_ms").unwrap_or(0),
            beside: prompts_beside(history, last),
        };
    }
    let queue_ms = last.number("queue_ms").unwrap_or(0);
    let first_ms = last.number("first_ms").unwrap_or(0);
    if queue_ms as f64 >= first_ms as f64 * LONG_WAIT_FRACTION {
        let adapter_status = grant_lines(history).next_back().and_then(|line| line.text("warmth"));
        return Cause::WaitedForGrant {
            queue_ms,
            adapter_status: adapter_status.map(str::to_owned),
        };
    }
    let upstream = last.text("upstream").unwrap_or_default().to_owned();
    Cause::SlowUpstream { upstream, served_ms: first_ms - queue_ms }
}

/// Returns the other requests that were granted on the same engine while an answer went on.
fn prompts_beside(history: &History, last: &Line) -> Vec<String> {
    let is_beside = |line: &&Line| {
        line.event() == "place"
            && line.text("outcome") == Some("granted")
            && line.text("engine") == last.text("upstream")
    };
    let granted = history.context_lines.iter().filter(is_beside);
    granted.filter_map(|line| line.text("request").map(str::to_owned)).collect()
}

fn unsent_cause(history: &History) -> Cause {
    let refusals = grant_lines(history).filter(|line| line.text("outcome") == Some("refused"));
    let (mut refusal_count, mut waiting) = (0, 0);
    for refusal in refusals {
        refusal_count += 1;
        waiting = refusal.number("waiting").unwrap_or(0);
    }
    if refusal_count > 0 {
        return Cause::GrantRefused { refusals: refusal_count, waiting };
    }
    let is_not_run = |line: &&Line| line.text("outcome") == Some("not_run");
    let refusal = history.request_lines.iter().rev().find(is_not_run);
    match refusal.and_then(|line| line.text("upstream")) {
        Some(upstream) => Cause::UpstreamFull { upstream: upstream.to_owned() },
        None => Cause::NoOwner,
    }
}

fn body_end(line: &Line) -> Option<(String, String)> {
    Some((line.text("framing")?.to_owned(), line.text("ending")?.to_owned()))
}

fn lost_cause(history: &History, last: &Line) -> Cause {
    let upstream = last.text("upstream").unwrap_or_default();
    let mut attempts = history.request_lines.iter().rev().filter(|line| line.event() == "attempt");
    let outcome = attempts.next().and_then(|line| line.text("outcome"));
    let outcome = outcome.or_else(|| last.text("reason")).unwrap_or_default();
    let new_state = history.context_lines.iter().find_map(|line| match line.event() {
        "ejected" if line.text("upstream") == Some(upstream) => Some("ejected"),
        "upstream" if line.text("upstream") == Some(upstream) => {
            line.text("state").filter(|state| *state != "ready")
        }
        _ => None,
    });
    Cause::UpstreamLost {
        upstream: upstream.to_owned(),
        outcome: outcome.to_owned(),
        body: body_end(last),
        new_state: new_state.map(str::to_owned),
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WaitedForGrant { queue_ms, adapter_status: Some(status) } => {
                write!(f, "waited {queue_ms} ms for a place; its adapter was {status}")
            }
            Self::WaitedForGrant { queue_ms, adapter_status: None } => {
                write!(f, "waited {queue_ms} ms before it was sent")
            }
            Self::SlowUpstream { upstream, served_ms } => {
                write!(f, "upstream {upstream} took {served_ms} ms to its first part")
            }
            Self::Paused { upstream, gap_ms, beside } => {
                write!(f, "upstream {upstream} paused for {gap_ms} ms between two parts")?;
                match beside.len() {
                    0 => Ok(()),
                    _ => write!(f, "; it read the prompts of {} then", beside.join(", ")),
                }
            }
            Self::GrantRefused { refusals, waiting } => {
                write!(f, "owners of {refusals} engines refused it; {waiting} waited at the last")
            }
            Self::UpstreamFull { upstream } => {
                write!(f, "upstream {upstream} was full and did not run it")
            }
            Self::NoOwner => write!(f, "no owner of its engines could be asked"),
            Self::UpstreamLost { upstream, outcome, body, new_state } => {
                write!(f, "upstream {upstream} was lost ({outcome})")?;
                if let Some((framing, ending)) = body {
                    write!(f, "; the body of its answer, framed by {framing}, was {ending}")?;
                }
                match new_state {
                    Some(state) => write!(f, "; it was {state} then"),
                    None => Ok(()),
                }
            }
            Self::UpstreamFailed { upstream, status } => {
                write!(f, "upstream {upstream} answered {status} itself")
            }
            Self::Quarantined { crashes, is_prompt_part, is_trial_running } => {
                let what = if *is_prompt_part { "a part of its prompt" } else { "it" };
                write!(f, "{what} ran when upstreams ended (")?;
                for (index, (upstream, host, request)) in crashes.iter().enumerate() {
                    let separator = if index == 0 { "" } else { ", " };
                    write!(f, "{separator}{upstream} seen by {host}")?;
                    if !request.is_empty() {
                        write!(f, " as {request}")?;
                    }
                }
                let outcome = if *is_trial_running { "; a trial was running" } else { "" };
                write!(f, "){outcome}")
            }
            Self::OverQuota {
                workspace,
                cost,
                credit_used,
                issuer: (issuer, age_ms),
                again_ms,
            } => {
                write!(f, "the quota of workspace {workspace} had no room for {cost} units; ")?;
                write!(f, "its host had used {credit_used} on credit, and ")?;
                match age_ms {
                    Some(age_ms) => write!(f, "issuer {issuer} replied {age_ms} ms before")?,
                    None => write!(f, "no issuer had replied")?,
                }
                write!(f, "; retry after {again_ms} ms")
            }
            Self::KeyRefused { reason, config_age_ms } => {
                f.write_str(match reason.as_str() {
                    "key_missing" => "it had no key, and its route is not public",
                    "key_malformed" => "it had several keys or a malformed one",
                    "key_unknown" => "no workspace has its key",
                    "key_maybe_added" => "its key was unknown, but may have been added since",
                    "key_maybe_revoked" => "its key may have been revoked since",
                    "key_moved" => "its key moved to another workspace while it waited",
                    "workspace_invalid" => "the entry of its workspace is invalid",
                    other => other,
                })?;
                match config_age_ms {
                    Some(age_ms) => write!(f, "; the configuration was {age_ms} ms old"),
                    None => write!(f, "; the store had not confirmed the configuration"),
                }
            }
            Self::CallerLeft { total_ms } => write!(f, "the caller left after {total_ms} ms"),
            Self::MemoryShort { gave_way: false } => {
                write!(f, "its host had no memory left for callers; it did not run")
            }
            Self::MemoryShort { gave_way: true } => {
                write!(f, "its body gave way to others while it arrived; it did not run")
            }
            Self::AnswerUnread => write!(f, "its caller did not read the answer"),
            Self::Refused { reason } => write!(f, "refused by this system: {reason}"),
            Self::Unknown => write!(f, "no line tells its end"),
        }
    }
}
