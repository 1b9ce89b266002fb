//! Messages of routing between proxies.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies the content of a call: the same for calls with the same host, method, path, query and
/// body. The default identifies no content.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
