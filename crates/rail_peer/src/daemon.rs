//! What every daemon opens before its own work.

use crate::{PeerClient, error};
use flexi_logger::LoggerHandle;
use rail_runtime::{FleetSettings, LiveKeys, Metrics, ShutdownSignal, keys, logs, start_logging};
use std::fmt;

/// Why a daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Logging can't be set up.
    #[error(transparent)]
    Log(#[from] logs::LogError),
    /// A signal handler can't be set up.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The keys can't be read.
    #[error(transparent)]
    Keys(#[from] keys::Error),
    /// Links to peers can't be opened.
    #[error(transparent)]
    Peer(#[from] error::Error),
}

/// The common parts of a running daemon.
pub struct Daemon {
    /// Settings of the process.
    pub settings: FleetSettings,
    /// Tells when the process must stop.
    pub stop: ShutdownSignal,
    /// Registry of its metrics.
    pub metrics: Metrics,
    /// Its keys, which change while it runs.
    pub keys: LiveKeys,
    /// Links that it dials.
    pub peers: PeerClient,
    /// Logging stops when this drops.
    _logger: LoggerHandle,
}

impl fmt::Debug for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Daemon {
    /// Reads settings and keys, starts logging and opens links; ends the process when settings are
    /// not valid.
    ///
    /// # Errors
    /// Fails when keys can't be read, or logging, signals or links can't be set up.
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
