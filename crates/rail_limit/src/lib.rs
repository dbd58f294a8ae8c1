//! Limits of requests that upstreams name, kept by all hosts together.
//!
//! An upstream in need names in its answers the rate of requests that it takes from all hosts
//! together. [`KnownLimits`] is what one host knows of such limits. While an upstream names one,
//! every request to it needs a permit. One host at a time issues the permits of an upstream, with
//! [`PermitIssuer`]; [`rank_issuers`] names that host, and the next one, which stands in for it.
//!
//! An upstream that turns a request away may want to be left alone: [`Refusal`] says for how long.
//! [`BrittleServices`] are those whose upstreams fall over when they turn many away.

pub mod brittle;
pub mod issuer;
pub mod known;
pub mod pause;
pub mod rate;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        brittle::BrittleServices,
        issuer::{IssuerRank, IssuingShare, Permit, PermitIssuer, rank_issuers},
        known::{KnownLimits, Limit, LimitKey},
        pause::{Refusal, UpstreamPauses},
        rate::{LimitStatement, RequestRate},
    };
}
pub use prelude::*;
