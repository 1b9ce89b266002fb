//! Queue of the calls that wait for a slot of one target, in the order in which they are served.
//!
//! Calls that are expected to be late are last. Before that, the order is by rank. Within one
//! rank, organisations have equal shares by start-time fair queueing: each call takes one unit of
//! virtual time, it starts where the preceding call of its organisation ends, and the virtual time
//! is the start of the call that was served last. A call of an organisation that was idle starts
//! at the current virtual time, so that it gains nothing from having been idle. Calls that start
//! at the same virtual time are ordered by the end of their target latency.
//!
//! Only calls that are served take virtual time. A caller that is refused and returns at once
//! therefore neither loses nor gains a share.

use std::hash::BuildHasher;

use super::admission::AdmissionRequest;
use super::reservation::Rank;
use crate::collections::HashMap;
use crate::ids::{CallId, Name};
use crate::time::Instant;

/// Organisation of a call: a hash of its name. Calls without an organisation share a key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct OrganisationKey(Option<u64>);

impl OrganisationKey {
    /// The key of an organisation, or of the calls without one.
    pub fn new(organisation: Option<&Name>) -> Self {
        Self(organisation.map(|name| foldhash::quality::FixedState::default().hash_one(name)))
    }
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    /// Whether the call is expected to miss its target latency.
    pub is_late: bool,
    pub rank: Rank,
    pub request: AdmissionRequest,
    /// Virtual time at which the call starts.
    start: u64,
}

impl QueuedCall {
    pub fn new(request: AdmissionRequest, rank: Rank, is_late: bool) -> Self {
        Self { is_late, rank, request, start: 0 }
    }

    /// Sort key among the calls of one organisation; the lowest key is served first.
    fn order(&self) -> (bool, Rank, Instant) {
        (self.is_late, self.rank, self.request.useful_until)
    }

    fn fair_order(&self) -> (bool, Rank, u64, Instant) {
        (self.is_late, self.rank, self.start, self.request.useful_until)
    }
}

/// Virtual time of the calls of one rank.
#[derive(Debug, Default)]
struct Shares {
    /// Start of the call that was served last.
    virtual_time: u64,
    /// Where the last served call of an organisation ends, if that is after `virtual_time`. Has at
    /// most the organisations that were served within the current unit.
    ends: HashMap<OrganisationKey, u64>,
}

impl Shares {
    /// Where the next call of an organisation starts.
    fn next_start(&self, organisation: OrganisationKey) -> u64 {
        self.ends.get(&organisation).copied().unwrap_or(self.virtual_time)
    }

    fn record(&mut self, organisation: OrganisationKey) {
        let start = self.next_start(organisation);
        if start > self.virtual_time {
            self.virtual_time = start;
            self.ends.retain(|_, end| *end > start);
        }
        self.ends.insert(organisation, start + 1);
    }
}

/// Queued calls of one target, and the shares of the organisations whose calls it serves.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    /// Next call first, as of the last change.
    calls: Vec<QueuedCall>,
    shares: HashMap<Rank, Shares>,
}

impl FairQueue {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &QueuedCall> {
        self.calls.iter()
    }

    /// Inserts a call in order. Returns its position.
    pub fn insert(&mut self, queued: QueuedCall) -> usize {
        let call = queued.request.call;
        let position = self.calls.partition_point(|other| other.order() <= queued.order());
        if !self.has_organisation() && queued.request.organisation.0.is_none() {
            self.calls.insert(position, queued);
            return position;
        }
        self.calls.push(queued);
        self.sort();
        let position = self.calls.iter().position(|queued| queued.request.call == call);
        position.expect("the call was inserted")
    }

    /// Appends a call behind all others.
    pub fn push(&mut self, queued: QueuedCall) {
        self.calls.push(queued);
    }

    /// Removes a call.
    pub fn remove(&mut self, call: CallId) {
        self.calls.retain(|queued| queued.request.call != call);
    }

    /// Removes all calls and returns them in order.
    pub fn take_all(&mut self) -> Vec<QueuedCall> {
        self.sort();
        std::mem::take(&mut self.calls)
    }

    /// Counts a call that is served, from the queue or at once.
    pub fn record_start(&mut self, rank: Rank, organisation: OrganisationKey) {
        self.shares.entry(rank).or_default().record(organisation);
    }

    /// Forgets the shares. They have no effect on a target that serves no calls.
    pub fn forget_shares(&mut self) {
        self.shares.clear();
    }

    /// Restores the order after calls were served or removed. Without organisations the order
    /// does not depend on that.
    pub fn sort(&mut self) {
        if !self.has_organisation() {
            return;
        }
        self.calls.sort_by_key(QueuedCall::order);
        let mut calls_ahead: HashMap<(Rank, OrganisationKey), u64> = HashMap::default();
        for queued in &mut self.calls {
            let organisation = queued.request.organisation;
            let ahead = calls_ahead.entry((queued.rank, organisation)).or_default();
            let shares = self.shares.get(&queued.rank);
            queued.start = shares.map_or(0, |shares| shares.next_start(organisation)) + *ahead;
            *ahead += 1;
        }
        self.calls.sort_by_key(QueuedCall::fair_order);
    }

    fn has_organisation(&self) -> bool {
        self.calls.iter().any(|queued| queued.request.organisation.0.is_some())
    }
}
