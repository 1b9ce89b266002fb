//! Frames: checked pieces of a file.
//!
//! A frame is one write: a header of mark, length, number and checksum, then
//! the payload. The checksum covers all but itself. A later frame is written
//! only once an earlier one is synced, so at most the last one can be torn.

use std::ops::Range;

/// Starts each frame.
const MARK: [u8; 4] = *b"FLG1";

/// Length of a header, in bytes.
pub(crate) const HEADER_BYTES: usize = 20;

const LENGTH: Range<usize> = 4..8;
const NUMBER: Range<usize> = 8..16;
const CHECKSUM: Range<usize> = 16..20;

/// A frame as it was read.
pub(crate) struct Frame<'a> {
    /// Number of the frame. Grows within a file.
    pub(crate) number: u64,
    /// What the frame holds.
    pub(crate) payload: &'a [u8],
}

impl Frame<'_> {
    /// Length of the whole frame, in bytes.
    pub(crate) fn len(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Encodes a frame.
pub(crate) fn encode(number: u64, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("a frame holds less than 4 GiB");
    let mut bytes = vec![0; HEADER_BYTES];
    bytes[..LENGTH.start].copy_from_slice(&MARK);
    bytes[LENGTH].copy_from_slice(&len.to_le_bytes());
    bytes[NUMBER].copy_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(payload);
    let checksum = checksum(&bytes);
    bytes[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the frame at the start of `bytes`; none where there is no whole one.
pub(crate) fn decode(bytes: &[u8]) -> Option<Frame<'_>> {
    let header = bytes.get(..HEADER_BYTES)?;
    if header[..LENGTH.start] != MARK {
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

/// Whether a whole frame starts anywhere in `bytes`.
pub(crate) fn holds_frame(bytes: &[u8]) -> bool {
    let marks = bytes.windows(MARK.len()).enumerate().filter(|(_, window)| *window == MARK);
    marks.into_iter().any(|(at, _)| decode(&bytes[at..]).is_some())
}

fn checksum(frame: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&frame[..CHECKSUM.start]);
    hasher.update(&frame[CHECKSUM.end..]);
    hasher.finalize()
}
