//! Codec of messages between processes.
//!
//! A message is one binary WebSocket message: one byte for the encoding, then one CBOR
//! item, compressed with DEFLATE if that is shorter. The owner of the connection calls
//! [`encode`] and [`decode`].

use std::io::{Read, Write};

use fireflylug_core::message::PeerMessage;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of the CBOR item of a message, in bytes.
const MAX_ITEM_BYTES: usize = 32 * 1024 * 1024;

/// Minimum size of a message that is compressed, in bytes. Shorter ones rarely shrink.
const MIN_DEFLATED_BYTES: usize = 160;

/// First byte of a message with an uncompressed CBOR item.
const PLAIN: u8 = 0;

/// First byte of a message with a compressed CBOR item.
const DEFLATED: u8 = 1;

/// Error for bytes that are not a valid message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message of {len_bytes} bytes is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// Length as received.
        len_bytes: usize,
    },
    /// The content is not CBOR of a known message.
    #[error("malformed message: {0}")]
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
    ciborium::into_writer(message, &mut bytes).expect("writing to a vector cannot fail");
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
            // The limit prevents a small message from expanding without bound.
            let inflated = DeflateDecoder::new(item).take(MAX_ITEM_BYTES as u64);
            read_item(std::io::BufReader::new(inflated))
        }
        Some((encoding, _)) => Err(DecodeError::malformed(format!("unknown encoding {encoding}"))),
        None => Err(DecodeError::malformed("the message is empty")),
    }
}

fn deflate(item: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(item).expect("writing to a vector cannot fail");
    encoder.finish().expect("writing to a vector cannot fail")
}

fn read_item(item: impl Read) -> Result<PeerMessage, DecodeError> {
    ciborium::from_reader(item).map_err(DecodeError::malformed)
}
