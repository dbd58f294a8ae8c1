//! Graceful stop on SIGTERM or SIGINT.

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Tells the parts of a process that it is stopping.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    sender: watch::Sender<bool>,
}

impl ShutdownSignal {
    /// Creates a signal that no operating system signal triggers.
    pub fn new() -> Self {
        Self { sender: watch::Sender::new(false) }
    }

    /// Listens for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// Fails when a signal handler can't be installed.
    pub fn listen() -> std::io::Result<Self> {
        let stop = Self::new();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let trigger = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            trigger.trigger();
        });
        Ok(stop)
    }

    /// Marks the process as stopping.
    pub fn trigger(&self) {
        self.sender.send_replace(true);
    }

    /// Reports whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the process is stopping.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _closed = receiver.wait_for(|stopping| *stopping).await;
    }
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self::new()
    }
}
