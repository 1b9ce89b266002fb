//! Contents of calls that were answered completely a short time ago.

use crate::routing::message::Fingerprint;
use crate::time::Instant;

/// Number of contents that are kept. Contents that come often are there nearly always.
const SLOTS: usize = 1_024;

/// Time for which an answer shows that a content does not end targets, in milliseconds. Targets may
/// be replaced by ones that it does end, and the ends in this time come on top of those after which
/// a content is refused.
const RECENT_MS: u64 = 3_000;

/// A table in which each content has one slot, which it shares with others.
#[derive(Debug)]
pub(super) struct AnsweredContents {
    slots: Vec<(Fingerprint, Instant)>,
}

impl Default for AnsweredContents {
    fn default() -> Self {
        Self { slots: vec![(Fingerprint::default(), Instant::ZERO); SLOTS] }
    }
}

impl AnsweredContents {
    /// Records that a call with this content was answered.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.slots[slot_of(fingerprint)] = (fingerprint, now);
    }

    /// Whether a call with this content was answered in the last [`RECENT_MS`].
    pub fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let (held, answered_at) = self.slots[slot_of(fingerprint)];
        held == fingerprint && now.since_ms(answered_at) < RECENT_MS
    }
}

fn slot_of(fingerprint: Fingerprint) -> usize {
    fingerprint.0 as usize % SLOTS
}
