//! Membership, configuration freshness and replication of the store's records.
//!
//! [`Members`] stores the newest [`Heartbeat`] of each process. A greater incarnation replaces a
//! smaller one, and a leaving mark is never withdrawn within one incarnation. [`Freshness`] decides
//! whether the applied configuration is current enough for new work, and [`list_entry_hosts`] which
//! hosts callers should use.
//!
//! [`HostView`] tracks the hosts of a large fleet by gossip. [`Replica`] stores the records of the
//! metadata store, [`RecordText`] is their form between hosts, and [`SourceChooser`] decides from
//! which host or store they are received. [`HostPhase`] is the life cycle of a host.

pub mod confirmation;
pub mod entry;
mod entry_share;
pub mod freshness;
pub mod heartbeat;
pub mod host_heartbeat;
pub mod members;
pub mod outage;
pub mod packed;
pub mod partners;
pub mod phase;
pub mod refresh;
pub mod removal;
pub mod replica;
pub mod source;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        confirmation::{Confirmations, RecordAges},
        entry::{EntryHost, list_entry_hosts},
        freshness::{Freshness, FreshnessState, PeerReport},
        heartbeat::{Heartbeat, Role},
        host_heartbeat::{HeartbeatUpdate, HostHeartbeat, HostView, host_key},
        members::{Member, Members},
        outage::RunningTime,
        packed::RecordText,
        phase::{HostPhase, Phase, PhaseEvent},
        refresh::{RecordBounds, RefreshPlanner},
        removal::DeferredRemovals,
        replica::{RecordKind, Replica},
        source::{Source, SourceChooser},
    };
}
pub use prelude::*;
