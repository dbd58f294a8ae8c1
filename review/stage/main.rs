//! Cases of the review that can't be put as a day of the bench.
//!
//! `stage CASE FOLDER` plays a case and writes `record.txt` there. It ends with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 there is no disruption.

mod case_brittle;
mod case_gone;
mod case_late;
mod case_limit;
mod case_memory;
mod case_owner;
mod case_stop;
mod engine;
mod http;
mod json;
mod server;
mod socket;
mod stage;
mod store;

use stage::Record;
use std::{path::Path, process::ExitCode};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(Path::new(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    record.say(&format!(
        "case {case}, {}",
        if has_trouble { "with the disruption" } else { "without it" }
    ));
    let verdict = match case.as_str() {
        "limit" => case_limit::play(&record, has_trouble),
        "brittle" => case_brittle::play(&record, has_trouble),
        "gone" => case_gone::play(&record, has_trouble),
        "owner" => case_owner::play(&record, has_trouble),
        "late" => case_late::play(&record, has_trouble),
        "memory" => case_memory::play(&record, has_trouble),
        "stop" => case_stop::play(&record, has_trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.say(text);
    ExitCode::from(code)
}
