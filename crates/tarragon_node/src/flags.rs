//! Command line flags.

use gumdrop::Options;

/// Default port of the metrics listener.
pub const DEFAULT_METRICS_PORT: u16 = 9464;

/// Command line flags; all other settings come from the platform's settings file.
#[derive(Debug, Options)]
pub struct NodeFlags {
    /// print this help
    pub help: bool,
    /// print the version
    #[options(no_short)]
    pub version: bool,
    /// check the settings and exit
    #[options(no_short)]
    pub check: bool,
    /// port of the metrics listener, 0 for none
    #[options(no_short, default_expr = "DEFAULT_METRICS_PORT")]
    pub metrics_port: u16,
}
