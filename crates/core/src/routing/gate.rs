//! Admission control for one target, run by the owner of the target: a limit of concurrent
//! calls and a short queue.
//!
//! A call that finds no free slot is queued only if its response is expected within the target
//! latency of its policy. The queue is ordered by priority, and within one priority by the time
//! at which the target latency ends: a call on behalf of a running call goes ahead of new work.
//! A few calls that are expected to miss their target latency may be queued as well; they
//! receive slots that no other call needs. A call that later arrivals delay beyond its time is
//! refused as soon as that is expected.
//!
//! A call of a class that holds its slot for a short time, compared with the other classes at
//! this target, may wait in its priority until its deadline. Its refusal would free little
//! capacity, and the call it was made for usually holds a slot elsewhere for longer.

use super::call::{CallClass, GateLoad};
use super::estimate::{ByClass, Estimate};
use crate::ids::CallId;
use crate::time::Instant;

/// Result of an admission request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// The call has a slot.
    Admitted,
    /// The call is queued for a slot.
    Queued,
    /// The call is not expected to be served in time.
    Shed,
}

/// Properties of a call that decide its admission.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
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
    /// Whether the response is large.
    pub is_bulk: bool,
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// Whether the call is expected to miss its target latency.
    is_late: bool,
    ticket: Ticket,
}

impl Waiting {
    /// Sort key of the queue; the lowest key is served first.
    fn order(&self) -> (bool, u8, Instant) {
        (self.is_late, self.ticket.priority, self.ticket.useful_until)
    }
}

/// One call with a large response is admitted per this many slots if the link of the host is
/// slow. More of them would only wait for each other and hold slots meanwhile.
const SLOW_LINK_BULK_SHARE: u32 = 3;

/// A class of calls is short if its mean hold time is at most the longest mean of a class
/// divided by this number.
const SHORT_SHARE: u64 = 2;

/// One call that is expected to be late may be queued per this many slots.
const LATE_SHARE: usize = 4;

/// Slots and queue of one target. Only the target's owner has one.
#[derive(Debug, Default)]
pub(super) struct Gate {
    /// Maximum number of concurrent calls: the lesser of slots and connections.
    limit: u32,
    in_flight: u32,
    /// Maximum number of concurrent calls with large responses. None if the link of the host is
    /// fast.
    bulk_limit: Option<u32>,
    bulk_in_flight: u32,
    /// Queued calls, next one first.
    queue: Vec<Waiting>,
    /// Time for which a call holds a slot, over all classes.
    held: Estimate,
    /// The same, by class.
    held_by_class: ByClass<Estimate>,
}

impl Gate {
    pub fn set_limit(&mut self, slots: u32, connections: u32, is_link_slow: bool) {
        self.limit = slots.min(connections);
        let bulk_limit = (self.limit / SLOW_LINK_BULK_SHARE).max(1);
        self.bulk_limit = is_link_slow.then_some(bulk_limit);
    }

    /// Whether the call has a large response and the link has no capacity for another one.
    fn is_link_taken(&self, is_bulk: bool) -> bool {
        is_bulk && self.bulk_limit.is_some_and(|limit| self.bulk_in_flight >= limit)
    }

    fn take_slot(&mut self, is_bulk: bool) {
        self.in_flight += 1;
        self.bulk_in_flight += u32::from(is_bulk);
    }

    pub fn load(&self) -> GateLoad {
        let queued = self.queue.len() as u32;
        let wait_us = if self.has_free_slot() { 0 } else { self.wait_us(self.queue.len()) };
        GateLoad {
            in_flight: self.in_flight,
            queued,
            wait_ms: (wait_us / 1_000) as u32,
            held_ms: 0,
        }
    }

    /// Whether a call without a large response would be admitted at once.
    pub fn has_free_slot(&self) -> bool {
        // Calls that wait for the link do not block other calls.
        let waits = |waiting: &Waiting| !self.is_link_taken(waiting.ticket.is_bulk);
        self.in_flight < self.limit && !self.queue.iter().any(waits)
    }

    /// Admits, queues or sheds a call.
    pub fn admit(&mut self, ticket: Ticket, now: Instant) -> Admission {
        if self.has_free_slot() && !self.is_link_taken(ticket.is_bulk) {
            self.take_slot(ticket.is_bulk);
            return Admission::Admitted;
        }
        let longest = ticket.max_queued.min(self.limit) as usize;
        let punctual = Waiting { is_late: false, ticket };
        let place = self.place_of(&punctual);
        if place < longest && self.is_in_time(&ticket, place, now) {
            self.queue.insert(place, punctual);
            return Admission::Queued;
        }
        if self.queue.len() < longest && self.may_be_late(&ticket, now) {
            let late = Waiting { is_late: true, ticket };
            let place = self.place_of(&late);
            self.queue.insert(place, late);
            return Admission::Queued;
        }
        Admission::Shed
    }

    fn place_of(&self, waiting: &Waiting) -> usize {
        self.queue.partition_point(|other| other.order() <= waiting.order())
    }

    /// Whether a call at a position of the queue is expected to end within its target latency,
    /// or before its deadline if its class is short.
    fn is_in_time(&self, ticket: &Ticket, place: usize, now: Instant) -> bool {
        let wait_us = self.wait_us(place).max(self.link_wait_us(ticket));
        let answered_at = now.plus_us(wait_us + self.longest_us(ticket.class));
        let is_short = self.is_short(ticket.class);
        let until = if is_short { ticket.deadline } else { ticket.useful_until };
        answered_at <= until.min(ticket.deadline)
    }

    /// Whether calls of a class hold their slot for a short time, compared with the class that
    /// holds it longest.
    fn is_short(&self, class: CallClass) -> bool {
        let Some(held) = self.held_by_class.get(class) else { return false };
        let longest_us = self.held_by_class.values().map(Estimate::mean_us).max().unwrap_or(0);
        held.mean_us() * SHORT_SHARE <= longest_us
    }

    /// Whether a call may be queued although it is expected to miss its target latency.
    fn may_be_late(&self, ticket: &Ticket, now: Instant) -> bool {
        let late = self.queue.iter().filter(|waiting| waiting.is_late).count();
        let wait_us = self.wait_us(self.queue.len()).max(self.link_wait_us(ticket));
        let answered_at = now.plus_us(wait_us + self.longest_us(ticket.class));
        late < self.limit as usize / LATE_SHARE && answered_at <= ticket.deadline
    }

    /// Expected time until the call at a position of the queue is admitted.
    fn wait_us(&self, place: usize) -> u64 {
        (place as u64 + 1) * self.held.mean_us() / u64::from(self.limit.max(1))
    }

    /// Expected time until the link has capacity for one more large response.
    fn link_wait_us(&self, ticket: &Ticket) -> u64 {
        let Some(limit) = self.bulk_limit.filter(|_| self.is_link_taken(ticket.is_bulk)) else {
            return 0;
        };
        let before = self
            .queue
            .iter()
            .filter(|waiting| waiting.ticket.is_bulk && waiting.ticket.call != ticket.call);
        let held = self.held_of(ticket.class);
        (before.count() as u64 + 1) * held.mean_us() / u64::from(limit.max(1))
    }

    /// Hold time that few calls of a class exceed.
    fn longest_us(&self, class: CallClass) -> u64 {
        let held = self.held_of(class);
        held.mean_us() + held.deviation_us()
    }

    /// Hold time of a class; that of all calls if the class was not observed.
    fn held_of(&self, class: CallClass) -> &Estimate {
        self.held_by_class.get(class).unwrap_or(&self.held)
    }

    /// Removes the calls that are no longer expected to be served in time and returns them.
    /// Some of them may stay queued as late calls.
    pub fn take_hopeless(&mut self, now: Instant) -> Vec<CallId> {
        let queue = std::mem::take(&mut self.queue);
        let mut pushed = Vec::new();
        for waiting in queue {
            let place = self.queue.len();
            // The next call stays queued regardless of the estimates, until its deadline.
            let is_next = place == 0 && now < waiting.ticket.deadline;
            let fits = place < self.limit as usize;
            if fits && (is_next || waiting.is_late || self.is_in_time(&waiting.ticket, place, now))
            {
                self.queue.push(waiting);
            } else {
                pushed.push(waiting.ticket);
            }
        }
        let mut hopeless = Vec::new();
        for ticket in pushed {
            if self.queue.len() < self.limit as usize && self.may_be_late(&ticket, now) {
                self.queue.push(Waiting { is_late: true, ticket });
            } else {
                hopeless.push(ticket.call);
            }
        }
        hopeless
    }

    /// Releases the slot of a call that was admitted at `admitted_at`.
    ///
    /// `completed` is false if the call was cut short. Its hold time is then not used as an
    /// observation.
    pub fn release(
        &mut self,
        now: Instant,
        admitted_at: Instant,
        completed: bool,
        class: CallClass,
        is_bulk: bool,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.bulk_in_flight = self.bulk_in_flight.saturating_sub(u32::from(is_bulk));
        if !completed {
            return;
        }
        let held_us = now.since_us(admitted_at);
        self.held.observe(held_us);
        if let Some(held) = self.held_by_class.entry(class) {
            held.observe(held_us);
        }
    }

    /// Removes the next call that may be admitted from the queue, if a slot is free.
    pub fn next_waiting(&mut self) -> Option<CallId> {
        if self.in_flight >= self.limit {
            return None;
        }
        let may_begin = |waiting: &Waiting| !self.is_link_taken(waiting.ticket.is_bulk);
        let place = self.queue.iter().position(may_begin)?;
        Some(self.queue.remove(place).ticket.call)
    }

    /// Admits a call that was queued, unless it is too late for it.
    pub fn admit_waiting(&mut self, now: Instant, deadline: Instant, is_bulk: bool) -> bool {
        let in_time = now.plus_us(self.held.mean_us()) <= deadline && now < deadline;
        if in_time {
            self.take_slot(is_bulk);
        }
        in_time
    }

    /// Removes a queued call.
    pub fn forget(&mut self, call: CallId) {
        self.queue.retain(|waiting| waiting.ticket.call != call);
    }

    /// Removes all queued calls and returns them in queue order.
    pub fn take_queue(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.queue).into_iter().map(|waiting| waiting.ticket.call).collect()
    }
}
