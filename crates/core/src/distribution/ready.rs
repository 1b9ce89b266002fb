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

/// Time after the start from which the word of a control replica vouches for a
/// version, in milliseconds. Its word is dated by when a majority was last
/// known to follow the leader; the answers of that majority may have been under
/// way for a one-way delay.
pub(super) const VOUCH_AFTER_START_MS: u64 = 350;

/// Time after the start for which word of a control replica is waited for, in
/// milliseconds, before that of a neighbour that serves suffices: a zone that
/// is cut off from control goes on serving.
const NEIGHBOUR_SUFFICES_AFTER_MS: u64 = 2_000;

/// Time after the others were first known before a process serves, in
/// milliseconds. In it they all hear of this process, so that none says that
/// a version is in force everywhere without it.
const KNOWN_TO_OTHERS_AFTER_MS: u64 = 200;

/// What a process waits for before it serves.
pub(super) struct Readiness {
    is_ready: bool,
    floor: Version,
    /// Whether anybody was heard who knows what was in force before this start:
    /// a control replica with a leader, or a neighbour that serves. Others may
    /// have been cut off or restarted too.
    is_vouched: bool,
    /// Whether a neighbour that serves was heard. It may have been cut off from
    /// this process before the start, so a control replica's word goes first.
    neighbour_serves: bool,
    heard: BTreeSet<NodeId>,
    /// When neighbours are waited for no longer.
    give_up_at: Instant,
    /// When to look again whether something is still waited for.
    look_at: Instant,
}

impl Readiness {
    pub fn new() -> Self {
        Self {
            is_ready: false,
            floor: Version(0),
            is_vouched: false,
            neighbour_serves: false,
            heard: BTreeSet::new(),
            give_up_at: Instant::NEVER,
            look_at: Instant::NEVER,
        }
    }

    /// When [`Readiness::update`] is due.
    pub fn next_deadline(&self) -> Instant {
        if self.is_ready { Instant::NEVER } else { self.look_at }
    }

    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Another process said up to which version it knows.
    pub fn heard(&mut self, from: NodeId, version: Version) {
        if !self.is_ready {
            self.heard.insert(from);
            self.floor = self.floor.max(version);
        }
    }

    /// Someone was heard who knows what was in force before this start.
    pub fn vouch(&mut self) {
        self.is_vouched = true;
    }

    /// A neighbour that serves was heard.
    pub fn neighbour_serves(&mut self) {
        self.neighbour_serves = true;
    }

    /// A control replica was heard. Its word from before the start, or soon
    /// after it, says nothing of what this process had acknowledged.
    pub fn vouch_at(&mut self, heard_at: Instant) {
        if heard_at.as_ms() >= VOUCH_AFTER_START_MS {
            self.vouch();
        }
    }

    pub fn is_vouched(&self) -> bool {
        self.is_vouched
    }

    /// Looks whether nothing is waited for any more.
    pub fn update(&mut self, now: Instant, held: Version, membership: &Membership) {
        if self.is_ready || held == Version(0) {
            return;
        }
        if self.give_up_at == Instant::NEVER {
            self.give_up_at = now.plus_ms(NEIGHBOURS_TIMEOUT_MS);
        }
        if held < self.floor || !(self.is_vouched || self.neighbour_serves) {
            // What is missing comes as an event.
            self.look_at = Instant::NEVER;
            return;
        }
        let alone_at = Instant::from_ms(NEIGHBOUR_SUFFICES_AFTER_MS);
        if !self.is_vouched && now < alone_at {
            self.look_at = alone_at;
            return;
        }
        let alive = |id: &NodeId| {
            membership.member(*id).is_some_and(|m: &Member| m.status == MemberStatus::Alive)
        };
        let neighbours = membership.topology().neighbours().iter();
        let mut alive = neighbours.filter(|id| alive(id));
        let all_heard = alive.all(|id| self.heard.contains(id));
        let known_at = known_to_others_at(membership);
        if now >= self.give_up_at || (all_heard && now >= known_at) {
            self.is_ready = true;
            self.heard.clear();
        } else if known_at > now {
            self.look_at = known_at.min(self.give_up_at);
        } else {
            self.look_at = self.give_up_at;
        }
    }
}

fn known_to_others_at(membership: &Membership) -> Instant {
    match membership.synced_at() {
        // Nobody else is there to know it.
        Some(Instant::ZERO) => Instant::ZERO,
        Some(synced_at) => synced_at.plus_ms(KNOWN_TO_OTHERS_AFTER_MS),
        None => Instant::NEVER,
    }
}
