//! Limits of a host's account and connections, from its memory and its sockets.

use crate::account::AccountLimits;

/// Memory that the program uses without any caller, in bytes.
const PROGRAM_BYTES: usize = 24 << 20;
/// Smallest memory for callers, in bytes, however small the host is.
const MIN_CALLER_BYTES: usize = 8 << 20;
/// Memory of a connection without a request, in bytes: its read and write buffers and its task.
const CONNECTION_BYTES: usize = 32 << 10;
/// Fraction of the memory for callers that connections without a request may take.
const CONNECTION_FRACTION: f64 = 1.0 / 3.0;
/// Sockets that are kept for the store, other hosts and idle connections to upstreams.
const LINK_SOCKETS: usize = 64;
/// One of this many sockets may be a connection that asks for hosts, readiness or metrics.
const SOCKETS_PER_ENTRY_CONNECTION: usize = 8;
/// Fewest connections of either kind.
const MIN_CONNECTIONS: usize = 16;
/// Fraction of the account that only small holds may use.
const RESERVE_FRACTION: f64 = 0.25;
/// Size up to which a hold is small, in bytes: an ordinary request with the buffers of its arrival.
const SMALL_BYTES: usize = 192 << 10;
/// Most memory of buffered answers, in bytes.
const MAX_ANSWER_BYTES: usize = 12 << 20;

/// Size up to which an answer is buffered whatever others hold, in bytes.
const SMALL_ANSWER_BYTES: usize = 64 << 10;

/// Resources of a host, and the fractions of them that are for callers.
#[derive(Debug, Clone, Copy)]
pub struct HostCapacity {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Sockets that the process may open.
    pub max_sockets: usize,
    /// Fraction of the memory beyond the program's own that is for callers. The rest is for unused
    /// parts of allocated memory, and for bytes that the system holds.
    pub memory_fraction: f64,
    /// Fraction of the sockets that is for connections of callers. The rest is for connections to
    /// upstreams, of which each request in progress uses one.
    pub socket_fraction: f64,
}

/// What a host may hold for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Limits of its memory account.
    pub account: AccountLimits,
    /// Most connections of callers.
    pub caller_connections: usize,
    /// Most connections that ask for hosts, readiness or metrics.
    pub entry_connections: usize,
}

impl HostLimits {
    /// Derives the limits. The memory of all connections without a request is set aside first.
    pub fn of(capacity: &HostCapacity) -> Self {
        let beyond_program = capacity.memory_bytes.saturating_sub(PROGRAM_BYTES);
        let caller_bytes = (beyond_program as f64 * capacity.memory_fraction) as usize;
        let caller_bytes = caller_bytes.max(MIN_CALLER_BYTES);
        let entry_connections =
            (capacity.max_sockets / SOCKETS_PER_ENTRY_CONNECTION).max(MIN_CONNECTIONS);
        let other_sockets = entry_connections + LINK_SOCKETS;
        let free_sockets = capacity.max_sockets.saturating_sub(other_sockets) as f64;
        let by_sockets = (free_sockets * capacity.socket_fraction) as usize;
        let connection_bytes = (caller_bytes as f64 * CONNECTION_FRACTION) as usize;
        let by_memory = connection_bytes / CONNECTION_BYTES;
        let caller_connections = by_sockets.min(by_memory).max(MIN_CONNECTIONS);
        let total_bytes = caller_bytes - caller_connections * CONNECTION_BYTES;
        let account = AccountLimits {
            total_bytes,
            reserve_bytes: (total_bytes as f64 * RESERVE_FRACTION) as usize,
            small_bytes: SMALL_BYTES,
            answer_bytes: MAX_ANSWER_BYTES.min(total_bytes / 2),
            small_answer_bytes: SMALL_ANSWER_BYTES,
        };
        Self { account, caller_connections, entry_connections }
    }
}
