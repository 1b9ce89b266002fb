//! Encoded sizes of stored items.

use serde::Serialize;

/// A writer that counts bytes and discards them.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Encoded size of an item, in bytes.
pub(super) fn encoded_bytes<T: Serialize>(item: &T) -> usize {
    let mut counter = ByteCounter(0);
    ciborium::into_writer(item, &mut counter).expect("writing to a counter cannot fail");
    counter.0
}
