//! Targets of this process's own host and their leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::view::View;
use super::{AnnouncementOrder, TargetAnnouncement, TargetRecord, TargetState};
use crate::context::Identity;
use crate::ids::TargetId;
use crate::time::Instant;

/// Longest lease of a target, in milliseconds.
pub const MAX_LEASE_MS: u32 = 60_000;

/// Most targets of one process.
pub const MAX_TARGETS: usize = 256;

/// Least time between two records of a target that differ in its load only, in
/// milliseconds. Load is a hint, and each record goes to every process.
const LOAD_EVERY_MS: u64 = 60_000;

/// Least change of the load that is worth a record, in percent of the slots.
const LOAD_STEP_PERCENT: u8 = 25;

struct Lease {
    expires_at: Instant,
    load_due_at: Instant,
    address: SocketAddr,
}

/// Most addresses whose newest announcement is remembered.
const MAX_ADDRESSES: usize = 256;

/// Leases of this process's own targets.
#[derive(Default)]
pub(super) struct Leases {
    leases: BTreeMap<TargetId, Lease>,
    /// The newest announcement, and the target that made it, at each address.
    /// One that was under way for long is known as older by it, also once the
    /// target has left.
    newest: BTreeMap<SocketAddr, (AnnouncementOrder, TargetId)>,
    next_expiry_at: Option<Instant>,
}

impl Leases {
    /// When the first lease expires.
    pub fn next_deadline(&self) -> Instant {
        self.next_expiry_at.unwrap_or(Instant::NEVER)
    }

    pub fn holds(&self, target: &TargetId) -> bool {
        self.leases.contains_key(target)
    }

    pub fn holds_at(&self, address: SocketAddr) -> bool {
        self.leases.values().any(|lease| lease.address == address)
    }

    pub fn targets(&self) -> Vec<TargetId> {
        self.leases.keys().cloned().collect()
    }

    /// Renews a lease. Returns the records that must be written: the target's,
    /// and those of earlier targets at its address, which are gone.
    pub fn announce(
        &mut self,
        now: Instant,
        me: &Identity,
        view: &View,
        given: &TargetAnnouncement,
        stopping: bool,
    ) -> Vec<TargetRecord> {
        if !self.is_newest(given) {
            return Vec::new();
        }
        let mut written = self.end_earlier(me, view, given);
        let is_known = self.holds(&given.target);
        if !is_known && self.leases.len() >= MAX_TARGETS {
            return written;
        }
        let draining = given.draining || stopping;
        let state = if draining { TargetState::Draining } else { TargetState::Ready };
        let old = view.target(&given.target);
        let record = next_record(me, given, state, old);
        let expires_at = now.plus_ms(u64::from(given.lease_ms.min(MAX_LEASE_MS)));
        let lease = self.leases.entry(given.target.clone());
        let lease = lease.or_insert(Lease {
            expires_at,
            load_due_at: Instant::ZERO,
            address: given.address,
        });
        lease.address = given.address;
        lease.expires_at = expires_at;
        let write = match old {
            Some(old) if is_same(old, &record) => {
                now >= lease.load_due_at && load_moved(old.load_percent, record.load_percent)
            }
            _ => true,
        };
        if write {
            lease.load_due_at = now.plus_ms(LOAD_EVERY_MS);
        }
        self.find_next_expiry();
        written.extend(write.then_some(record));
        written
    }

    /// Whether an announcement is newer than all others at its address. One
    /// without an order always counts as new.
    fn is_newest(&mut self, given: &TargetAnnouncement) -> bool {
        let Some(order) = given.order else { return true };
        if let Some((newest, target)) = self.newest.get(&given.address) {
            let is_other_start = order.started_unix_ms != newest.started_unix_ms;
            // Two targets that started within a millisecond cannot be told apart.
            let is_same_start = !is_other_start && *target == given.target;
            let is_older = if is_same_start { order <= *newest } else { order < *newest };
            if is_older && (is_other_start || is_same_start) {
                return false;
            }
        }
        if self.newest.len() >= MAX_ADDRESSES && !self.newest.contains_key(&given.address) {
            self.newest.pop_first();
        }
        self.newest.insert(given.address, (order, given.target.clone()));
        true
    }

    /// Ends the leases of other targets at the address of a numbered
    /// announcement: their address was taken over.
    fn end_earlier(
        &mut self,
        me: &Identity,
        view: &View,
        given: &TargetAnnouncement,
    ) -> Vec<TargetRecord> {
        if given.order.is_none() {
            return Vec::new();
        }
        let is_earlier = |(target, lease): &(&TargetId, &Lease)| {
            lease.address == given.address && **target != given.target
        };
        let earlier: Vec<TargetId> =
            self.leases.iter().filter(is_earlier).map(|(target, _)| target.clone()).collect();
        earlier.iter().filter_map(|target| self.end(me, view, target)).collect()
    }

    /// Ends a lease. Returns the target's last record where it was held.
    pub fn end(&mut self, me: &Identity, view: &View, target: &TargetId) -> Option<TargetRecord> {
        self.leases.remove(target)?;
        self.find_next_expiry();
        view.target(target).filter(|old| old.owner == me.id).map(gone)
    }

    /// Targets whose lease has expired.
    pub fn expired(&self, now: Instant) -> Vec<TargetId> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        expired.map(|(target, _)| target.clone()).collect()
    }

    fn find_next_expiry(&mut self) {
        self.next_expiry_at = self.leases.values().map(|lease| lease.expires_at).min();
    }
}

/// The record after `old` that says that the target is gone.
pub(super) fn gone(old: &TargetRecord) -> TargetRecord {
    TargetRecord { state: TargetState::Gone, sequence: old.sequence + 1, ..old.clone() }
}

/// The record after `old` that says that the target drains.
pub(super) fn draining(old: &TargetRecord) -> TargetRecord {
    TargetRecord { state: TargetState::Draining, sequence: old.sequence + 1, ..old.clone() }
}

fn next_record(
    me: &Identity,
    given: &TargetAnnouncement,
    state: TargetState,
    old: Option<&TargetRecord>,
) -> TargetRecord {
    TargetRecord {
        target: given.target.clone(),
        owner: me.id,
        incarnation: old.map_or(me.incarnation, |old| old.incarnation.max(me.incarnation)),
        sequence: old.map_or(1, |old| old.sequence + 1),
        address: given.address,
        slots: given.slots,
        connections: given.connections,
        state,
        load_percent: given.load_percent,
        cold_ms: given.cold_ms,
    }
}

/// Whether two records differ in nothing but version and load.
fn is_same(old: &TargetRecord, new: &TargetRecord) -> bool {
    let same_start = old.incarnation == new.incarnation;
    let load_percent = old.load_percent;
    let sequence = old.sequence;
    // A target warms up by itself; that is no news.
    let cold_ms = old.cold_ms;
    same_start && TargetRecord { sequence, load_percent, cold_ms, ..new.clone() } == *old
}

fn load_moved(old: Option<u8>, new: Option<u8>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => old.abs_diff(new) >= LOAD_STEP_PERCENT,
        (old, new) => old != new,
    }
}
