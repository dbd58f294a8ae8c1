//! Flags and commands of the command line; their doc comments are the help texts.

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
    /// authority certificate: PEM file or PEM text (variable `TARRAGON_CA`)
    #[options(no_short)]
    pub ca: Option<String>,
    /// operator certificate: PEM file or PEM text (variable `TARRAGON_CERT`)
    #[options(no_short)]
    pub cert: Option<String>,
    /// operator key: PEM file or PEM text (variable `TARRAGON_KEY`)
    #[options(no_short)]
    pub key: Option<String>,
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the tool.
#[derive(Debug, Options)]
pub enum Command {
    /// register a base model
    Base(BaseCommand),
    /// register an adapter, with its versions if any are named
    Adapter(AdapterCommand),
    /// register or replace an upstream
    Upstream(UpstreamCommand),
    /// set the default urgency of requests to a base model
    Urgency(UrgencyCommand),
    /// mark an upstream as leaving, or live again
    Drain(DrainCommand),
    /// set the load limits of the weight store, shared by all engines
    StoreBudget(StoreBudgetCommand),
    /// show how a fleet file differs from the configuration, and apply it
    Apply(ApplyCommand),
    /// list or release requests that crash their upstreams
    Quarantine(QuarantineCommand),
    /// list the configuration
    List(ListCommand),
    /// show each process with its applied generation
    Status(StatusCommand),
    /// show the history of a request from log files
    Explain(ExplainCommand),
    /// issue the TLS keys of hosts and operators
    Keys(KeysCommand),
    /// print a completion script
    Completion(CompletionCommand),
}

/// Registers a base model.
#[derive(Debug, Options)]
pub struct BaseCommand {
    /// print this help
    pub help: bool,
    /// name of the base model
    #[options(free, required)]
    pub base: String,
    /// default urgency of requests: urgent or deferrable
    #[options(default = "urgent")]
    pub urgency: String,
    /// fail unless this generation is the accepted one
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
    /// name of the adapter, then its versions
    #[options(free)]
    pub names: Vec<String>,
    /// fail unless this generation is the accepted one
    pub expect: Option<u64>,
}

/// Registers an upstream.
#[derive(Debug, Options)]
pub struct UpstreamCommand {
    /// print this help
    pub help: bool,
    /// name of the upstream
    #[options(free, required)]
    pub name: String,
    /// engine or service
    #[options(required)]
    pub kind: String,
    /// base model of an engine, or name of the service
    #[options(required)]
    pub group: String,
    /// address of the upstream, as IP:port
    #[options(required)]
    pub address: String,
    /// availability zone
    #[options(required)]
    pub zone: String,
    /// adapters that an engine can keep loaded
    #[options(no_short, default = "0")]
    pub slots: u32,
    /// requests that the upstream runs at once
    #[options(no_short, default = "8")]
    pub batch: u32,
    /// the engine rejects orders with an outdated fencing number
    #[options(no_short)]
    pub checks_fencing: bool,
    /// fail unless this generation is the accepted one
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
    /// default urgency of requests: urgent or deferrable
    #[options(required)]
    pub urgency: String,
    /// fail unless this generation is the accepted one
    pub expect: Option<u64>,
}

/// Drains an upstream.
#[derive(Debug, Options)]
pub struct DrainCommand {
    /// print this help
    pub help: bool,
    /// name of the upstream
    #[options(free, required)]
    pub name: String,
    /// mark as live again
    pub undo: bool,
    /// fail unless this generation is the accepted one
    pub expect: Option<u64>,
}

/// Sets the store budget.
#[derive(Debug, Options)]
pub struct StoreBudgetCommand {
    /// print this help
    pub help: bool,
    /// loads per second
    #[options(required, no_short)]
    pub loads_per_s: u32,
    /// loads at once at full speed
    #[options(required, no_short)]
    pub at_once: u32,
    /// loads in flight over all engines up to which each runs at full speed
    #[options(required, no_short)]
    pub in_flight: u32,
    /// fail unless this generation is the accepted one
    pub expect: Option<u64>,
}

/// Applies a fleet file.
#[derive(Debug, Options)]
pub struct ApplyCommand {
    /// print this help
    pub help: bool,
    /// fleet file in TOML
    #[options(free, required)]
    pub file: String,
    /// apply the differences that are shown
    pub yes: bool,
}

/// Lists or releases quarantined requests.
#[derive(Debug, Options)]
pub struct QuarantineCommand {
    /// print this help
    pub help: bool,
    #[options(command)]
    pub action: Option<QuarantineAction>,
}

/// Actions on quarantined requests.
#[derive(Debug, Options)]
pub enum QuarantineAction {
    /// list quarantined requests
    List(ListCommand),
    /// release a request, so that it may run again
    Release(ReleaseCommand),
}

/// Releases a request.
#[derive(Debug, Options)]
pub struct ReleaseCommand {
    /// print this help
    pub help: bool,
    /// fingerprint of the request, in hexadecimal
    #[options(free, required)]
    pub fingerprint: String,
}

/// Prints a completion script.
#[derive(Debug, Options)]
pub struct CompletionCommand {
    /// print this help
    pub help: bool,
    /// bash, zsh or fish
    #[options(free, required)]
    pub shell: String,
}

/// Lists the configuration.
#[derive(Debug, Options)]
pub struct ListCommand {
    /// print this help
    pub help: bool,
}

/// Shows the status of all processes.
#[derive(Debug, Options)]
pub struct StatusCommand {
    /// print this help
    pub help: bool,
    /// print JSON
    pub json: bool,
    /// wait until each process has applied this generation
    pub wait: Option<u64>,
    /// timeout of --wait in seconds
    #[options(no_short, default = "30")]
    pub timeout_s: u64,
}

/// Prints the history of a request.
#[derive(Debug, Options)]
pub struct ExplainCommand {
    /// print this help
    pub help: bool,
    /// ID of the request, then log files of all hosts
    #[options(free)]
    pub names: Vec<String>,
}

/// Issues keys.
#[derive(Debug, Options)]
pub struct KeysCommand {
    /// print this help
    pub help: bool,
    /// directory to write to
    #[options(required)]
    pub out: String,
    /// role of the certificates: host, operator or read-only
    #[options(default = "host")]
    pub role: String,
    /// days for which the certificates are valid
    #[options(no_short, default = "365")]
    pub days: u32,
    /// create a new authority and keep trusting the old one
    #[options(no_short)]
    pub new_authority: bool,
    /// names of hosts or operators to issue keys for
    #[options(free)]
    pub names: Vec<String>,
}

/// Address and keys for the connection to the operator RPC; a value of `None` is read from its
/// environment variable instead.
#[derive(Debug)]
pub struct Connection {
    /// Address of the operator RPC, as IP:port.
    pub admin: Option<String>,
    /// Authority certificate: path of a PEM file or PEM text.
    pub ca: Option<String>,
    /// Operator certificate: path of a PEM file or PEM text.
    pub cert: Option<String>,
    /// Operator key: path of a PEM file or PEM text.
    pub key: Option<String>,
}
