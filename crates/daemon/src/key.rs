//! Shared key of the processes and operators of a mesh.

use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, ensure};
use subtle::ConstantTimeEq;

/// Minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Shared key of a mesh. Compared in constant time and never printed.
#[derive(Clone)]
pub struct SharedKey(Arc<[u8]>);

impl SharedKey {
    /// Creates a key from bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// Reads a key from a file. Surrounding white space is ignored.
    ///
    /// Fails if the file cannot be read, or contains fewer than [`MIN_KEY_BYTES`]
    /// characters or any that is not visible ASCII.
    pub fn from_file(file: &Path) -> eyre::Result<Self> {
        let text = std::fs::read(file)
            .wrap_err_with(|| format!("cannot read the key file {}", file.display()))?;
        let key = text.trim_ascii();
        let is_valid = key.len() >= MIN_KEY_BYTES && key.iter().all(u8::is_ascii_graphic);
        ensure!(
            is_valid,
            "key file {}: write at least {MIN_KEY_BYTES} visible ASCII characters on one line",
            file.display()
        );
        Ok(Self::new(key))
    }

    /// Whether `given` equals this key. The comparison time depends only on the length.
    pub fn matches(&self, given: &[u8]) -> bool {
        self.0.ct_eq(given).into()
    }

    /// Returns the bytes of the key, to present them to another process.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey(..)")
    }
}
