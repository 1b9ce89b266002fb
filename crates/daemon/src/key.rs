//! The key that the processes and the operators of a mesh share.

use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, ensure};
use subtle::ConstantTimeEq;

/// Shortest key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The shared key of a mesh. Compared in constant time; never printed.
#[derive(Clone)]
pub struct SharedKey(Arc<[u8]>);

impl SharedKey {
    /// Makes a key of these bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// Reads a key from a file. White space around it does not count.
    ///
    /// Fails where the file cannot be read, or holds fewer than
    /// [`MIN_KEY_BYTES`] or other than visible ASCII characters.
    pub fn from_file(file: &Path) -> eyre::Result<Self> {
        let text = std::fs::read(file)
            .wrap_err_with(|| format!("cannot read the key file {}", file.display()))?;
        let key = text.trim_ascii();
        let in_form = key.len() >= MIN_KEY_BYTES && key.iter().all(u8::is_ascii_graphic);
        ensure!(
            in_form,
            "key file {}: write at least {MIN_KEY_BYTES} visible ASCII characters on one line",
            file.display()
        );
        Ok(Self::new(key))
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
