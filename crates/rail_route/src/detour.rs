//! Which other hosts serve the requests of a host that reaches no upstream.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Attempts of one request that do not reach their upstream before another host gets it.
const MAX_UNSENT_ATTEMPTS: u32 = 2;
/// Most other hosts to which one request is sent.
const MAX_HOSTS: usize = 4;
/// Time for which a host that reaches no upstream either gets no request.
const CUT_OFF_PAUSE: Duration = Duration::from_secs(1);

/// Returns whether a request, which has not run, goes through another host: this host is cut off, or
/// this many attempts of the request did not reach their upstreams.
pub fn is_detour_due(is_cut_off: bool, unsent_attempts: u32) -> bool {
    is_cut_off || unsent_attempts >= MAX_UNSENT_ATTEMPTS
}

/// Hosts that reach no upstream either, with the end of the time for which they get no requests.
#[derive(Debug, Clone, Default)]
pub struct CutOffHosts {
    paused_until: HashMap<SocketAddr, Duration>,
}

impl CutOffHosts {
    /// Records that a host has refused a request since it reaches no upstream, or was not reached.
    pub fn record(&mut self, address: SocketAddr, now: Duration) {
        self.paused_until.insert(address, now + CUT_OFF_PAUSE);
    }

    /// Returns whether a host gets no requests for now.
    pub fn is_paused(&self, address: SocketAddr, now: Duration) -> bool {
        self.paused_until.get(&address).is_some_and(|until| now < *until)
    }

    /// Returns the hosts that are tried in turn, paused ones only if there are few others. Among
    /// hosts that are alike the order stays; the caller shuffles them.
    pub fn choose<H>(
        &self,
        mut hosts: Vec<(H, SocketAddr)>,
        now: Duration,
    ) -> Vec<(H, SocketAddr)> {
        hosts.sort_by_key(|(_, address)| self.is_paused(*address, now));
        hosts.truncate(MAX_HOSTS);
        hosts
    }
}
