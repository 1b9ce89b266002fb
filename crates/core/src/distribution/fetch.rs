//! Fetching a version that others hold and nobody sent.
//!
//! Updates normally come from the parent. Where one is late, as when a relay
//! dies between two of its children, a process asks any peer that is known to
//! hold a newer version, one at a time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::Distribution;
use super::message::DistributionMessage;
use crate::context::Context;
use crate::ids::{NodeId, Version};
use crate::membership::Membership;
use crate::time::Instant;

/// Time that an update may take to come from the parent before a peer of the
/// own availability zone is asked, in milliseconds.
const ZONE_GRACE_MS: u64 = 300;

/// The same before a peer elsewhere is asked. Longer, since the bytes may
/// cross a link that is paid by volume.
const FAR_GRACE_MS: u64 = 1_000;

/// Time after which a peer that did not answer is given up, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 2_000;

/// Most peers that are remembered to hold a newer version.
const MAX_NEWER: usize = 32;

/// Peers that hold a newer version, and the one that is asked.
pub(super) struct Fetcher {
    newer: BTreeMap<NodeId, Version>,
    asked: Option<NodeId>,
    /// When to ask the next peer.
    pub ask_at: Instant,
}

impl Fetcher {
    pub fn new() -> Self {
        Self { newer: BTreeMap::new(), asked: None, ask_at: Instant::NEVER }
    }

    /// A peer can no longer be asked.
    pub fn lost(&mut self, now: Instant, peer: NodeId) {
        self.newer.remove(&peer);
        if self.asked == Some(peer) {
            self.asked = None;
            self.ask_at = if self.newer.is_empty() { Instant::NEVER } else { now };
        }
    }
}

impl Distribution {
    /// A peer holds a version.
    pub(super) fn note_newer(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        peer: NodeId,
        version: Version,
    ) {
        if version <= self.current.version() {
            return;
        }
        if self.fetcher.newer.len() < MAX_NEWER || self.fetcher.newer.contains_key(&peer) {
            self.fetcher.newer.insert(peer, version);
        }
        if self.fetcher.asked.is_some() {
            return;
        }
        let zone = |id| membership.member(id).map(|m| &m.locality.availability_zone);
        let near = zone(peer) == Some(&cx.me.locality.availability_zone);
        let grace_ms = if near { ZONE_GRACE_MS } else { FAR_GRACE_MS };
        // Not all that miss it ask at once.
        let ask_at = cx.now.plus_ms(grace_ms + cx.rng.random_range(0..grace_ms));
        self.fetcher.ask_at = self.fetcher.ask_at.min(ask_at);
    }

    /// Asks the next peer.
    pub(super) fn tick_fetcher(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if cx.now < self.fetcher.ask_at {
            return;
        }
        if let Some(silent) = self.fetcher.asked.take() {
            self.fetcher.newer.remove(&silent);
        }
        let held = self.current.version();
        self.fetcher.newer.retain(|_, version| *version > held);
        let zone = |id: &NodeId| membership.member(*id).map(|m| &m.locality.availability_zone);
        let own = Some(&cx.me.locality.availability_zone);
        let all: Vec<NodeId> = self.fetcher.newer.keys().copied().collect();
        let near: Vec<NodeId> = all.iter().copied().filter(|id| zone(id) == own).collect();
        let choice = if near.is_empty() { all } else { near };
        let Some(peer) = choice.choose(cx.rng).copied() else {
            self.fetcher.ask_at = Instant::NEVER;
            return;
        };
        self.fetch_from(cx, peer, false);
    }

    /// Asks a peer for a newer version, or for a whole one where a delta did not fit.
    pub(super) fn fetch_from(&mut self, cx: &mut Context<'_>, peer: NodeId, whole: bool) {
        self.fetcher.asked = Some(peer);
        self.fetcher.ask_at = cx.now.plus_ms(FETCH_TIMEOUT_MS);
        let version = self.current.version();
        cx.send(peer, DistributionMessage::Fetch { version, whole });
    }

    /// The peer that was asked serves others: wait, then ask another one.
    pub(super) fn take_busy(&mut self, cx: &mut Context<'_>, from: NodeId, retry_after_ms: u32) {
        if self.fetcher.asked == Some(from) {
            self.fetcher.asked = None;
            let wait_ms = u64::from(retry_after_ms);
            let jitter_ms = cx.rng.random_range(0..=wait_ms);
            self.fetcher.ask_at = cx.now.plus_ms(wait_ms + jitter_ms);
        }
    }

    /// A version came into force: forget who held it.
    pub(super) fn fetched(&mut self, now: Instant) {
        let held = self.current.version();
        self.fetcher.newer.retain(|_, version| *version > held);
        self.fetcher.asked = None;
        self.fetcher.ask_at =
            if self.fetcher.newer.is_empty() { Instant::NEVER } else { now.plus_ms(ZONE_GRACE_MS) };
    }
}
