//! The software version at which each stream began, and at which it has to go on.
//!
//! Upstreams of several software versions may serve side by side. What two versions write does not
//! fit together, so all events of a stream come from one version. Nothing here does I/O or reads a
//! clock.
//!
//! * [`SoftwarePin`] says which versions may answer a request.
//! * [`OriginTable`] remembers at which version streams began.
//! * [`SeenVersions`] remembers which versions served lately. While that is one, every stream began
//!   at it.
//! * [`rank_backups`] and [`rank_keepers`] say which hosts are told of a stream, so that its origin
//!   is known when the host that began it is not there any more.
//! * [`OriginJournal`] is what a keeper stores of them.
//! * [`OriginKnowledge`] is what one host knows about a stream; hosts combine it, and [`decide`]
//!   says where the stream goes on.

pub mod journal;
pub mod keepers;
pub mod knowledge;
pub mod pin;
pub mod table;
pub mod versions;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        journal::{OriginJournal, Slot, StoredOrigins, StreamsByVersion},
        keepers::{LiveHost, rank_backups, rank_keepers},
        knowledge::{
            AskedHosts, OriginKnowledge, OriginSource, OriginUnknown, decide, needs_store,
        },
        pin::SoftwarePin,
        table::{OriginTable, StreamKey},
        versions::SeenVersions,
    };
}
pub use prelude::*;

use std::time::Duration;

/// Time for which the origin of a stream is kept: longer than any caller resumes it.
pub const RETENTION: Duration = Duration::from_secs(30);
