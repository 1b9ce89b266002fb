//! Proposals that were taken from other processes.
//!
//! Two copies of one message must not end differently: one refused because
//! nobody leads here yet, the other appended a moment later.

use std::collections::BTreeMap;

use crate::consensus::Origin;
use crate::time::Instant;

/// Time for which a proposal is remembered, in milliseconds. Longer than a
/// message may be under way.
const REMEMBER_MS: u64 = 60_000;

/// Most proposals that are remembered. The oldest goes first.
const MAX_REMEMBERED: usize = 4_096;

/// Attempts that were taken lately, each with the incarnation of its process.
#[derive(Default)]
pub(super) struct TakenProposals {
    by_origin: BTreeMap<Origin, Taken>,
}

struct Taken {
    incarnation: u64,
    forget_at: Instant,
}

impl TakenProposals {
    /// Notes an attempt. Returns false where it was taken already.
    pub(super) fn take(&mut self, now: Instant, origin: Origin, incarnation: u64) -> bool {
        if self.by_origin.get(&origin).is_some_and(|taken| incarnation <= taken.incarnation) {
            return false;
        }
        if self.by_origin.len() >= MAX_REMEMBERED {
            self.forget(now);
        }
        let forget_at = now.plus_ms(REMEMBER_MS);
        self.by_origin.insert(origin, Taken { incarnation, forget_at });
        true
    }

    fn forget(&mut self, now: Instant) {
        self.by_origin.retain(|_, taken| taken.forget_at > now);
        while self.by_origin.len() >= MAX_REMEMBERED {
            let oldest = self.by_origin.iter().min_by_key(|(_, taken)| taken.forget_at);
            let Some(oldest) = oldest.map(|(origin, _)| *origin) else { return };
            self.by_origin.remove(&oldest);
        }
    }
}
