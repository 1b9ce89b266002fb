//! The codec of messages between processes.
//!
//! A message is one binary WebSocket message: one byte that says how the rest
//! is encoded, then one CBOR item, deflated where that is shorter. The edge
//! that owns the connection calls [`encode`] and [`decode`].

use std::io::{Read, Write};

use fireflylug_core::message::PeerMessage;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Longest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Longest CBOR item of a message, in bytes.
const MAX_ITEM_BYTES: usize = 32 * 1024 * 1024;

/// Shortest CBOR item that is deflated, in bytes. Shorter ones seldom shrink.
const MIN_DEFLATED_BYTES: usize = 160;

/// First byte of a message whose CBOR item follows as it is.
const PLAIN: u8 = 0;

/// First byte of a message whose CBOR item is deflated.
const DEFLATED: u8 = 1;

/// Why bytes are not a message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// Longer than [`MAX_MESSAGE_BYTES`].
    #[error("message of {len_bytes} bytes is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// Length as received.
        len_bytes: usize,
    },
    /// Not CBOR of a known message.
    #[error("message is not in form: {0}")]
    Malformed(String),
}

impl DecodeError {
    fn malformed(error: impl std::fmt::Display) -> Self {
        Self::Malformed(error.to_string())
    }
}

/// Encodes a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut bytes = vec![PLAIN];
    ciborium::into_writer(message, &mut bytes).expect("a vector takes every byte");
    if bytes.len() < MIN_DEFLATED_BYTES {
        return bytes;
    }
    let deflated = deflate(&bytes[1..]);
    if deflated.len() < bytes.len() { deflated } else { bytes }
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong { len_bytes: bytes.len() });
    }
    match bytes.split_first() {
        Some((&PLAIN, item)) => read_item(item),
        Some((&DEFLATED, item)) => {
            // The limit keeps a short message from filling the memory.
            let inflated = DeflateDecoder::new(item).take(MAX_ITEM_BYTES as u64);
            read_item(std::io::BufReader::new(inflated))
        }
        Some((encoding, _)) => Err(DecodeError::malformed(format!("unknown encoding {encoding}"))),
        None => Err(DecodeError::malformed("it is empty")),
    }
}

fn deflate(item: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(item).expect("a vector takes every byte");
    encoder.finish().expect("a vector takes every byte")
}

fn read_item(item: impl Read) -> Result<PeerMessage, DecodeError> {
    ciborium::from_reader(item).map_err(DecodeError::malformed)
}
