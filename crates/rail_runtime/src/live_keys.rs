//! Keys that follow their files, so that rotation needs no restart.

use crate::{
    keys::{Keys, Result},
    metrics::{Metrics, ReasonCounters},
};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Interval between looks at the key files.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Where the keys of a process come from: files, or PEM text.
#[derive(Debug, Clone)]
struct KeySources {
    ca: String,
    cert: String,
    key: String,
}

impl KeySources {
    fn read(&self, refused: &ReasonCounters) -> Result<Keys> {
        let keys =
            Keys::load(&self.ca, &self.cert, &self.key)?.with_refusal_counters(refused.clone());
        // Files that are replaced one after another do not fit each other for a moment.
        keys.server_config(b"")?;
        keys.client_config(b"")?;
        Ok(keys)
    }
}

/// Keys of a process, read again when their files change; clones share them.
#[derive(Debug, Clone)]
pub struct LiveKeys {
    current: Arc<watch::Sender<Keys>>,
}

impl LiveKeys {
    /// Reads the keys and starts following their files.
    ///
    /// Keys that are not usable are counted and leave the former ones in force.
    ///
    /// # Errors
    /// Fails when the keys are not usable at the start.
    pub fn spawn(ca: &str, cert: &str, key: &str, metrics: &Metrics) -> Result<Self> {
        let sources = KeySources { ca: ca.to_owned(), cert: cert.to_owned(), key: key.to_owned() };
        let refused = metrics.reason_counters("tls_refusals", "Client certificates refused");
        let reloads =
            metrics.reason_counters("tls_key_reloads", "Looks at changed key files, by result");
        let current = Arc::new(watch::Sender::new(sources.read(&refused)?));
        let live = Self { current };
        let task = live.clone();
        tokio::spawn(async move {
            let mut is_usable = true;
            loop {
                tokio::time::sleep(READ_INTERVAL).await;
                is_usable = task.read_again(&sources, &refused, &reloads, is_usable);
            }
        });
        Ok(live)
    }

    /// Gives the keys in force.
    pub fn current(&self) -> Keys {
        self.current.borrow().clone()
    }

    /// Follows changes of the keys.
    pub fn subscribe(&self) -> watch::Receiver<Keys> {
        self.current.subscribe()
    }

    fn read_again(
        &self,
        sources: &KeySources,
        refused: &ReasonCounters,
        reloads: &ReasonCounters,
        was_usable: bool,
    ) -> bool {
        match sources.read(refused) {
            Ok(keys) => {
                if *self.current.borrow() != keys {
                    reloads.count("replaced");
                    log::info!("keys were replaced");
                    self.current.send_replace(keys);
                }
                true
            }
            Err(error) => {
                reloads.count("not_usable");
                if was_usable {
                    log::warn!("key files are not usable, the former keys stay in force: {error}");
                }
                false
            }
        }
    }
}
