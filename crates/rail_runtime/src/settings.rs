//! Settings from flags and environment variables, checked before a daemon starts.
//!
//! Each flag has a variable: `--session-ttl-ms` is `TARRAGON_SESSION_TTL_MS`. The flag takes
//! precedence. All errors are reported together.

use crate::logs::LogFormat;
use gumdrop::Options;
use std::{
    net::{IpAddr, SocketAddr},
    str::FromStr,
    time::Duration,
};

/// Exit code of a daemon whose settings are missing or not valid.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingErrors>;

/// Error of one setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// A setting without a default has neither a flag nor a variable.
    #[error("--{name} (or {variable}) is required")]
    Missing {
        /// Name of the flag, without dashes.
        name: &'static str,
        /// Name of the environment variable.
        variable: String,
    },
    /// The value does not parse or is out of range.
    #[error("--{name}: {value:?} is not valid: {reason}")]
    Invalid {
        /// Name of the flag, without dashes.
        name: &'static str,
        /// Value as set by the operator.
        value: String,
        /// Reason why the value was rejected.
        reason: String,
    },
}

/// Errors of all settings that are missing or not valid.
#[derive(Debug, thiserror::Error)]
#[error("{} setting(s) not valid", .0.len())]
pub struct SettingErrors(pub Vec<SettingError>);

/// Parses settings from flags and environment variables and collects their errors.
///
/// A setting with an error yields a default value, so that the remaining ones are checked as well;
/// [`SettingReader::finish`] then returns the errors.
#[derive(Debug, Default)]
pub struct SettingReader {
    errors: Vec<SettingError>,
}

impl SettingReader {
    /// Reads a setting that must be set.
    pub fn required<T: FromStr<Err: ToString> + Default>(
        &mut self,
        name: &'static str,
        flag: Option<String>,
    ) -> T {
        let variable = variable_name(name);
        if let Some(value) = flag.or_else(|| std::env::var(&variable).ok()) {
            return self.parse(name, value);
        }
        self.errors.push(SettingError::Missing { name, variable });
        T::default()
    }

    /// Reads a setting, or returns `default` if it is not set.
    pub fn optional<T: FromStr<Err: ToString> + Default>(
        &mut self,
        name: &'static str,
        flag: Option<String>,
        default: T,
    ) -> T {
        match flag.or_else(|| std::env::var(variable_name(name)).ok()) {
            Some(value) => self.parse(name, value),
            None => default,
        }
    }

    /// Records an error unless `is_valid`.
    pub fn check(&mut self, is_valid: bool, name: &'static str, value: &str, reason: &str) {
        if !is_valid {
            self.errors.push(SettingError::Invalid {
                name,
                value: value.to_owned(),
                reason: reason.to_owned(),
            });
        }
    }

    /// Finishes reading.
    ///
    /// # Errors
    /// Returns every error recorded by this reader.
    pub fn finish(self) -> Result<()> {
        if self.errors.is_empty() { Ok(()) } else { Err(SettingErrors(self.errors)) }
    }

    fn parse<T: FromStr<Err: ToString> + Default>(
        &mut self,
        name: &'static str,
        value: String,
    ) -> T {
        match value.parse() {
            Ok(parsed) => parsed,
            Err(error) => {
                self.errors.push(SettingError::Invalid { name, value, reason: error.to_string() });
                T::default()
            }
        }
    }
}

fn variable_name(flag: &str) -> String {
    format!("TARRAGON_{}", flag.replace('-', "_").to_uppercase())
}

/// Flags of the daemons of an entry host.
#[derive(Debug, Options)]
pub struct FleetFlags {
    /// print this help
    pub help: bool,
    /// print the version
    #[options(no_short)]
    pub version: bool,
    /// check the settings and exit
    #[options(no_short)]
    pub check: bool,
    /// name of this host
    #[options(no_short)]
    pub host: Option<String>,
    /// availability zone of this host
    #[options(no_short)]
    pub zone: Option<String>,
    /// IP address that this host listens on and is reached at
    #[options(no_short)]
    pub ip: Option<String>,
    /// port of the caller API (8080)
    #[options(no_short)]
    pub caller_port: Option<String>,
    /// UDP port of the scheduler's peer endpoint (7402)
    #[options(no_short)]
    pub peer_port: Option<String>,
    /// port of the operator RPC (7403)
    #[options(no_short)]
    pub operator_port: Option<String>,
    /// port of the scheduler's metrics (7404)
    #[options(no_short)]
    pub metrics_port: Option<String>,
    /// port of the admin process's metrics (7405)
    #[options(no_short)]
    pub admin_metrics_port: Option<String>,
    /// address of the platform object API, as IP:port
    #[options(no_short)]
    pub platform: Option<String>,
    /// peer endpoints to contact first, as IP:port, separated by commas (none)
    #[options(no_short)]
    pub peers: Option<String>,
    /// authority certificate: PEM file or PEM text
    #[options(no_short)]
    pub ca: Option<String>,
    /// certificate of this host: PEM file or PEM text
    #[options(no_short)]
    pub cert: Option<String>,
    /// private key of this host: PEM file or PEM text
    #[options(no_short)]
    pub key: Option<String>,
    /// session time to live in milliseconds (3000)
    #[options(no_short)]
    pub session_ttl_ms: Option<String>,
    /// interval between heartbeats in milliseconds (500)
    #[options(no_short)]
    pub heartbeat_ms: Option<String>,
    /// time for which callers may use a list of entry hosts, in milliseconds (5000)
    #[options(no_short)]
    pub entry_lifetime_ms: Option<String>,
    /// time for which claims of keyed requests are kept, in milliseconds (3600000)
    #[options(no_short)]
    pub claim_retention_ms: Option<String>,
    /// time for which records of ended sessions are kept, in milliseconds (60000)
    #[options(no_short)]
    pub session_retention_ms: Option<String>,
    /// placement policy: rendezvous, hash-lru, hash-lfu, least-loaded or no-permits
    #[options(no_short)]
    pub policy: Option<String>,
    /// admission policy: deadline or first-come (deadline)
    #[options(no_short)]
    pub admission: Option<String>,
    /// weights of load stalls and full batches in placement (1,1)
    #[options(no_short)]
    pub weights: Option<String>,
    /// log level specification (info)
    #[options(no_short)]
    pub log_level: Option<String>,
    /// log format: json or text (json)
    #[options(no_short)]
    pub log_format: Option<String>,
}

/// Validated settings of a daemon.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Name of this host, as announced in heartbeats.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// IP address that this host listens on and is reached at.
    pub ip: IpAddr,
    /// Port of the caller API.
    pub caller_port: u16,
    /// Port of the scheduler's peer endpoint.
    pub peer_port: u16,
    /// Port of the operator RPC.
    pub operator_port: u16,
    /// Port of the scheduler's metrics.
    pub metrics_port: u16,
    /// Port of the admin process's metrics.
    pub admin_metrics_port: u16,
    /// Address of the platform object API.
    pub platform: SocketAddr,
    /// Peer endpoints to contact first after a start.
    pub peers: Vec<SocketAddr>,
    /// Authority certificates: path of a PEM file or PEM text.
    pub ca: String,
    /// Host certificate: path of a PEM file or PEM text.
    pub cert: String,
    /// Private key of this host: path of a PEM file or PEM text.
    pub key: String,
    /// Time to live of the session record of this host.
    pub session_ttl: Duration,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time for which callers may use a list of entry hosts.
    pub entry_lifetime: Duration,
    /// Time for which claims of keyed requests are kept.
    pub claim_retention: Duration,
    /// Time for which records of ended sessions are kept.
    pub session_retention: Duration,
    /// Name of the placement policy.
    pub policy: String,
    /// Name of the admission policy.
    pub admission: String,
    /// Weights of load stalls and full batches in placement, separated by a comma.
    pub weights: String,
    /// Log level specification, as `flexi_logger` parses it.
    pub log_level: String,
    /// Format of log lines.
    pub log_format: LogFormat,
}

impl FleetSettings {
    /// Returns the settings of this process.
    ///
    /// Prints the outcome and exits on `--help`, `--version` and `--check`, and on errors with
    /// [`EXIT_BAD_SETTINGS`].
    pub fn load_or_exit() -> Self {
        let flags = FleetFlags::parse_args_default_or_exit();
        if flags.version {
            println!("{}", env!("CARGO_PKG_VERSION"));
            std::process::exit(0);
        }
        let only_check = flags.check;
        match Self::from_flags(flags) {
            Ok(_) if only_check => {
                println!("settings are valid");
                std::process::exit(0);
            }
            Ok(settings) => settings,
            Err(errors) => exit_with_errors(&errors),
        }
    }

    /// Reads and checks the settings from flags and environment variables.
    ///
    /// # Errors
    /// Returns the errors of all settings.
    pub fn from_flags(flags: FleetFlags) -> Result<Self> {
        let mut reader = SettingReader::default();
        let log_format: String = reader.optional("log-format", flags.log_format, "json".to_owned());
        reader.check(
            matches!(log_format.as_str(), "json" | "text"),
            "log-format",
            &log_format,
            "expected json or text",
        );
        let session_ttl_ms = reader.optional("session-ttl-ms", flags.session_ttl_ms, 3000_u64);
        let heartbeat_ms = reader.optional("heartbeat-ms", flags.heartbeat_ms, 500_u64);
        reader.check(
            heartbeat_ms > 0 && session_ttl_ms >= 2 * heartbeat_ms,
            "session-ttl-ms",
            &session_ttl_ms.to_string(),
            "expected at least twice the heartbeat interval, which must not be 0",
        );
        let ip: ParsedIp = reader.required("ip", flags.ip);
        let platform: ParsedSocket = reader.required("platform", flags.platform);
        let entry_lifetime_ms =
            reader.optional("entry-lifetime-ms", flags.entry_lifetime_ms, 5000_u64);
        let claim_retention_ms =
            reader.optional("claim-retention-ms", flags.claim_retention_ms, 3_600_000_u64);
        let session_retention_ms =
            reader.optional("session-retention-ms", flags.session_retention_ms, 60_000_u64);
        let settings = Self {
            host: reader.required("host", flags.host),
            zone: reader.required("zone", flags.zone),
            ip: ip.0,
            caller_port: reader.optional("caller-port", flags.caller_port, 8080),
            peer_port: reader.optional("peer-port", flags.peer_port, 7402),
            operator_port: reader.optional("operator-port", flags.operator_port, 7403),
            metrics_port: reader.optional("metrics-port", flags.metrics_port, 7404),
            admin_metrics_port: reader.optional(
                "admin-metrics-port",
                flags.admin_metrics_port,
                7405,
            ),
            platform: platform.0,
            peers: reader.optional("peers", flags.peers, ParsedSockets::default()).0,
            ca: reader.required("ca", flags.ca),
            cert: reader.required("cert", flags.cert),
            key: reader.required("key", flags.key),
            session_ttl: Duration::from_millis(session_ttl_ms),
            heartbeat: Duration::from_millis(heartbeat_ms),
            entry_lifetime: Duration::from_millis(entry_lifetime_ms),
            claim_retention: Duration::from_millis(claim_retention_ms),
            session_retention: Duration::from_millis(session_retention_ms),
            policy: reader.optional("policy", flags.policy, "rendezvous".to_owned()),
            admission: reader.optional("admission", flags.admission, "deadline".to_owned()),
            weights: reader.optional("weights", flags.weights, "1,1".to_owned()),
            log_level: reader.optional("log-level", flags.log_level, "info".to_owned()),
            log_format: if log_format == "text" { LogFormat::Text } else { LogFormat::Json },
        };
        reader.finish()?;
        Ok(settings)
    }

    /// Returns the peer endpoints to contact first, including the scheduler of this host.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let own = SocketAddr::new(self.ip, self.peer_port);
        self.peers.iter().copied().chain([own]).collect()
    }
}

/// Prints each error to standard error and exits with [`EXIT_BAD_SETTINGS`].
pub fn exit_with_errors(errors: &SettingErrors) -> ! {
    for error in &errors.0 {
        eprintln!("{error}");
    }
    std::process::exit(EXIT_BAD_SETTINGS);
}

/// `IpAddr` with the default that [`SettingReader`] requires.
#[derive(Debug)]
struct ParsedIp(IpAddr);

impl Default for ParsedIp {
    fn default() -> Self {
        Self(IpAddr::from([0, 0, 0, 0]))
    }
}

impl FromStr for ParsedIp {
    type Err = std::net::AddrParseError;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// Socket addresses separated by commas.
#[derive(Debug, Default)]
struct ParsedSockets(Vec<SocketAddr>);

impl FromStr for ParsedSockets {
    type Err = std::net::AddrParseError;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        let parts = s.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<std::result::Result<_, _>>().map(Self)
    }
}

/// `SocketAddr` with the default that [`SettingReader`] requires.
#[derive(Debug)]
struct ParsedSocket(SocketAddr);

impl Default for ParsedSocket {
    fn default() -> Self {
        Self(SocketAddr::from(([0, 0, 0, 0], 0)))
    }
}

impl FromStr for ParsedSocket {
    type Err = std::net::AddrParseError;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}
