//! Context of a chain of calls, carried in one opaque header.
//!
//! A target that calls another service copies the header to its own request, as with trace
//! headers. Callers may send any value: each field can only restrict the call that carries it.

use std::fmt;
use std::str::FromStr;

use crate::ids::{CallId, NodeId};

/// Context of a chain of calls. Text form: `hops.attempt.remaining_ms.owner.call`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Chain {
    /// Number of calls before this one.
    pub hops: u8,
    /// Whether this call, or one before it, is a retry.
    pub is_retry: bool,
    /// Time left when the header was written, in milliseconds.
    pub remaining_ms: Option<u32>,
    /// The parent call, with the owner that dispatched it.
    pub parent: Option<(NodeId, CallId)>,
}

/// A malformed chain header.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("malformed fireflylug-chain header: copy it from the request that led to this one")]
pub struct ChainError;

impl fmt::Display for Chain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let remaining_ms = self.remaining_ms.unwrap_or(u32::MAX);
        write!(f, "{}.{}.{remaining_ms}", self.hops, u8::from(self.is_retry))?;
        match self.parent {
            Some((owner, call)) => write!(f, ".{owner}.{:x}", call.0),
            None => Ok(()),
        }
    }
}

impl FromStr for Chain {
    type Err = ChainError;

    fn from_str(text: &str) -> Result<Self, ChainError> {
        let mut fields = text.split('.');
        let mut next = || fields.next().ok_or(ChainError);
        let hops = next()?.parse().map_err(|_| ChainError)?;
        let is_retry = next()? == "1";
        let remaining_ms: u32 = next()?.parse().map_err(|_| ChainError)?;
        let parent = match (fields.next(), fields.next()) {
            (Some(owner), Some(call)) => Some((NodeId(hex(owner)?), CallId(hex(call)?))),
            _ => None,
        };
        let remaining_ms = (remaining_ms != u32::MAX).then_some(remaining_ms);
        Ok(Self { hops, is_retry, remaining_ms, parent })
    }
}

fn hex(text: &str) -> Result<u64, ChainError> {
    u64::from_str_radix(text, 16).map_err(|_| ChainError)
}
