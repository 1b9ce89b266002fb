//! Fetches a newer version from a peer if the update does not arrive from the parent.
//!
//! Updates normally come from the parent. They can be late, for example if a relay crashes
//! after it has sent to only some of its children. The process then requests the version from
//! the peers that are known to hold it, one at a time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::Distribution;
use super::message::DistributionMessage;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};
use crate::membership::Membership;
use crate::time::Instant;

/// Time allowed for an update from the parent before it is fetched from a peer in the own
/// availability zone, in milliseconds.
const ZONE_GRACE_MS: u64 = 300;

/// The same before a fetch from another availability zone, in milliseconds. Longer, since the
/// bytes may cross a link that is paid by volume.
const REMOTE_GRACE_MS: u64 = 1_000;

/// Time after which a fetch from a peer that did not answer is abandoned, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 2_000;

/// Maximum number of peers recorded as holding a newer version.
const MAX_NEWER_HOLDERS: usize = 32;

/// Peers that hold a newer version, and the one that the version was requested from.
pub(super) struct Fetcher {
    newer_holders: BTreeMap<NodeId, Version>,
    requested_from: Option<NodeId>,
    /// When to send the next request.
    pub fetch_at: Instant,
}

impl Fetcher {
    pub fn new() -> Self {
        Self { newer_holders: BTreeMap::new(), requested_from: None, fetch_at: Instant::NEVER }
    }

    /// Removes a peer whose connection closed.
    pub fn peer_lost(&mut self, now: Instant, peer: NodeId) {
        self.newer_holders.remove(&peer);
        if self.requested_from == Some(peer) {
            self.requested_from = None;
            self.fetch_at = if self.newer_holders.is_empty() { Instant::NEVER } else { now };
        }
    }
}

impl Distribution {
    /// Records that a peer holds a version, and schedules a fetch if it is a newer one.
    pub(super) fn record_newer_holder(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        peer: NodeId,
        version: Version,
    ) {
        if version <= self.current.version() {
            return;
        }
        if self.fetcher.newer_holders.len() < MAX_NEWER_HOLDERS
            || self.fetcher.newer_holders.contains_key(&peer)
        {
            self.fetcher.newer_holders.insert(peer, version);
        }
        if self.fetcher.requested_from.is_some() {
            return;
        }
        let zone = |id| membership.member(id).map(|m| &m.locality.availability_zone);
        let is_same_zone = zone(peer) == Some(&cx.me.locality.availability_zone);
        let grace_ms = if is_same_zone { ZONE_GRACE_MS } else { REMOTE_GRACE_MS };
        // Jitter keeps the processes that lack the version from requesting it all at once.
        let fetch_at = cx.now.plus_ms(grace_ms + cx.rng.random_range(0..grace_ms));
        self.fetcher.fetch_at = self.fetcher.fetch_at.min(fetch_at);
    }

    /// Requests the newer version from the next peer if that is due.
    pub(super) fn tick_fetcher(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if cx.now < self.fetcher.fetch_at {
            return;
        }
        if let Some(unresponsive) = self.fetcher.requested_from.take() {
            self.fetcher.newer_holders.remove(&unresponsive);
        }
        let held = self.current.version();
        self.fetcher.newer_holders.retain(|_, version| *version > held);
        let zone = |id: &NodeId| membership.member(*id).map(|m| &m.locality.availability_zone);
        let own = Some(&cx.me.locality.availability_zone);
        let peers: Vec<NodeId> = self.fetcher.newer_holders.keys().copied().collect();
        let same_zone_peers: Vec<NodeId> =
            peers.iter().copied().filter(|id| zone(id) == own).collect();
        let choices = if same_zone_peers.is_empty() { peers } else { same_zone_peers };
        let Some(peer) = choices.choose(cx.rng).copied() else {
            self.fetcher.fetch_at = Instant::NEVER;
            return;
        };
        self.fetch_from(cx, peer, false);
    }

    /// Requests a newer version from a peer, or a full snapshot if a delta could not be applied.
    pub(super) fn fetch_from(&mut self, cx: &mut Context<'_>, peer: NodeId, needs_snapshot: bool) {
        self.fetcher.requested_from = Some(peer);
        self.fetcher.fetch_at = cx.now.plus_ms(FETCH_TIMEOUT_MS);
        let version = self.current.version();
        let text = format!("Fetches a version newer than {version} from {peer}.");
        cx.log(LogLevel::Info, LogPart::Distribution, text);
        cx.send(peer, DistributionMessage::Fetch { version, needs_snapshot });
    }

    /// The requested peer is busy: requests from a peer again after the delay. A parent that was not
    /// requested has no place for this process among its children.
    pub(super) fn handle_busy(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        retry_after_ms: u32,
    ) {
        if self.fetcher.requested_from == Some(from) {
            self.fetcher.requested_from = None;
            let wait_ms = u64::from(retry_after_ms);
            let jitter_ms = cx.rng.random_range(0..=wait_ms);
            self.fetcher.fetch_at = cx.now.plus_ms(wait_ms + jitter_ms);
        } else if self.upstream.parent == Some(from) {
            self.start_search(cx, membership, "it has no place for another child");
        }
    }

    /// A version came into force: removes the peers that do not hold a newer one.
    pub(super) fn stop_fetching(&mut self, now: Instant) {
        let held = self.current.version();
        self.fetcher.newer_holders.retain(|_, version| *version > held);
        self.fetcher.requested_from = None;
        self.fetcher.fetch_at = if self.fetcher.newer_holders.is_empty() {
            Instant::NEVER
        } else {
            now.plus_ms(ZONE_GRACE_MS)
        };
    }
}
