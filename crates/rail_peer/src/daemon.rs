//! Start-up steps that all daemons share.

use crate::{PeerClient, error};
use flexi_logger::LoggerHandle;
use rail_runtime::{FleetSettings, LiveKeys, Metrics, ShutdownSignal, keys, logs, start_logging};
use std::fmt;

/// Why a daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Setting up logging failed.
    #[error(transparent)]
    Log(#[from] logs::LogError),
    /// Installing a signal handler failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Reading or watching the keys failed.
    #[error(transparent)]
    Keys(#[from] keys::Error),
    /// Opening the endpoint for peer links failed.
    #[error(transparent)]
    Peer(#[from] error::Error),
}

/// The common parts of a running daemon.
pub struct Daemon {
    /// Settings from the command line and the environment.
    pub settings: FleetSettings,
    /// Resolves when the process must shut down.
    pub stop: ShutdownSignal,
    /// Registry for the metrics of the process.
    pub metrics: Metrics,
    /// TLS keys, reloaded when their files change.
    pub keys: LiveKeys,
    /// Client side of the links to peers.
    pub peers: PeerClient,
    /// Kept because dropping it stops logging.
    _logger: LoggerHandle,
}

impl fmt::Debug for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Daemon {
    /// Reads settings and keys, starts logging and opens the peer client. Exits the process if the
    /// settings are invalid.
    ///
    /// # Errors
    /// Fails when the keys can't be read, or logging, signals or the peer client can't be set up.
    pub fn open() -> Result<Self, StartError> {
        let settings = FleetSettings::load_or_exit();
        let logger = start_logging(&settings.log_level, settings.log_format)?;
        let stop = ShutdownSignal::listen()?;
        let metrics = Metrics::default();
        let keys = LiveKeys::spawn(&settings.ca, &settings.cert, &settings.key, &metrics)?;
        let peers = PeerClient::open(settings.ip, &keys.current())?.with_metrics(&metrics);
        peers.follow_keys(&keys);
        Ok(Self { settings, stop, metrics, keys, peers, _logger: logger })
    }
}
