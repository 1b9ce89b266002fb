//! Messages of routing between proxies.

use std::fmt;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Identifies the content of a call: the same for calls of callers of the same service with the same
/// host, method, path, query and body. The default identifies no content.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one end of one target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TargetEnd(pub u64);

impl TargetEnd {
    /// Makes the id of a new end.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

/// What is known of calls with one content that were in flight when targets ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The content.
    pub fingerprint: Fingerprint,
    /// Ends of targets while such a call ran there.
    pub ends: Vec<TargetEnd>,
    /// Further such ends, of which the content is acquitted, because a call with it was answered.
    pub acquitted: Vec<TargetEnd>,
    /// Time since the last of them, in milliseconds.
    pub age_ms: u32,
}

/// A message between proxies about calls.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RoutingMessage {
    /// Contents that were in flight when targets ended. Each is forwarded if it is new.
    Suspects(Vec<SuspectRecord>),
}
