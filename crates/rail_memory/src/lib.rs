//! Bounds what a process holds for its callers: bytes and connections.
//!
//! [`MemoryAccount`] counts the bytes of request bodies, buffered answers and connection buffers
//! against one limit. A holder requests memory before it allocates, and a [`MemoryHold`] returns it
//! when dropped. When memory is short, request bodies that make no progress give way, then those of
//! callers with many open bodies; a part of the limit is reserved for small holds.
//!
//! [`ConnectionTable`] bounds open connections. [`HostLimits`] derives both limits from the memory
//! and the sockets of a host.
//!
//! The crate reads no clock and no socket.

pub mod account;
mod arrivals;
pub mod connections;
pub mod host_limits;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        account::{AccountLimits, Holder, MemoryAccount, MemoryHold, Shortage},
        connections::{ConnectionSlot, ConnectionTable},
        host_limits::{HostCapacity, HostLimits},
    };
}
pub use prelude::*;
