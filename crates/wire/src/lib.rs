//! The codec of messages between processes.
//!
//! A message is one binary WebSocket message that holds one CBOR item. The
//! edge that owns the connection calls [`encode`] and [`decode`].

use fireflylug_core::message::PeerMessage;

/// Longest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

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

/// Encodes a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a vector takes every byte");
    bytes
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong { len_bytes: bytes.len() });
    }
    ciborium::from_reader(bytes).map_err(|error| DecodeError::Malformed(error.to_string()))
}
