//! Sizes of what is kept, as it is encoded.

use serde::Serialize;

/// Counts bytes instead of keeping them.
struct Counter(usize);

impl std::io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Size of an item when encoded, in bytes.
pub(super) fn encoded_bytes<T: Serialize>(item: &T) -> usize {
    let mut counter = Counter(0);
    ciborium::into_writer(item, &mut counter).expect("a counter takes every byte");
    counter.0
}
