//! Measures the slopes behind docs/CAPACITY.md.
//!
//! Each command measures one cost of control against its size, in one process
//! and without a network: [`registry`] the configuration, [`heartbeats`] the
//! exchange between processes, [`ownership`] sessions and owners,
//! [`placement`] the choice of an engine.

mod heartbeats;
mod memory;
mod ownership;
mod placement;
mod registry;

use gumdrop::Options;

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("no command; see --help")]
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
    /// the configuration in memory, stored, and as read for one change
    Registry(RegistryCommand),
    /// bytes and time of heartbeat lists
    Heartbeats(ProcessesCommand),
    /// writes and time of sessions and ownership
    Ownership(OwnershipCommand),
    /// time to rank engines for one request
    Placement(PlacementCommand),
}

#[derive(Debug, Options)]
struct RegistryCommand {
    /// print this help
    help: bool,
    /// adapters
    #[options(default = "180000")]
    adapters: usize,
    /// upstreams
    #[options(default = "1700")]
    upstreams: usize,
}

#[derive(Debug, Options)]
struct ProcessesCommand {
    /// print this help
    help: bool,
    /// processes in one list
    #[options(default = "1140")]
    processes: usize,
    /// engines named by each scheduler
    #[options(default = "5")]
    owned: usize,
}

#[derive(Debug, Options)]
struct OwnershipCommand {
    /// print this help
    help: bool,
    /// hosts
    #[options(default = "380")]
    hosts: usize,
    /// engines
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
    /// engines
    #[options(default = "1700")]
    engines: usize,
    /// adapters to look up
    #[options(default = "2000")]
    lookups: usize,
}

fn main() {
    if let Err(error) = run(Flags::parse_args_default_or_exit()) {
        eprintln!("tarragon-measure: {error}");
        std::process::exit(2);
    }
}

fn run(flags: Flags) -> Result<()> {
    match flags.command {
        Some(Command::Registry(c)) => registry::measure(c.adapters, c.upstreams),
        Some(Command::Heartbeats(c)) => heartbeats::measure(c.processes, c.owned),
        Some(Command::Ownership(c)) => ownership::measure(c.hosts, c.engines, c.ttl_ms),
        Some(Command::Placement(c)) => {
            placement::measure(c.engines, c.lookups);
            Ok(())
        }
        None => Err(Error::Usage),
    }
}

/// Prints one figure.
fn print(name: &str, value: impl std::fmt::Display) {
    println!("{name:<44} {value}");
}
