//! Names and keys that identify hosts, resources, requests and versions.

use std::fmt;

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};

/// Longest name of a host, resource, availability zone or region, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// The error for a name with an invalid form.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "name {name:?} is invalid: use 1 to {MAX_NAME_BYTES} of a-z, 0-9 and '-', \
     with a letter or digit first and last"
)]
pub struct NameError {
    /// The invalid name, cut after [`MAX_NAME_BYTES`] + 1 characters.
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
    /// Creates a name from `text`, or returns an error if its form is invalid.
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
    let is_allowed = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || *b == b'-';
    let is_not_dash = |b: Option<&u8>| b.is_some_and(|b| *b != b'-');
    bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().all(is_allowed)
        && is_not_dash(bytes.first())
        && is_not_dash(bytes.last())
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
/// The key is the same after a restart. It is 64 bits of a hash, to be small on the wire.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The key of the process on the host with this name.
    pub fn of_host(host: &Name) -> Self {
        let hash = blake3::hash(host.as_str().as_bytes());
        let mut hash_prefix = [0; 8];
        hash_prefix.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(hash_prefix))
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

/// Version of the whole configuration. Starts at 0 (empty) and only increases.
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

/// Key that identifies a change when it is sent again. Holds 1 to [`MAX_KEY_BYTES`]
/// visible ASCII characters.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct IdempotencyKey(CompactString);

/// The error for an idempotency key with an invalid form.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("Idempotency-Key is invalid: use 1 to {MAX_KEY_BYTES} visible ASCII characters")]
pub struct KeyError;

impl IdempotencyKey {
    /// Creates a key from `text`, or returns an error if its form is invalid.
    pub fn new(text: impl AsRef<str>) -> Result<Self, KeyError> {
        let text = text.as_ref();
        let is_valid = !text.is_empty()
            && text.len() <= MAX_KEY_BYTES
            && text.bytes().all(|b| b.is_ascii_graphic());
        if is_valid { Ok(Self(text.to_compact_string())) } else { Err(KeyError) }
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
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

/// Key of one request to the resource API, assigned by the code that received it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Key of one call at one proxy, assigned by the code that received it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Identifies a target by its service and its id within the service.
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
