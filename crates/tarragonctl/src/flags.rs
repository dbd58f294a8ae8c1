//! Flags and commands.

use gumdrop::Options;

/// Command line of the tool.
#[derive(Debug, Options)]
pub struct Flags {
    /// print this help
    pub help: bool,
    /// print the version
    #[options(no_short)]
    pub version: bool,
    /// operator RPC of any entry host, as IP:port (variable `TARRAGON_ADMIN`)
    #[options(no_short)]
    pub admin: Option<String>,
    /// authority certificate (variable `TARRAGON_CA`)
    #[options(no_short)]
    pub ca: Option<String>,
    /// operator certificate (variable `TARRAGON_CERT`)
    #[options(no_short)]
    pub cert: Option<String>,
    /// operator key (variable `TARRAGON_KEY`)
    #[options(no_short)]
    pub key: Option<String>,
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// register a base model
    Base(BaseCommand),
    /// register an adapter, with its versions if any are named
    Adapter(AdapterCommand),
    /// register or replace an upstream
    Upstream(UpstreamCommand),
    /// set the urgency of requests that name none
    Urgency(UrgencyCommand),
    /// mark an upstream as leaving, or live again
    Drain(DrainCommand),
    /// list what is configured
    List(ListCommand),
    /// show each process with its generation
    Status(StatusCommand),
    /// make the keys of a fleet
    Keys(KeysCommand),
}

/// Registers a base model.
#[derive(Debug, Options)]
pub struct BaseCommand {
    /// print this help
    pub help: bool,
    /// name
    #[options(free, required)]
    pub base: String,
    /// urgent or deferrable
    #[options(default = "urgent")]
    pub urgency: String,
    /// generation that must stand
    pub expect: Option<u64>,
}

/// Registers an adapter and versions.
#[derive(Debug, Options)]
pub struct AdapterCommand {
    /// print this help
    pub help: bool,
    /// base model
    #[options(required)]
    pub base: String,
    /// adapter, then versions
    #[options(free)]
    pub names: Vec<String>,
    /// generation that must stand
    pub expect: Option<u64>,
}

/// Registers an upstream.
#[derive(Debug, Options)]
pub struct UpstreamCommand {
    /// print this help
    pub help: bool,
    /// name
    #[options(free, required)]
    pub name: String,
    /// engine or service
    #[options(required)]
    pub kind: String,
    /// base model of an engine, or name of the service
    #[options(required)]
    pub group: String,
    /// IP:port
    #[options(required)]
    pub address: String,
    /// availability zone
    #[options(required)]
    pub zone: String,
    /// adapter slots
    #[options(no_short, default = "0")]
    pub slots: u32,
    /// requests at once
    #[options(no_short, default = "8")]
    pub batch: u32,
    /// it refuses orders with an old fencing number
    #[options(no_short)]
    pub checks_fencing: bool,
    /// generation that must stand
    pub expect: Option<u64>,
}

/// Sets the default urgency.
#[derive(Debug, Options)]
pub struct UrgencyCommand {
    /// print this help
    pub help: bool,
    /// base model
    #[options(free, required)]
    pub base: String,
    /// urgent or deferrable
    #[options(required)]
    pub urgency: String,
    /// generation that must stand
    pub expect: Option<u64>,
}

/// Drains an upstream.
#[derive(Debug, Options)]
pub struct DrainCommand {
    /// print this help
    pub help: bool,
    /// upstream
    #[options(free, required)]
    pub name: String,
    /// mark as live again
    pub undo: bool,
    /// generation that must stand
    pub expect: Option<u64>,
}

/// Lists the configuration.
#[derive(Debug, Options)]
pub struct ListCommand {
    /// print this help
    pub help: bool,
}

/// Shows processes.
#[derive(Debug, Options)]
pub struct StatusCommand {
    /// print this help
    pub help: bool,
    /// print JSON
    pub json: bool,
    /// wait until this generation is in force on each process
    pub wait: Option<u64>,
}

/// Makes keys.
#[derive(Debug, Options)]
pub struct KeysCommand {
    /// print this help
    pub help: bool,
    /// folder to write to
    #[options(required)]
    pub out: String,
    /// names of hosts and operators
    #[options(free)]
    pub names: Vec<String>,
}

/// How to reach the server.
#[derive(Debug)]
pub struct Connection {
    /// Address of the operator RPC.
    pub admin: Option<String>,
    /// Authority certificate.
    pub ca: Option<String>,
    /// Operator certificate.
    pub cert: Option<String>,
    /// Operator key.
    pub key: Option<String>,
}
