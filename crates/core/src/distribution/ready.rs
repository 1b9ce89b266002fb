//! Decides whether this process may serve calls.
//!
//! A restarted process holds no configuration. Its neighbours have recorded the version that it
//! acknowledged. If it served by an older one, calls would return to an older configuration.

use std::collections::BTreeSet;

use crate::ids::{NodeId, Version};
use crate::membership::{Member, MemberStatus, Membership};
use crate::time::Instant;

/// Maximum time for which a process that holds a version waits for neighbours that have not
/// reported the version they recorded of it, in milliseconds.
const NEIGHBOURS_TIMEOUT_MS: u64 = 2_000;

/// Time after the start from which a contact with a control replica confirms a version, in
/// milliseconds. The contact is dated by the time at which a majority was last known to follow
/// the leader. The answers of that majority may have been under way for a one-way delay.
pub(super) const CONFIRM_AFTER_START_MS: u64 = 350;

/// Time after the start for which a process waits for a contact with a control replica, in
/// milliseconds. After it, a serving neighbour suffices, so that an availability zone that is
/// cut off from the control plane continues to serve.
const NEIGHBOUR_SUFFICES_AFTER_MS: u64 = 2_000;

/// Time between the first sync of the membership and the moment from which a process serves, in
/// milliseconds. Within it all other processes record this one, so that none reports a version
/// as in force everywhere without it.
const SERVE_AFTER_SYNC_MS: u64 = 200;

/// The conditions for which a process waits before it serves.
pub(super) struct Readiness {
    is_ready: bool,
    /// The oldest version by which this process may serve.
    min_version: Version,
    /// Whether a control replica with a leader was in contact since this start. Only its
    /// version, or that of a serving neighbour, shows what was in force before the start. Other
    /// processes may have been cut off or restarted as well.
    is_confirmed: bool,
    /// Whether a serving neighbour was in contact. It may have been cut off from this process
    /// before the start, so a contact with a control replica takes precedence.
    has_serving_neighbour: bool,
    /// Processes that reported a version since the start.
    responders: BTreeSet<NodeId>,
    /// When the wait for neighbours times out.
    neighbours_timeout_at: Instant,
    /// When to check the conditions again.
    recheck_at: Instant,
}

impl Readiness {
    pub fn new() -> Self {
        Self {
            is_ready: false,
            min_version: Version(0),
            is_confirmed: false,
            has_serving_neighbour: false,
            responders: BTreeSet::new(),
            neighbours_timeout_at: Instant::NEVER,
            recheck_at: Instant::NEVER,
        }
    }

    /// When [`Readiness::update`] is due.
    pub fn next_deadline(&self) -> Instant {
        if self.is_ready { Instant::NEVER } else { self.recheck_at }
    }

    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Records the newest version that another process reported.
    pub fn record_version(&mut self, from: NodeId, version: Version) {
        if !self.is_ready {
            self.responders.insert(from);
            self.min_version = self.min_version.max(version);
        }
    }

    /// Records that a control replica confirmed the versions in force before this start.
    pub fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    /// Records a contact with a serving neighbour.
    pub fn record_serving_neighbour(&mut self) {
        self.has_serving_neighbour = true;
    }

    /// Records a contact with a control replica. A contact before the start, or soon after it,
    /// does not show what this process had acknowledged.
    pub fn record_control_contact(&mut self, contact_at: Instant) {
        if contact_at.as_ms() >= CONFIRM_AFTER_START_MS {
            self.confirm();
        }
    }

    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Checks whether all conditions are met.
    pub fn update(&mut self, now: Instant, held: Version, membership: &Membership) {
        if self.is_ready || held == Version(0) {
            return;
        }
        if self.neighbours_timeout_at == Instant::NEVER {
            self.neighbours_timeout_at = now.plus_ms(NEIGHBOURS_TIMEOUT_MS);
        }
        if held < self.min_version || !(self.is_confirmed || self.has_serving_neighbour) {
            // The missing version or contact arrives as an event.
            self.recheck_at = Instant::NEVER;
            return;
        }
        let neighbour_suffices_at = Instant::from_ms(NEIGHBOUR_SUFFICES_AFTER_MS);
        if !self.is_confirmed && now < neighbour_suffices_at {
            self.recheck_at = neighbour_suffices_at;
            return;
        }
        let alive = |id: &NodeId| {
            membership.member(*id).is_some_and(|m: &Member| m.status == MemberStatus::Alive)
        };
        let neighbours = membership.topology().neighbours().iter();
        let mut alive = neighbours.filter(|id| alive(id));
        let have_all_responded = alive.all(|id| self.responders.contains(id));
        let known_to_peers_at = known_to_peers_at(membership);
        if now >= self.neighbours_timeout_at || (have_all_responded && now >= known_to_peers_at) {
            self.is_ready = true;
            self.responders.clear();
        } else if known_to_peers_at > now {
            self.recheck_at = known_to_peers_at.min(self.neighbours_timeout_at);
        } else {
            self.recheck_at = self.neighbours_timeout_at;
        }
    }
}

fn known_to_peers_at(membership: &Membership) -> Instant {
    match membership.synced_at() {
        // There is no other process that has to record this one.
        Some(Instant::ZERO) => Instant::ZERO,
        Some(synced_at) => synced_at.plus_ms(SERVE_AFTER_SYNC_MS),
        None => Instant::NEVER,
    }
}
