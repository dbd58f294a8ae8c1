//! Cases of the review: each starts a small deployment, brings one disruption about and decides by
//! what callers and servers see whether a rule held.
//!
//! `stage CASE RECORD`, in the repository. The variable `TROUBLE` = 0 leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod case_added_route;
mod case_return;
mod case_slow_reader;
mod case_take_up;
mod case_two_holders;
mod engine;
mod feed;
mod http;
mod site;

use site::{Record, Verdict};
use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record_path] = args.as_slice() else {
        eprintln!("usage: stage CASE RECORD");
        return ExitCode::from(2);
    };
    let repository = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(record_path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_path}: {error}");
            return ExitCode::from(2);
        }
    };
    let run = match case.as_str() {
        "large-request" => case_added_route::run_large,
        "named-weights" => case_added_route::run_weights,
        "return" => case_return::run,
        "slow-reader" => case_slow_reader::run,
        "two-holders" => case_two_holders::run,
        "take-up" => case_take_up::run,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let result = run(&repository, record.clone(), has_trouble);
    let (line, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&line);
    println!("{line}");
    ExitCode::from(code)
}
