//! Graceful shutdown on SIGTERM or SIGINT.

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Notifies the tasks of a process that it is shutting down; clones share the state.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    sender: watch::Sender<bool>,
}

impl ShutdownSignal {
    /// Creates a signal that only [`ShutdownSignal::trigger`] sets.
    pub fn new() -> Self {
        Self { sender: watch::Sender::new(false) }
    }

    /// Creates a signal that SIGTERM and SIGINT trigger.
    ///
    /// # Errors
    /// Returns an error if a signal handler cannot be installed.
    pub fn listen() -> std::io::Result<Self> {
        let shutdown = Self::new();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let on_signal = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            on_signal.trigger();
        });
        Ok(shutdown)
    }

    /// Marks the process as shutting down.
    pub fn trigger(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the process is shutting down.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // `self` owns the sender, so the channel cannot close during the wait.
        let _closed = receiver.wait_for(|stopping| *stopping).await;
    }
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self::new()
    }
}
