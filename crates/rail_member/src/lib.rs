//! Membership: heartbeats between processes and what they tell.
//!
//! [`Members`] keeps the newest [`Heartbeat`] of each process. A greater
//! incarnation replaces a smaller one, and a leaving mark is never taken back
//! within one incarnation. [`Freshness`] decides whether the configuration in
//! force is current enough for new work, and [`list_entry_hosts`] which hosts
//! callers should use. [`HostView`] follows many small hosts by gossip,
//! [`Replica`] keeps the store's records, [`RecordText`] is how they travel, and
//! [`SourceChooser`] decides from whom a host learns them. [`HostPhase`] follows a host from its start to its end.

pub mod entry;
pub mod freshness;
pub mod heartbeat;
pub mod host_heartbeat;
pub mod members;
pub mod packed;
pub mod phase;
pub mod replica;
pub mod source;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        entry::{EntryHost, list_entry_hosts},
        freshness::{Freshness, FreshnessState, PeerReport},
        heartbeat::{Heartbeat, Role},
        host_heartbeat::{HeartbeatUpdate, HostHeartbeat, HostView, host_key},
        members::{Member, Members},
        packed::RecordText,
        phase::{HostPhase, Phase, PhaseEvent},
        replica::{RecordKind, Replica},
        source::{Source, SourceChooser},
    };
}
pub use prelude::*;
