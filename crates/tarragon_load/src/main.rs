//! Command line of the load generator and placement benchmark.

use gumdrop::Options;
use rail_place::{InvalidWeights, Objective, UnknownPolicy};
use std::{fs, time::Duration};
use tarragon_load::{
    compare,
    flags::{Command, CompareFlags, Flags, ReplayFlags, RunFlags},
    page,
    profile::{Profile, Shift, UnknownName},
    replay::replay,
    report::{self, Method, Report},
    run::run,
    trace,
};

/// Policies that are replayed if `--policy` is not given.
const ALL_POLICIES: [&str; 5] =
    ["rendezvous", "hash-lru", "hash-lfu", "least-loaded", "no-permits"];
/// Exit code of a wrong command line, and of every other failure.
const EXIT_USAGE: i32 = 2;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Name(#[from] UnknownName),
    #[error(transparent)]
    Policy(#[from] UnknownPolicy),
    #[error(transparent)]
    Weights(#[from] InvalidWeights),
    #[error(transparent)]
    Trace(#[from] trace::Error),
    #[error(transparent)]
    Report(#[from] report::Error),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

type Result<T> = std::result::Result<T, Error>;

#[actix_rt::main]
async fn main() {
    let flags = Flags::parse_args_default_or_exit();
    let result = match flags.command {
        Some(Command::Run(flags)) => run_fleet(flags).await,
        Some(Command::Replay(flags)) => replay_policies(&flags),
        Some(Command::Compare(flags)) => compare_reports(&flags),
        None => {
            eprintln!("{}", Flags::usage());
            std::process::exit(EXIT_USAGE);
        }
    };
    if let Err(error) = result {
        eprintln!("{error}");
        std::process::exit(EXIT_USAGE);
    }
}

async fn run_fleet(flags: RunFlags) -> Result<()> {
    let mut profile: Profile = flags.profile.parse()?;
    let shift: Shift = flags.shift.parse()?;
    profile.adapters = flags.adapters.unwrap_or(profile.adapters);
    profile.warm_up = Duration::ZERO;
    profile.measured = Duration::from_secs(flags.seconds);
    profile.scale_rates(flags.rate);
    if let Some(deadline_s) = flags.deferrable_deadline_s {
        profile.deferrable.deadline = Duration::from_secs(deadline_s);
    }
    let arrivals = trace::arrivals(&profile, shift, flags.seed)?;
    let report = run(flags, profile, shift, &arrivals).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

fn replay_policies(flags: &ReplayFlags) -> Result<()> {
    let mut profile: Profile = flags.profile.parse()?;
    profile.scale_rates(flags.rate);
    let shift: Shift = flags.shift.parse()?;
    let objective = match &flags.weights {
        Some(weights) => weights.parse()?,
        None => Objective::new(profile.weights.0, profile.weights.1)?,
    };
    let seeds = if flags.seed.is_empty() { vec![1] } else { flags.seed.clone() };
    let mut policies: Vec<&str> = flags.policy.iter().map(String::as_str).collect();
    if policies.is_empty() {
        policies.extend(ALL_POLICIES);
    }
    let mut measures = Vec::new();
    for policy in &policies {
        for seed in &seeds {
            eprintln!(
                "replaying profile {}, policy {}, seed {seed} of {seeds:?}",
                profile.name, policy
            );
            let arrivals = trace::arrivals(&profile, shift, *seed)?;
            let policy = (policy.parse()?, *policy);
            measures.push(replay(&profile, shift, &arrivals, policy, objective, *seed)?);
        }
    }
    let report = Report {
        method: Method::ReplayInVirtualTime,
        profile: profile.name.to_owned(),
        shift: flags.shift.clone(),
        sizes: serde_json::to_value(&profile)?,
        measures,
    };
    if let Some(path) = &flags.page {
        fs::write(path, page::render(&report)?)?;
    }
    let json = serde_json::to_string_pretty(&report)?;
    match &flags.out {
        Some(path) => fs::write(path, json)?,
        None => println!("{json}"),
    }
    Ok(())
}

fn compare_reports(flags: &CompareFlags) -> Result<()> {
    let [a, b] = flags.reports.as_slice() else {
        eprintln!("{}", CompareFlags::usage());
        std::process::exit(EXIT_USAGE);
    };
    print!("{}", compare::table(&compare::read_runs(a)?, &compare::read_runs(b)?));
    Ok(())
}
