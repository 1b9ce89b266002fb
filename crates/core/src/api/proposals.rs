//! Deduplication of the proposals received from other processes.
//!
//! Without it, two copies of one message can end differently: the first is
//! refused because this replica is not the leader yet, the second is appended
//! to the log a moment later.

use std::collections::BTreeMap;

use crate::consensus::Origin;
use crate::time::Instant;

/// Time for which a proposal is kept, in milliseconds. Exceeds the longest time
/// that a message is in transit.
const RETENTION_MS: u64 = 60_000;

/// Maximum number of proposals kept. The oldest is evicted first.
const MAX_SEEN_PROPOSALS: usize = 4_096;

/// Recently received attempts, each with the incarnation of the sending process.
#[derive(Default)]
pub(super) struct SeenProposals {
    by_origin: BTreeMap<Origin, SeenProposal>,
}

struct SeenProposal {
    incarnation: u64,
    expires_at: Instant,
}

impl SeenProposals {
    /// Records an attempt. Returns false if it was recorded before.
    pub(super) fn record(&mut self, now: Instant, origin: Origin, incarnation: u64) -> bool {
        if self.by_origin.get(&origin).is_some_and(|seen| incarnation <= seen.incarnation) {
            return false;
        }
        if self.by_origin.len() >= MAX_SEEN_PROPOSALS {
            self.evict(now);
        }
        let expires_at = now.plus_ms(RETENTION_MS);
        self.by_origin.insert(origin, SeenProposal { incarnation, expires_at });
        true
    }

    fn evict(&mut self, now: Instant) {
        self.by_origin.retain(|_, seen| seen.expires_at > now);
        while self.by_origin.len() >= MAX_SEEN_PROPOSALS {
            let oldest = self.by_origin.iter().min_by_key(|(_, seen)| seen.expires_at);
            let Some(oldest) = oldest.map(|(origin, _)| *origin) else { return };
            self.by_origin.remove(&oldest);
        }
    }
}
