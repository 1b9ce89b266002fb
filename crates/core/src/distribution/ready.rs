//! Whether this process may serve calls.
//!
//! A process that is restarted holds nothing. Its neighbours remember what it
//! had acknowledged; below that it would move calls back to an older version.

use std::collections::BTreeSet;

use crate::ids::{NodeId, Version};
use crate::membership::{Member, MemberStatus, Membership};
use crate::time::Instant;

/// Longest time that a process which holds a version waits for neighbours that
/// do not say what they remember of it, in milliseconds.
const NEIGHBOURS_TIMEOUT_MS: u64 = 2_000;

/// What a process waits for before it serves.
pub(super) struct Readiness {
    is_ready: bool,
    floor: Version,
    heard: BTreeSet<NodeId>,
    /// When neighbours are waited for no longer.
    pub give_up_at: Instant,
}

impl Readiness {
    pub fn new() -> Self {
        Self {
            is_ready: false,
            floor: Version(0),
            heard: BTreeSet::new(),
            give_up_at: Instant::NEVER,
        }
    }

    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// A neighbour said what it holds and what it remembers of this process.
    pub fn heard(&mut self, neighbour: NodeId, holds: Version, remembered: Option<Version>) {
        if self.is_ready {
            return;
        }
        self.heard.insert(neighbour);
        self.floor = self.floor.max(holds).max(remembered.unwrap_or_default());
    }

    /// Looks whether nothing is waited for any more.
    pub fn update(&mut self, now: Instant, held: Version, membership: &Membership) {
        if self.is_ready || held == Version(0) {
            return;
        }
        if self.give_up_at == Instant::NEVER {
            self.give_up_at = now.plus_ms(NEIGHBOURS_TIMEOUT_MS);
        }
        if held < self.floor {
            return;
        }
        let alive = |id: &NodeId| {
            membership.member(*id).is_some_and(|m: &Member| m.status == MemberStatus::Alive)
        };
        let neighbours = membership.topology().neighbours().iter();
        let mut alive = neighbours.filter(|id| alive(id));
        let all_heard = membership.synced_at().is_some() && alive.all(|id| self.heard.contains(id));
        if all_heard || now >= self.give_up_at {
            self.is_ready = true;
            self.heard.clear();
        }
    }
}
