//! Takes the gateway through the phases of its host.

use actix_web::dev::ServerHandle;
use prometheus_client::metrics::counter::Counter;
use rail_member::{HostPhase, Phase, PhaseEvent};
use rail_peer::Gossip;
use rail_runtime::{Metrics, StopSignal};
use std::time::Duration;

/// Interval between looks at the configuration while starting.
const INTERVAL: Duration = Duration::from_millis(50);

/// Phases of this gateway with what they act on.
#[derive(Debug)]
pub struct Phases {
    host: HostPhase,
    gossip: Gossip,
    undefined_events: Counter,
}

impl Phases {
    /// Starts in the first phase.
    pub fn open(gossip: Gossip, metrics: &Metrics) -> Self {
        let help = "Events that the chart of the host does not define";
        let undefined_events = metrics.counter("gateway_undefined_phase_events", help);
        Self { host: HostPhase::start(), gossip, undefined_events }
    }

    /// Serves until the process is asked to stop, then for `lifetime`, then to the last request.
    pub async fn run(mut self, stop: StopSignal, lifetime: Duration, server: ServerHandle) {
        while !stop.is_stopping() && self.host.phase() == Phase::Starting {
            if self.gossip.verdict().allows_work() {
                self.step(PhaseEvent::Configured);
            }
            // Either end is looked at again.
            let _end = tokio::time::timeout(INTERVAL, stop.wait()).await;
        }
        stop.wait().await;
        self.step(PhaseEvent::Stop);
        actix_rt::time::sleep(lifetime).await;
        self.step(PhaseEvent::LifetimeEnded);
        server.stop(true).await;
        self.step(PhaseEvent::Drained);
    }

    fn step(&mut self, event: PhaseEvent) {
        match self.host.step(event) {
            Ok(phase) => {
                log::info!("gateway is {phase:?}");
                self.gossip.update_own(|own| own.leaving = phase.is_leaving());
            }
            Err(error) => {
                self.undefined_events.inc();
                log::error!("{error}");
            }
        }
    }
}
