//! Frames: checksummed sections of a file.
//!
//! A frame is one write: a header with magic bytes, length, number and checksum, then
//! the payload. The checksum covers everything except itself. A frame is written only
//! after the previous one is synced, so at most the last frame can be torn.

use std::ops::Range;

/// Magic bytes at the start of each frame.
const MAGIC: [u8; 4] = *b"FLG1";

/// Length of a header, in bytes.
pub(crate) const HEADER_BYTES: usize = 20;

const LENGTH: Range<usize> = 4..8;
const NUMBER: Range<usize> = 8..16;
const CHECKSUM: Range<usize> = 16..20;

/// A decoded frame.
pub(crate) struct Frame<'a> {
    /// Number of the frame. Increases within a file.
    pub(crate) number: u64,
    /// Content of the frame.
    pub(crate) payload: &'a [u8],
}

impl Frame<'_> {
    /// Length of the frame with its header, in bytes.
    pub(crate) fn len(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Encodes a frame.
pub(crate) fn encode(number: u64, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("a frame holds less than 4 GiB");
    let mut bytes = vec![0; HEADER_BYTES];
    bytes[..LENGTH.start].copy_from_slice(&MAGIC);
    bytes[LENGTH].copy_from_slice(&len.to_le_bytes());
    bytes[NUMBER].copy_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(payload);
    let checksum = checksum(&bytes);
    bytes[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the frame at the start of `bytes`; `None` if there is no complete and valid one.
pub(crate) fn decode(bytes: &[u8]) -> Option<Frame<'_>> {
    let header = bytes.get(..HEADER_BYTES)?;
    if header[..LENGTH.start] != MAGIC {
        return None;
    }
    let len = u32::from_le_bytes(header[LENGTH].try_into().ok()?) as usize;
    let frame = bytes.get(..HEADER_BYTES.checked_add(len)?)?;
    let expected = u32::from_le_bytes(header[CHECKSUM].try_into().ok()?);
    if checksum(frame) != expected {
        return None;
    }
    let number = u64::from_le_bytes(header[NUMBER].try_into().ok()?);
    Some(Frame { number, payload: &frame[HEADER_BYTES..] })
}

/// Whether a complete and valid frame starts anywhere in `bytes`.
pub(crate) fn contains_frame(bytes: &[u8]) -> bool {
    let candidates = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
    candidates.into_iter().any(|(offset, _)| decode(&bytes[offset..]).is_some())
}

fn checksum(frame: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&frame[..CHECKSUM.start]);
    hasher.update(&frame[CHECKSUM.end..]);
    hasher.finalize()
}
