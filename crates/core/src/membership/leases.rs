//! Leases of the targets that are announced to this process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::departures::{Departure, Departures};
use super::view::View;
use super::{AnnouncementOrder, TargetAnnouncement, TargetRecord, TargetState};
use crate::context::Identity;
use crate::ids::{Name, TargetId};
use crate::time::Instant;

/// Longest lease of a target, in milliseconds.
pub const MAX_LEASE_MS: u32 = 60_000;

/// Most targets of one process.
pub const MAX_TARGETS: usize = 256;

/// Least time between two records of a target that differ only in its load, in
/// milliseconds. Load is only a hint, and each record is sent to every process.
const MIN_LOAD_INTERVAL_MS: u64 = 60_000;

/// Smallest change of the load for which a record is written, in percent of the slots.
const MIN_LOAD_STEP_PERCENT: u8 = 25;

struct Lease {
    expires_at: Instant,
    load_due_at: Instant,
    address: SocketAddr,
    /// When the target started, as Unix time, if its announcements are numbered.
    started_unix_ms: Option<u64>,
    /// Whether the target stated in a response that it is leaving. This holds for the rest of
    /// its run: an announcement that says otherwise may be older.
    is_leaving: bool,
}

/// Why a lease ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaseEnd {
    /// The target left, or another one runs at its address.
    Left,
    /// It was not renewed in time. The target may still run.
    Expired,
}

/// Most addresses for which the newest announcement is stored.
const MAX_STORED_ADDRESSES: usize = 256;

/// Leases of the targets that are announced to this process.
#[derive(Default)]
pub(super) struct Leases {
    leases: BTreeMap<TargetId, Lease>,
    /// The newest announcement at each address, and the target that sent it. Older
    /// announcements that arrive late are detected with it, even after the target
    /// has left.
    newest_by_address: BTreeMap<SocketAddr, (AnnouncementOrder, TargetId)>,
    next_expiry_at: Option<Instant>,
    departures: Departures,
}

impl Leases {
    /// When the next lease expires.
    pub fn next_deadline(&self) -> Instant {
        self.next_expiry_at.unwrap_or(Instant::NEVER)
    }

    pub fn contains(&self, target: &TargetId) -> bool {
        self.leases.contains_key(target)
    }

    pub fn contains_address(&self, address: SocketAddr) -> bool {
        self.leases.values().any(|lease| lease.address == address)
    }

    pub fn targets(&self) -> Vec<TargetId> {
        self.leases.keys().cloned().collect()
    }

    /// Creates or renews the lease of a target. Returns the records to write: that of
    /// the target if it changed, and those of earlier targets at its address, which
    /// are gone. An outdated announcement, or one above [`MAX_TARGETS`], is ignored.
    pub fn renew(
        &mut self,
        now: Instant,
        me: &Identity,
        view: &View,
        announcement: &TargetAnnouncement,
        is_stopping: bool,
    ) -> Vec<TargetRecord> {
        if !self.is_newest(announcement) {
            return Vec::new();
        }
        let departure = self.departures.of_run(now, &announcement.target, announcement.order);
        let has_left = departure.is_some_and(|departure| departure.has_left);
        if has_left || self.is_of_earlier_run(announcement) {
            return Vec::new();
        }
        let mut records = self.end_replaced(now, me, view, announcement);
        let is_known = self.contains(&announcement.target);
        if !is_known && self.leases.len() >= MAX_TARGETS {
            return records;
        }
        let is_leaving = departure.is_some() || self.is_leaving(announcement);
        let is_draining = announcement.draining || is_leaving || is_stopping;
        let state = if is_draining { TargetState::Draining } else { TargetState::Ready };
        let old = view.target(&announcement.target);
        let record =
            TargetRecord { has_departed: is_leaving, ..next_record(me, announcement, state, old) };
        let expires_at = now.plus_ms(u64::from(announcement.lease_ms.min(MAX_LEASE_MS)));
        let lease = self.leases.entry(announcement.target.clone());
        let lease = lease.or_insert(Lease {
            expires_at,
            load_due_at: Instant::ZERO,
            address: announcement.address,
            started_unix_ms: None,
            is_leaving,
        });
        lease.address = announcement.address;
        lease.started_unix_ms = announcement.order.map(|order| order.started_unix_ms);
        lease.is_leaving = is_leaving;
        lease.expires_at = expires_at;
        let needs_record = match old {
            Some(old) if is_equal_except_load(old, &record) => {
                now >= lease.load_due_at && is_load_step(old.load_percent, record.load_percent)
            }
            _ => true,
        };
        if needs_record {
            lease.load_due_at = now.plus_ms(MIN_LOAD_INTERVAL_MS);
        }
        self.update_next_expiry();
        records.extend(needs_record.then_some(record));
        records
    }

    /// Marks a target as leaving. Returns false if it is already marked, or without a lease.
    pub fn mark_leaving(&mut self, now: Instant, target: &TargetId) -> bool {
        let Some(lease) = self.leases.get_mut(target) else { return false };
        if let Some(started_unix_ms) = lease.started_unix_ms {
            let departure = Departure { started_unix_ms, has_left: false };
            self.departures.record(now, target, departure);
        }
        !std::mem::replace(&mut lease.is_leaving, true)
    }

    /// Records the departure of a target that is not announced to this process.
    pub fn record_unknown_departure(&mut self, now: Instant, id: &Name, unix_ms: u64) {
        self.departures.record_unknown(now, id, unix_ms);
    }

    /// Learns from a record that an earlier run of this process wrote. Returns the departure of the
    /// run that holds the lease, if the record, or a request that came before it, states one.
    pub fn learn(&mut self, now: Instant, record: &TargetRecord) -> Option<Departure> {
        let target = &record.target;
        if let Some(departure) = record.departure() {
            self.departures.record(now, target, departure);
        }
        if let Some(order) = record.order.filter(|_| record.state == TargetState::Draining)
            && self.newest_at(record.address) < Some(order)
        {
            self.store_newest(record.address, order, target.clone());
            let lease = self.leases.get(target);
            if lease.is_some_and(|lease| lease.started_unix_ms == Some(order.started_unix_ms)) {
                // The lease is by an announcement that was sent before the target drained.
                return Some(Departure { started_unix_ms: order.started_unix_ms, has_left: false });
            }
        }
        let order = match self.leases.get(target) {
            Some(lease) => lease.started_unix_ms.map(AnnouncementOrder::first_of),
            None => record.order,
        };
        self.departures.of_run(now, target, order)
    }

    /// Whether the announced target stated before that it is leaving, in the same run.
    fn is_leaving(&self, announcement: &TargetAnnouncement) -> bool {
        let started_unix_ms = announcement.order.map(|order| order.started_unix_ms);
        self.leases.get(&announcement.target).is_some_and(|lease| {
            let is_same_run =
                lease.address == announcement.address && lease.started_unix_ms == started_unix_ms;
            lease.is_leaving && is_same_run
        })
    }

    /// Whether a later run of the target holds the lease, at whatever address.
    fn is_of_earlier_run(&self, announcement: &TargetAnnouncement) -> bool {
        let lease = self.leases.get(&announcement.target);
        let held_by = lease.and_then(|lease| lease.started_unix_ms);
        announcement.order.is_some_and(|order| held_by > Some(order.started_unix_ms))
    }

    /// Records an announcement and returns whether it is newer than all others at its
    /// address. An announcement without an order always counts as newest.
    fn is_newest(&mut self, announcement: &TargetAnnouncement) -> bool {
        let Some(order) = announcement.order else { return true };
        if let Some((newest, target)) = self.newest_by_address.get(&announcement.address) {
            let is_other_start = order.started_unix_ms != newest.started_unix_ms;
            // Two targets that started in the same millisecond cannot be ordered.
            let is_same_start = !is_other_start && *target == announcement.target;
            let is_older = if is_same_start { order <= *newest } else { order < *newest };
            if is_older && (is_other_start || is_same_start) {
                return false;
            }
        }
        self.store_newest(announcement.address, order, announcement.target.clone());
        true
    }

    fn newest_at(&self, address: SocketAddr) -> Option<AnnouncementOrder> {
        self.newest_by_address.get(&address).map(|(newest, _)| *newest)
    }

    fn store_newest(&mut self, address: SocketAddr, order: AnnouncementOrder, target: TargetId) {
        if self.newest_by_address.len() >= MAX_STORED_ADDRESSES
            && !self.newest_by_address.contains_key(&address)
        {
            self.newest_by_address.pop_first();
        }
        self.newest_by_address.insert(address, (order, target));
    }

    /// Ends the leases of other targets at the address of a numbered announcement,
    /// because the announced target has replaced them. Returns their last records.
    fn end_replaced(
        &mut self,
        now: Instant,
        me: &Identity,
        view: &View,
        announcement: &TargetAnnouncement,
    ) -> Vec<TargetRecord> {
        if announcement.order.is_none() {
            return Vec::new();
        }
        let is_replaced = |(target, lease): &(&TargetId, &Lease)| {
            lease.address == announcement.address && **target != announcement.target
        };
        let replaced: Vec<TargetId> =
            self.leases.iter().filter(is_replaced).map(|(target, _)| target.clone()).collect();
        let end = LeaseEnd::Left;
        replaced.iter().filter_map(|target| self.remove(now, me, view, target, end)).collect()
    }

    /// Ends a lease. Returns the target's last record, with the state gone, if this
    /// process held the lease and owns the record.
    pub fn remove(
        &mut self,
        now: Instant,
        me: &Identity,
        view: &View,
        target: &TargetId,
        end: LeaseEnd,
    ) -> Option<TargetRecord> {
        let lease = self.leases.remove(target)?;
        self.update_next_expiry();
        let has_left = end == LeaseEnd::Left;
        if let Some(started_unix_ms) = lease.started_unix_ms.filter(|_| has_left) {
            self.departures.record(now, target, Departure { started_unix_ms, has_left });
        }
        let old = view.target(target).filter(|old| old.owner == me.id)?;
        let has_departed = has_left || lease.is_leaving;
        Some(TargetRecord { has_departed, ..gone_record(old) })
    }

    /// Targets whose lease has expired.
    pub fn expired(&self, now: Instant) -> Vec<TargetId> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        expired.map(|(target, _)| target.clone()).collect()
    }

    fn update_next_expiry(&mut self) {
        self.next_expiry_at = self.leases.values().map(|lease| lease.expires_at).min();
    }
}

/// The successor of record `old`, with the state gone.
pub(super) fn gone_record(old: &TargetRecord) -> TargetRecord {
    TargetRecord { state: TargetState::Gone, sequence: old.sequence + 1, ..old.clone() }
}

/// The successor of record `old`, with the state draining.
pub(super) fn draining_record(old: &TargetRecord) -> TargetRecord {
    TargetRecord { state: TargetState::Draining, sequence: old.sequence + 1, ..old.clone() }
}

fn next_record(
    me: &Identity,
    announcement: &TargetAnnouncement,
    state: TargetState,
    old: Option<&TargetRecord>,
) -> TargetRecord {
    TargetRecord {
        target: announcement.target.clone(),
        owner: me.id,
        incarnation: old.map_or(me.incarnation, |old| old.incarnation.max(me.incarnation)),
        sequence: old.map_or(1, |old| old.sequence + 1),
        address: announcement.address,
        slots: announcement.slots,
        connections: announcement.connections,
        state,
        load_percent: announcement.load_percent,
        cold_ms: announcement.cold_ms,
        order: announcement.order,
        has_departed: false,
    }
}

/// Whether two records are of the same run and differ at most in sequence, load, `cold_ms` and the
/// number of the announcement.
fn is_equal_except_load(old: &TargetRecord, new: &TargetRecord) -> bool {
    let is_same_start = old.incarnation == new.incarnation;
    let load_percent = old.load_percent;
    let sequence = old.sequence;
    // A target warms up over time anyway, so a change of `cold_ms` needs no record.
    let cold_ms = old.cold_ms;
    let run = |record: &TargetRecord| record.order.map(|order| order.started_unix_ms);
    let is_same_start = is_same_start && run(old) == run(new);
    // Each announcement of a run has another number.
    let order = old.order;
    is_same_start && TargetRecord { sequence, load_percent, cold_ms, order, ..new.clone() } == *old
}

fn is_load_step(old: Option<u8>, new: Option<u8>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => old.abs_diff(new) >= MIN_LOAD_STEP_PERCENT,
        (old, new) => old != new,
    }
}
