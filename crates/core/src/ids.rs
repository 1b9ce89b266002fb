//! Names and keys that identify hosts, resources, requests and versions.

use std::fmt;

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};

/// Longest name of a host, resource, availability zone or region, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// A name that is out of form.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "name {name:?} is out of form: use 1 to {MAX_NAME_BYTES} of a-z, 0-9 and '-', \
     with a letter or digit first and last"
)]
pub struct NameError {
    /// The name as it was given.
    pub name: String,
}

/// Name of a host, resource, availability zone or region.
///
/// Holds 1 to [`MAX_NAME_BYTES`] characters of `a-z`, `0-9` and `-`, with a
/// letter or digit first and last.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Name(CompactString);

impl Name {
    /// Checks the form of `text` and makes a name of it.
    pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
        let text = text.as_ref();
        if is_name(text) {
            return Ok(Self(text.into()));
        }
        Err(NameError { name: text.chars().take(MAX_NAME_BYTES + 1).collect() })
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_name(text: &str) -> bool {
    let bytes = text.as_bytes();
    let inner = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || *b == b'-';
    let outer = |b: Option<&u8>| b.is_some_and(|b| *b != b'-');
    bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().all(inner)
        && outer(bytes.first())
        && outer(bytes.last())
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl TryFrom<CompactString> for Name {
    type Error = NameError;

    fn try_from(text: CompactString) -> Result<Self, NameError> {
        Self::new(text)
    }
}

impl From<Name> for CompactString {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl std::str::FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::new(text)
    }
}

/// Key of a process, derived from the name of its host.
///
/// Stable over restarts; 64 bits of a hash, so that it is small on the wire.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The key of the process on the host with this name.
    pub fn of_host(host: &Name) -> Self {
        let hash = blake3::hash(host.as_str().as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Region and availability zone of a host.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Locality {
    /// Region.
    pub region: Name,
    /// Availability zone. Unique over all regions.
    pub availability_zone: Name,
}

/// Version of the whole configuration. Starts at 0 (empty) and only goes up.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Hash of the content of a configuration version.
#[derive(Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ContentHash(#[serde(with = "serde_bytes")] pub [u8; 16]);

impl fmt::Debug for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Key by which a resent change is recognised. 1 to [`MAX_KEY_BYTES`] visible ASCII characters.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct IdempotencyKey(CompactString);

/// An idempotency key that is out of form.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("Idempotency-Key is out of form: use 1 to {MAX_KEY_BYTES} visible ASCII characters")]
pub struct KeyError;

impl IdempotencyKey {
    /// Checks the form of `text` and makes a key of it.
    pub fn new(text: impl AsRef<str>) -> Result<Self, KeyError> {
        let text = text.as_ref();
        let in_form = !text.is_empty()
            && text.len() <= MAX_KEY_BYTES
            && text.bytes().all(|b| b.is_ascii_graphic());
        if in_form { Ok(Self(text.to_compact_string())) } else { Err(KeyError) }
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<CompactString> for IdempotencyKey {
    type Error = KeyError;

    fn try_from(text: CompactString) -> Result<Self, KeyError> {
        Self::new(text)
    }
}

impl From<IdempotencyKey> for CompactString {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}

/// Key of one request at the resource API, given by the edge that received it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Key of one call at one proxy, given by the edge that received it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Name of a target: its service and its own id within the service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TargetId {
    /// Service that the target belongs to.
    pub service: Name,
    /// Id of the target, unique within its service.
    pub id: Name,
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.id)
    }
}
