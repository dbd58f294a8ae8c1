//! QUIC links between the processes of the fleet, with mutual TLS.
//!
//! Each call is one bidirectional stream: one [`PeerRequest`], then
//! [`PeerReply`]s until the server finishes. Frames are length-delimited and
//! encoded by `postcard`. Dropping a [`ReplyStream`] tells the server that
//! nobody waits any more.
//!
//! [`PeerClient`] and [`PeerServer`] are apart, for hosts of several processes.
//! [`PeerMesh`] joins them on one port, for many small hosts: a link serves
//! both directions and costs little while it is idle.

pub mod client;
pub mod configuration;
pub mod daemon;
pub mod error;
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
        gossip::Gossip,
        mesh::PeerMesh,
        message::{
            FeedItem, GrantReply, GrantRequest, PeerReply, PeerRequest, PermitReply, PermitRequest,
            release_code,
        },
        server::{IncomingCall, PeerServer, ReplySender},
    };
}
pub use prelude::*;
