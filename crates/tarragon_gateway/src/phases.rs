//! Controls the phases of the gateway from startup to graceful shutdown.

use actix_web::dev::ServerHandle;
use prometheus_client::metrics::counter::Counter;
use rail_member::{HostPhase, Phase, PhaseEvent};
use rail_peer::Gossip;
use rail_runtime::{Metrics, ShutdownSignal};
use std::time::Duration;

/// Interval between checks for a fresh configuration while the gateway starts.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Drives the host phase chart of this gateway and announces the phase in heartbeats.
#[derive(Debug)]
pub struct PhaseController {
    host: HostPhase,
    gossip: Gossip,
    undefined_events: Counter,
}

impl PhaseController {
    /// Creates the controller in the initial phase and registers its metric.
    pub fn open(gossip: Gossip, metrics: &Metrics) -> Self {
        let help = "Events that the chart of the host does not define";
        let undefined_events = metrics.counter("gateway_undefined_phase_events", help);
        Self { host: HostPhase::start(), gossip, undefined_events }
    }

    /// Runs all phases: serves until `stop`, keeps serving for `leaving_time` while the heartbeats
    /// announce that the gateway is leaving, then waits for the requests in progress.
    pub async fn run(mut self, stop: ShutdownSignal, leaving_time: Duration, server: ServerHandle) {
        while !stop.is_stopping() && self.host.phase() == Phase::Starting {
            if self.gossip.freshness_state().allows_work() {
                self.apply(PhaseEvent::Configured);
            }
            // The loop condition checks whether the process stops.
            let _stopped_or_timed_out =
                tokio::time::timeout(CONFIG_POLL_INTERVAL, stop.wait()).await;
        }
        stop.wait().await;
        self.apply(PhaseEvent::Stop);
        actix_rt::time::sleep(leaving_time).await;
        self.apply(PhaseEvent::LifetimeEnded);
        server.stop(true).await;
        self.apply(PhaseEvent::Drained);
    }

    fn apply(&mut self, event: PhaseEvent) {
        match self.host.step(event) {
            Ok(phase) => {
                log::info!("gateway entered phase {phase:?}");
                self.gossip.update_own_heartbeat(|own| own.leaving = phase.is_leaving());
            }
            Err(error) => {
                self.undefined_events.inc();
                log::error!("gateway phase: {error}");
            }
        }
    }
}
