//! The key that the processes and the operators of a mesh share.

use std::sync::Arc;

use subtle::ConstantTimeEq;

/// The shared key of a mesh. Compared in constant time; never printed.
#[derive(Clone)]
pub struct SharedKey(Arc<[u8]>);

impl SharedKey {
    /// Makes a key of these bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// Whether `given` is this key. Takes the same time for every wrong key of one length.
    pub fn matches(&self, given: &[u8]) -> bool {
        self.0.ct_eq(given).into()
    }

    /// The key itself, to present it to another process.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey(..)")
    }
}
