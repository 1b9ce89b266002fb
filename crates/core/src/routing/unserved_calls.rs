//! Calls that ended at this ingress without being served, and that their callers may repeat.
//!
//! A caller measures the target latency from its first attempt. A repeated call whose target
//! latency has ended is of reduced use to it, so such a call must not delay one that can still be
//! served in time. A repeated call has the same content and key as the call before it and arrives
//! at the same ingress.

use std::collections::VecDeque;

use super::message::Fingerprint;
use crate::collections::HashMap;
use crate::organisation::KeyDigest;
use crate::time::Instant;

/// Maximum number of calls that are remembered. The oldest is forgotten first.
const MAX_CALLS: usize = 4_096;

/// Time for which a call is remembered, in milliseconds. Few callers repeat a call later.
const REMEMBERED_FOR_MS: u64 = 10_000;

/// What a repeated call has in common with the call before it. The key keeps the refused calls of
/// one organisation apart from calls of others with the same content.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct RepeatedContent {
    pub content: Fingerprint,
    pub key: Option<KeyDigest>,
}

/// One call that was not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct UnservedCall {
    /// When the caller's first attempt arrived.
    first_arrived_at: Instant,
    forget_at: Instant,
}

/// The calls that were not served recently, by content.
#[derive(Debug, Default)]
pub(super) struct UnservedCalls {
    by_content: HashMap<RepeatedContent, UnservedCall>,
    /// Contents in the order in which they were recorded, with the time at which each is forgotten.
    order: VecDeque<(Instant, RepeatedContent)>,
}

impl UnservedCalls {
    /// Records a call that was not served. `first_arrived_at` is when the first attempt of its
    /// caller arrived.
    pub fn record(&mut self, content: RepeatedContent, first_arrived_at: Instant, now: Instant) {
        if content.content == Fingerprint::default() {
            return;
        }
        self.forget_old(now);
        let forget_at = now.plus_ms(REMEMBERED_FOR_MS);
        self.by_content.insert(content, UnservedCall { first_arrived_at, forget_at });
        self.order.push_back((forget_at, content));
    }

    /// When the first attempt arrived of which an arriving call is the repetition; `now` if it
    /// repeats none. Each recorded call accounts for one repetition, so that further callers that
    /// send the same content are not taken for it.
    pub fn take_first_arrival(&mut self, content: RepeatedContent, now: Instant) -> Instant {
        let recorded = self.by_content.remove(&content).filter(|call| now < call.forget_at);
        recorded.map_or(now, |call| call.first_arrived_at)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((forget_at, content)) = self.order.front().copied()
            && (forget_at <= now || self.order.len() >= MAX_CALLS)
        {
            self.order.pop_front();
            // The content may have been recorded again since.
            if self.by_content.get(&content).is_some_and(|call| call.forget_at == forget_at) {
                self.by_content.remove(&content);
            }
        }
    }
}
