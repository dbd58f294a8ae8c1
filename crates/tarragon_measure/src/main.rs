//! Measures how the control costs in docs/CAPACITY.md grow with the size of the fleet.
//!
//! Each command measures one cost in a single process and without a network: [`registry`] the
//! configuration, [`heartbeats`] the exchange between processes, [`ownership`] sessions and
//! owners, [`placement`] the choice of an engine, [`quarantine`] records of crashing requests,
//! [`workspaces`] keys of workspaces, [`quotas`] charges to quotas,
//! [`account`] the account of memory for callers.

mod account;
mod heartbeats;
mod memory;
mod ownership;
mod placement;
mod quarantine;
mod quotas;
mod registry;
mod workspaces;

use gumdrop::Options;

/// Error of a measurement.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("no command given; see --help")]
    Usage,
    #[error(transparent)]
    Segment(#[from] rail_config::segment::SegmentError),
    #[error(transparent)]
    Postcard(#[from] postcard::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

type Result<T> = std::result::Result<T, Error>;

/// Command line of the tool.
#[derive(Debug, Options)]
struct Flags {
    /// print this help
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// size of the configuration in memory and stored, and the cost of one change
    Registry(RegistryCommand),
    /// size and processing time of heartbeat lists
    Heartbeats(ProcessesCommand),
    /// writes of sessions, and time to assign engines to owners
    Ownership(OwnershipCommand),
    /// time to rank engines for one request
    Placement(PlacementCommand),
    /// records of requests that crash their upstreams
    Quarantine(QuarantineCommand),
    /// time to charge a request to a quota, and messages to the issuer
    Quotas(QuotasCommand),
    /// keys of workspaces, and the time to decide about one
    Workspaces(WorkspacesCommand),
    /// account of the memory that is held for callers
    Account(AccountCommand),
}

#[derive(Debug, Options)]
struct RegistryCommand {
    /// print this help
    help: bool,
    /// number of adapters
    #[options(default = "180000")]
    adapters: usize,
    /// number of upstreams
    #[options(default = "1700")]
    upstreams: usize,
}

#[derive(Debug, Options)]
struct ProcessesCommand {
    /// print this help
    help: bool,
    /// number of processes in one list
    #[options(default = "1140")]
    processes: usize,
    /// number of engines that each scheduler owns
    #[options(default = "5")]
    owned: usize,
}

#[derive(Debug, Options)]
struct OwnershipCommand {
    /// print this help
    help: bool,
    /// number of hosts
    #[options(default = "380")]
    hosts: usize,
    /// number of engines
    #[options(default = "1700")]
    engines: usize,
    /// session time to live in milliseconds
    #[options(default = "3000")]
    ttl_ms: u64,
}

#[derive(Debug, Options)]
struct PlacementCommand {
    /// print this help
    help: bool,
    /// number of engines
    #[options(default = "1700")]
    engines: usize,
    /// number of adapters for which engines are ranked
    #[options(default = "2000")]
    lookups: usize,
}

#[derive(Debug, Options)]
struct QuarantineCommand {
    /// print this help
    help: bool,
    /// number of different crashing requests
    #[options(default = "1024")]
    requests: usize,
}

#[derive(Debug, Options)]
struct QuotasCommand {
    /// print this help
    help: bool,
    /// number of hosts
    #[options(default = "72")]
    hosts: usize,
    /// number of workspaces
    #[options(default = "16")]
    workspaces: usize,
    /// requests a second at each host
    #[options(default = "16.0")]
    requests_per_s: f64,
    /// mean cost of a request in units
    #[options(default = "700.0")]
    mean_cost: f64,
}

#[derive(Debug, Options)]
struct WorkspacesCommand {
    /// print this help
    help: bool,
    /// number of workspaces
    #[options(default = "1000")]
    workspaces: usize,
    /// number of keys of all workspaces
    #[options(default = "100000")]
    keys: usize,
}

#[derive(Debug, Options)]
struct AccountCommand {
    /// print this help
    help: bool,
    /// number of bodies that arrive at the same time
    #[options(default = "200")]
    arrivals: usize,
    /// number of requests
    #[options(default = "1000000")]
    requests: usize,
}

fn main() {
    if let Err(error) = run(Flags::parse_args_default_or_exit()) {
        eprintln!("tarragon-measure: {error}");
        std::process::exit(2);
    }
}

fn run(flags: Flags) -> Result<()> {
    match flags.command {
        Some(Command::Registry(args)) => registry::measure(args.adapters, args.upstreams),
        Some(Command::Heartbeats(args)) => heartbeats::measure(args.processes, args.owned),
        Some(Command::Ownership(args)) => ownership::measure(args.hosts, args.engines, args.ttl_ms),
        Some(Command::Placement(args)) => {
            placement::measure(args.engines, args.lookups);
            Ok(())
        }
        Some(Command::Quarantine(args)) => quarantine::measure(args.requests),
        Some(Command::Quotas(args)) => quotas::measure(quotas::Scale {
            hosts: args.hosts,
            workspaces: args.workspaces,
            requests_per_s: args.requests_per_s,
            mean_cost: args.mean_cost,
        }),
        Some(Command::Workspaces(args)) => workspaces::measure(args.workspaces, args.keys),
        Some(Command::Account(args)) => {
            account::measure(args.arrivals, args.requests);
            Ok(())
        }
        None => Err(Error::Usage),
    }
}

/// Prints the name and the value of one metric as a line.
fn print_metric(name: &str, value: impl std::fmt::Display) {
    println!("{name:<44} {value}");
}
