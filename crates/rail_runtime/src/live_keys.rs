//! Reloads TLS keys when their files change, so that key rotation needs no restart.

use crate::{
    keys::{Keys, Result},
    metrics::{Metrics, ReasonCounters},
};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Interval between checks of the key files for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Sources of the keys of a process; each is the path of a PEM file or PEM text.
#[derive(Debug, Clone)]
struct KeySources {
    ca: String,
    cert: String,
    key: String,
}

impl KeySources {
    fn load(&self, refusals: &ReasonCounters) -> Result<Keys> {
        let keys =
            Keys::load(&self.ca, &self.cert, &self.key)?.with_refusal_counters(refusals.clone());
        // While files are replaced one after another, certificate and key may not match.
        keys.server_config(&[])?;
        keys.client_config(&[])?;
        Ok(keys)
    }
}

/// Current keys of a process, reloaded when their files change; clones share them.
#[derive(Debug, Clone)]
pub struct LiveKeys {
    current: Arc<watch::Sender<Keys>>,
}

impl LiveKeys {
    /// Loads the keys and starts a task that reloads them when their files change.
    ///
    /// A reload that yields unusable keys is counted, and the previous keys stay in use.
    ///
    /// # Errors
    /// Returns an error if the keys are not usable at the start.
    pub fn spawn(ca: &str, cert: &str, key: &str, metrics: &Metrics) -> Result<Self> {
        let sources = KeySources { ca: ca.to_owned(), cert: cert.to_owned(), key: key.to_owned() };
        let refusals = metrics.reason_counters("tls_refusals", "Client certificates refused");
        let reloads =
            metrics.reason_counters("tls_key_reloads", "Looks at changed key files, by result");
        let current = Arc::new(watch::Sender::new(sources.load(&refusals)?));
        let live_keys = Self { current };
        let reloader = live_keys.clone();
        tokio::spawn(async move {
            let mut is_usable = true;
            loop {
                tokio::time::sleep(RELOAD_INTERVAL).await;
                is_usable = reloader.reload(&sources, &refusals, &reloads, is_usable);
            }
        });
        Ok(live_keys)
    }

    /// Returns the keys for new connections.
    pub fn current(&self) -> Keys {
        self.current.borrow().clone()
    }

    /// Returns a receiver that is notified when the keys are replaced.
    pub fn subscribe(&self) -> watch::Receiver<Keys> {
        self.current.subscribe()
    }

    /// Reloads the keys once; returns whether the sources were usable.
    ///
    /// Logs unusable keys only if the previous reload succeeded (`was_usable`).
    fn reload(
        &self,
        sources: &KeySources,
        refusals: &ReasonCounters,
        reloads: &ReasonCounters,
        was_usable: bool,
    ) -> bool {
        match sources.load(refusals) {
            Ok(keys) => {
                if *self.current.borrow() != keys {
                    reloads.count("replaced");
                    log::info!("TLS keys were replaced after a change of their files");
                    self.current.send_replace(keys);
                }
                true
            }
            Err(error) => {
                reloads.count("not_usable");
                if was_usable {
                    log::warn!("TLS key files are not usable, keeping the previous keys: {error}");
                }
                false
            }
        }
    }
}
