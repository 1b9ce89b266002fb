//! Targets of this process's own host and their leases.

use std::collections::BTreeMap;

use super::view::View;
use super::{TargetAnnouncement, TargetRecord, TargetState};
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
}

/// Leases of this process's own targets.
#[derive(Default)]
pub(super) struct Leases {
    leases: BTreeMap<TargetId, Lease>,
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

    pub fn targets(&self) -> Vec<TargetId> {
        self.leases.keys().cloned().collect()
    }

    /// Renews a lease. Returns the target's record where it must be written.
    pub fn announce(
        &mut self,
        now: Instant,
        me: &Identity,
        view: &View,
        given: &TargetAnnouncement,
        stopping: bool,
    ) -> Option<TargetRecord> {
        let is_known = self.holds(&given.target);
        if !is_known && self.leases.len() >= MAX_TARGETS {
            return None;
        }
        let draining = given.draining || stopping;
        let state = if draining { TargetState::Draining } else { TargetState::Ready };
        let old = view.target(&given.target);
        let record = next_record(me, given, state, old);
        let expires_at = now.plus_ms(u64::from(given.lease_ms.min(MAX_LEASE_MS)));
        let lease = self.leases.entry(given.target.clone());
        let lease = lease.or_insert(Lease { expires_at, load_due_at: Instant::ZERO });
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
        write.then_some(record)
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
    }
}

/// Whether two records differ in nothing but version and load.
fn is_same(old: &TargetRecord, new: &TargetRecord) -> bool {
    let same_start = old.incarnation == new.incarnation;
    let load_percent = old.load_percent;
    let sequence = old.sequence;
    same_start && TargetRecord { sequence, load_percent, ..new.clone() } == *old
}

fn load_moved(old: Option<u8>, new: Option<u8>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => old.abs_diff(new) >= LOAD_STEP_PERCENT,
        (old, new) => old != new,
    }
}
