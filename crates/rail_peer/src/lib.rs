//! QUIC links between the processes of the fleet, with mutual TLS.
//!
//! Each call is one bidirectional stream: one [`PeerRequest`], then
//! [`PeerReply`]s until the server finishes. Frames are length-delimited and
//! encoded by `postcard`. Dropping a [`ReplyStream`] cancels the call at the
//! server. Both sides of a link negotiate a [`LinkFormat`], so that builds of
//! different age serve side by side.
//!
//! [`PeerClient`] and [`PeerServer`] are separate endpoints, for hosts that run
//! several processes. [`PeerMesh`] combines both on one port, for many small
//! hosts: a link carries calls in both directions and costs little while idle.

pub mod client;
pub mod configuration;
pub mod daemon;
pub mod error;
pub mod format;
mod frame;
pub mod gossip;
pub mod mesh;
pub mod message;
pub mod server;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        client::{PeerClient, ReplyStream},
        configuration::{follow_configuration, follow_sessions, send_configuration},
        daemon::{Daemon, StartError},
        error::{Error, Result},
        format::LinkFormat,
        gossip::Gossip,
        mesh::PeerMesh,
        message::{
            ChangesRequest, DispatchReply, DispatchRequest, FeedItem, GrantRelease, GrantReply,
            GrantRequest, LimitNews, PeerReply, PeerRequest, PermitReply, PermitRequest,
            QuarantineExchange, SendPermitReply, SendPermitRequest, StreamOriginRequest,
            StreamStarts, TrialReply, TrialRequest, WorkspaceGrantRequest,
        },
        server::{IncomingCall, PeerServer, ReplySender},
    };
}
pub use prelude::*;
