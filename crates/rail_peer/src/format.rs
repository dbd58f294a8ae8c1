//! Formats of the messages on peer links.

use quinn::{Connection, crypto::rustls::HandshakeData};

/// Format of the messages on a link, negotiated when it opens. Each build offers the formats that it
/// knows, and both sides use the newest common one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkFormat {
    /// Messages of builds that know no other format.
    V1,
    /// Adds requests of workspaces, calls to dispatchers and calls to the issuer of quotas.
    V2,
}

impl LinkFormat {
    /// Newest format of this build.
    pub const NEWEST: Self = Self::V2;
    /// Names of the formats as application protocols (ALPN), the newest one first.
    const PROTOCOLS: [&'static [u8]; 2] = [b"tarragonrail/2", b"tarragonrail/1"];

    /// Returns the application protocols that a build with this newest format offers.
    pub(crate) fn offered(self) -> &'static [&'static [u8]] {
        match self {
            Self::V1 => &Self::PROTOCOLS[1..],
            Self::V2 => &Self::PROTOCOLS,
        }
    }

    /// Returns the format that both sides of a link negotiated.
    pub(crate) fn of(link: &Connection) -> Self {
        let handshake =
            link.handshake_data().and_then(|data| data.downcast::<HandshakeData>().ok());
        let protocol = handshake.and_then(|data| data.protocol);
        match protocol {
            Some(protocol) if protocol == Self::PROTOCOLS[0] => Self::V2,
            Some(_) | None => Self::V1,
        }
    }
}
