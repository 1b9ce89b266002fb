//! Admission control for one target, run by the owner of the target: a limit of concurrent
//! calls, the rate limit that the target states, and a short queue.
//!
//! A call that finds no free slot is queued only if its response is expected within the target
//! latency of its policy. The queue is ordered by priority, then fairly among organisations, then by the
//! time at which the target latency ends: a call on behalf of a running call goes ahead of new
//! work.
//! A few calls that are expected to miss their target latency may be queued as well; they
//! receive slots that no other call needs. A call that later arrivals delay beyond its time is
//! refused as soon as that is expected.
//!
//! A call of a class that holds its slot for a short time, compared with the other classes at
//! this target, may wait in its priority until its deadline. Its refusal would free little
//! capacity, and the call it was made for usually holds a slot elsewhere for longer.

use super::call::{CallClass, CapacityReport, RateReport, TargetLoad};
use super::capacity::{CapacityMark, TargetCapacity};
use super::fair_queue::{FairQueue, OrganisationKey, QueuedCall};
use super::goodput::{Goodput, GoodputChange, RequestEnd};
use super::hold_times::HoldTimes;
use super::rate_limit::{RateGate, RateLimit};
use super::reservation::{Rank, Reservation};
use crate::ids::CallId;
use crate::time::Instant;

/// Result of an admission request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AdmissionResult {
    /// The call has a slot.
    Admitted,
    /// The call is queued for a slot.
    Queued,
    /// The call is not expected to be served in time.
    Shed,
}

/// Properties of a call that decide its admission.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionRequest {
    pub call: CallId,
    /// Priority in the queue; 0 is served first.
    pub priority: u8,
    /// End of the policy's target latency, or the deadline if that is earlier.
    pub useful_until: Instant,
    /// When the call times out.
    pub deadline: Instant,
    /// Maximum number of calls that may be queued ahead of this one.
    pub max_queued: u32,
    pub class: CallClass,
    pub organisation: OrganisationKey,
    /// Whether the response is large.
    pub is_bulk: bool,
}

/// One call with a large response is admitted per this many slots if the link of the host is
/// slow. More of them would only wait for each other and hold slots meanwhile.
const SLOTS_PER_BULK_CALL: u32 = 3;

/// One call that is expected to be late may be queued per this many slots.
const SLOTS_PER_LATE_CALL: usize = 4;

/// Time after which it is checked again whether slots are still reserved, in milliseconds. The
/// reservation decays without an event of the target.
const RESERVATION_RECHECK_MS: u64 = 25;

/// Slots and queue of one target. Only the target's owner has one.
#[derive(Debug, Default)]
pub(super) struct AdmissionControl {
    /// Maximum number of concurrent calls: the lesser of slots and connections, or fewer if the
    /// target handles fewer well.
    limit: u32,
    capacity: TargetCapacity,
    /// Whether the observed capacity is applied and reported.
    is_adaptive: bool,
    in_flight: u32,
    /// Maximum number of concurrent calls with large responses. None if the link of the host is
    /// fast.
    bulk_limit: Option<u32>,
    bulk_in_flight: u32,
    /// Present while the target states a rate limit.
    rate_gate: Option<RateGate>,
    /// Whether a response of the target stated its rate limit, or that it has none.
    is_rate_known: bool,
    queue: FairQueue,
    hold_times: HoldTimes,
    reservation: Reservation,
    goodput: Goodput,
}

impl AdmissionControl {
    pub fn set_limit(&mut self, slots: u32, connections: u32, is_link_slow: bool) {
        self.capacity.set_announced(slots.min(connections));
        self.limit = self.capacity_limit();
        let bulk_limit = (slots.min(connections) / SLOTS_PER_BULK_CALL).max(1);
        self.bulk_limit = is_link_slow.then_some(bulk_limit);
    }

    /// Sets whether the observed capacity is applied and reported.
    pub fn set_adaptive(&mut self, is_adaptive: bool) {
        self.is_adaptive = is_adaptive;
        self.limit = self.capacity_limit();
    }

    fn capacity_limit(&self) -> u32 {
        if self.is_adaptive { self.capacity.usable_slots() } else { self.capacity.announced() }
    }

    /// What is known of the capacity for calls of a class, if it is reported.
    pub fn capacity_report(&self, class: CallClass) -> Option<CapacityReport> {
        self.is_adaptive.then(|| self.capacity.report(class))
    }

    /// Present sums of the capacity, for a call that has just been admitted.
    pub fn capacity_mark(&self, now: Instant) -> CapacityMark {
        self.capacity.mark(now)
    }

    /// Records how long work takes at the target at this moment, in percent.
    pub fn record_pace(&mut self, percent: u32, now: Instant) {
        self.capacity.record_pace(percent, now);
        self.hold_times.set_pace(self.capacity.pace_percent(now));
    }

    /// Records a call that the target completed without a server error, before its release.
    pub fn observe_capacity(&mut self, class: CallClass, since: CapacityMark, now: Instant) {
        self.capacity.observe(class, since, now);
        self.limit = self.capacity_limit();
    }

    /// Forgets the observed capacity, because the target has started again.
    pub fn forget_capacity(&mut self) {
        self.capacity.reset();
        self.limit = self.capacity_limit();
    }

    pub fn rate_gate(&self) -> Option<RateGate> {
        self.rate_gate
    }

    /// Sets the rate limit that the target states in a response, or removes it.
    pub fn set_rate_limit(&mut self, stated: Option<RateLimit>, now: Instant) {
        self.is_rate_known = true;
        match (&mut self.rate_gate, stated) {
            (Some(gate), Some(limit)) => gate.set_limit(limit, now),
            (gate, stated) => *gate = stated.map(|limit| RateGate::new(limit, now)),
        }
    }

    /// Sets a rate limit that another proxy reports, until a response of the target tells.
    /// Returns false if this process knows better.
    pub fn adopt_rate_limit(&mut self, reported: RateLimit, now: Instant) -> bool {
        let is_adopted = !self.is_rate_known && self.rate_gate.is_none();
        if is_adopted {
            self.rate_gate = Some(RateGate::new(reported, now));
        }
        is_adopted
    }

    /// Removes the rate limit, because the target has started again.
    pub fn forget_rate_limit(&mut self) {
        self.is_rate_known = false;
        self.rate_gate = None;
    }

    /// Whether the call has a large response and the link has no capacity for another one.
    fn is_link_busy(&self, is_bulk: bool) -> bool {
        is_bulk && self.bulk_limit.is_some_and(|limit| self.bulk_in_flight >= limit)
    }

    /// Calls that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Calls in the queue.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Number of slots that calls can use: all of them, or as many as the rate limit allows.
    pub fn usable_slots(&self) -> u32 {
        let within_rate = self.rate_gate.map(|gate| gate.usable_slots(self.hold_times.mean_us()));
        within_rate.map_or(self.limit, |slots| slots.min(self.limit))
    }

    /// When the next queued call may be admitted although no call has ended: when the rate limit
    /// allows it, or when slots may no longer be reserved.
    pub fn recheck_at(&self, now: Instant) -> Option<Instant> {
        let waits_for_link = |queued: &QueuedCall| self.is_link_busy(queued.request.is_bulk);
        if self.in_flight >= self.limit || self.queue.is_empty() {
            return None;
        }
        if let Some(gate) = self.rate_gate.filter(|gate| !gate.is_open(now)) {
            return Some(now.plus_us(gate.wait_us(0, now)));
        }
        let intervals = now.as_ms() / RESERVATION_RECHECK_MS + 1;
        let recheck_at = Instant::from_ms(intervals * RESERVATION_RECHECK_MS);
        (!self.queue.iter().all(waits_for_link)).then_some(recheck_at)
    }

    fn is_gate_open(&self, now: Instant) -> bool {
        self.rate_gate.is_none_or(|gate| gate.is_open(now))
    }

    fn take_slot(&mut self, request: &AdmissionRequest, now: Instant) {
        self.in_flight += 1;
        self.capacity.set_in_flight(self.in_flight, now);
        self.hold_times.set_pace(self.capacity.pace_percent(now));
        self.bulk_in_flight += u32::from(request.is_bulk);
        self.reservation.begin(request.class, request.priority);
        self.queue.record_start(self.rank_of(request), request.organisation);
        self.rate_gate.iter_mut().for_each(|gate| gate.record_call(now));
    }

    pub fn load(&self, now: Instant) -> TargetLoad {
        let wait_us = if self.has_free_slot(now) {
            0
        } else {
            self.wait_us(self.queue.len(), Rank::new(0, false), now)
        };
        TargetLoad {
            in_flight: self.in_flight,
            queued: self.queued(),
            wait_ms: (wait_us / 1_000) as u32,
            rate: self
                .rate_gate
                .map(|gate| RateReport { limit: gate.limit(), usable_slots: self.usable_slots() }),
            held_ms: 0,
            capacity: None,
        }
    }

    /// Whether a call of new work of the highest priority without a large response would be
    /// admitted at once.
    fn has_free_slot(&self, now: Instant) -> bool {
        self.is_open(now)
            && self.may_use_slot(Rank::new(0, false), now)
            && !self.queue.iter().any(|queued| self.may_start(queued, now))
    }

    /// Whether a slot is free and the rate limit allows a call.
    fn is_open(&self, now: Instant) -> bool {
        self.in_flight < self.limit && self.is_gate_open(now)
    }

    /// Whether a call of a rank may use one of the free slots: slots are reserved for calls
    /// before it, and new work is limited while it fails.
    fn may_use_slot(&self, rank: Rank, now: Instant) -> bool {
        let reserved = self.reservation.reserved_slots(rank, self.limit, &self.hold_times, now);
        let (limit, in_flight) = self.slots_for(rank.is_nested(), now);
        self.limit.saturating_sub(self.in_flight) > reserved && in_flight < limit
    }

    /// Slots for nested calls or for new work, and the calls that hold them.
    fn slots_for(&self, is_nested: bool, now: Instant) -> (u32, u32) {
        match self.goodput.limit(now) {
            Some(limit) if !is_nested => {
                (limit.min(self.limit), self.reservation.new_work_in_flight(&self.hold_times))
            }
            _ => (self.limit, self.in_flight),
        }
    }

    fn may_start(&self, queued: &QueuedCall, now: Instant) -> bool {
        !self.is_link_busy(queued.request.is_bulk) && self.may_use_slot(queued.rank, now)
    }

    fn is_nested(&self, request: &AdmissionRequest) -> bool {
        self.hold_times.is_nested(request.class)
    }

    /// Admits, queues or sheds a call.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> AdmissionResult {
        self.reservation.record_arrival(request.class, request.priority, now);
        let rank = self.rank_of(&request);
        let on_time = QueuedCall::new(request, rank, false);
        let is_next = !self.queue.iter().any(|queued| self.may_start(queued, now));
        if self.is_open(now) && is_next && self.may_start(&on_time, now) {
            self.take_slot(&request, now);
            return AdmissionResult::Admitted;
        }
        let max_ahead = request.max_queued.min(self.limit) as usize;
        let position = self.queue.insert(on_time);
        if position < max_ahead && self.is_in_time(&request, position, now) {
            return AdmissionResult::Queued;
        }
        self.queue.remove(request.call);
        if self.queue.len() < max_ahead && self.may_queue_late(&request, now) {
            self.queue.insert(QueuedCall::new(request, rank, true));
            return AdmissionResult::Queued;
        }
        AdmissionResult::Shed
    }

    /// Whether a call at a position of the queue is expected to end within its target latency,
    /// or before its deadline if its class is short.
    fn is_in_time(&self, request: &AdmissionRequest, position: usize, now: Instant) -> bool {
        let slot_wait_us = self.wait_us(position, self.rank_of(request), now);
        let wait_us = slot_wait_us.max(self.link_wait_us(request));
        let answered_at = now.plus_us(wait_us + self.hold_times.high_us(request.class));
        let is_short = self.hold_times.is_short(request.class);
        let until = if is_short { request.deadline } else { request.useful_until };
        answered_at <= until.min(request.deadline)
    }

    /// Whether a call may be queued although it is expected to miss its target latency.
    fn may_queue_late(&self, request: &AdmissionRequest, now: Instant) -> bool {
        let late_count = self.queue.iter().filter(|queued| queued.is_late).count();
        let slot_wait_us = self.wait_us(self.queue.len(), self.rank_of(request), now);
        let wait_us = slot_wait_us.max(self.link_wait_us(request));
        let answered_at = now.plus_us(wait_us + self.hold_times.high_us(request.class));
        late_count < self.limit as usize / SLOTS_PER_LATE_CALL && answered_at <= request.deadline
    }

    fn rank_of(&self, request: &AdmissionRequest) -> Rank {
        Rank::new(request.priority, self.is_nested(request))
    }

    /// Expected time until the call at a position of the queue is admitted, if its rank is `rank`.
    /// Slots that are reserved for calls before it are not free for it.
    fn wait_us(&self, position: usize, rank: Rank, now: Instant) -> u64 {
        let reserved = self.reservation.reserved_slots(rank, self.limit, &self.hold_times, now);
        let (limit, in_flight) = self.slots_for(rank.is_nested(), now);
        let free_slots = limit.saturating_sub(in_flight).saturating_sub(reserved);
        let usable_slots = limit.saturating_sub(reserved).max(1);
        let releases = (position as u64 + 1).saturating_sub(u64::from(free_slots));
        let slot_wait_us = releases * self.hold_times.mean_us() / u64::from(usable_slots);
        let gate_wait_us = self.rate_gate.map_or(0, |gate| gate.wait_us(position, now));
        slot_wait_us.max(gate_wait_us)
    }

    /// Expected time until the link has capacity for one more large response.
    fn link_wait_us(&self, request: &AdmissionRequest) -> u64 {
        let Some(limit) = self.bulk_limit.filter(|_| self.is_link_busy(request.is_bulk)) else {
            return 0;
        };
        let bulk_ahead = self
            .queue
            .iter()
            .filter(|queued| queued.request.is_bulk && queued.request.call != request.call);
        let hold_us = self.hold_times.mean_us_of(request.class);
        (bulk_ahead.count() as u64 + 1) * hold_us / u64::from(limit.max(1))
    }

    /// Removes the calls that are no longer expected to be served in time and returns them.
    /// Some of them may stay queued as late calls.
    pub fn remove_unservable(&mut self, now: Instant) -> Vec<CallId> {
        let mut displaced = Vec::new();
        for queued in self.queue.take_all() {
            let position = self.queue.len();
            // The next call stays queued regardless of the estimates, until its deadline.
            let is_next = position == 0 && now < queued.request.deadline;
            let fits = position < self.limit as usize;
            if fits
                && (is_next || queued.is_late || self.is_in_time(&queued.request, position, now))
            {
                self.queue.push(queued);
            } else {
                displaced.push(queued.request);
            }
        }
        let mut unservable = Vec::new();
        for request in displaced {
            if self.queue.len() < self.limit as usize && self.may_queue_late(&request, now) {
                let rank = self.rank_of(&request);
                self.queue.push(QueuedCall::new(request, rank, true));
            } else {
                unservable.push(request.call);
            }
        }
        unservable
    }

    /// Releases the slot of a call that was admitted at `admitted`.
    ///
    /// `completed` is false if the call was cut short. Its hold time is then not used as an
    /// observation.
    pub fn release(
        &mut self,
        now: Instant,
        admitted: CapacityMark,
        completed: bool,
        class: CallClass,
        priority: u8,
        is_bulk: bool,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.capacity.set_in_flight(self.in_flight, now);
        self.bulk_in_flight = self.bulk_in_flight.saturating_sub(u32::from(is_bulk));
        self.reservation.end(class, priority);
        if completed {
            let pace_percent = self.capacity.mean_pace_percent(admitted, now);
            self.hold_times.observe(class, now.since_us(admitted.at), pace_percent);
        }
        self.hold_times.set_pace(self.capacity.pace_percent(now));
        if self.in_flight == 0 && self.queue.is_empty() {
            self.queue.forget_shares();
        }
    }

    /// Counts how a request ended that held a slot. Returns whether new work has become limited
    /// or unlimited.
    pub fn record_end(
        &mut self,
        class: CallClass,
        is_failure: bool,
        others_lack_capacity: bool,
        now: Instant,
    ) -> Option<GoodputChange> {
        if self.hold_times.is_nested(class) {
            return None;
        }
        let end = RequestEnd { is_failure, slots: self.limit, others_lack_capacity };
        self.goodput.record_end(end, now)
    }

    /// Removes the next call that may be admitted from the queue, if a slot is free and the
    /// rate limit allows it.
    pub fn pop_next(&mut self, now: Instant) -> Option<AdmissionRequest> {
        if !self.is_open(now) {
            return None;
        }
        self.queue.sort();
        let next = self.queue.iter().find(|queued| self.may_start(queued, now))?.request;
        self.queue.remove(next.call);
        Some(next)
    }

    /// Admits a call that was queued, unless it is too late for it.
    pub fn admit_queued(&mut self, now: Instant, request: &AdmissionRequest) -> bool {
        let hold_us = self.hold_times.mean_us_of(request.class);
        let is_servable = now.plus_us(hold_us) <= request.deadline && now < request.deadline;
        if is_servable {
            self.take_slot(request, now);
        }
        is_servable
    }

    /// Removes a queued call.
    pub fn remove(&mut self, call: CallId) {
        self.queue.remove(call);
    }

    /// Removes all queued calls and returns them in queue order.
    pub fn drain_queue(&mut self) -> Vec<CallId> {
        self.queue.take_all().into_iter().map(|queued| queued.request.call).collect()
    }
}
