//! The owner's gate in front of one target: exact slots and a short queue.
//!
//! A call that finds no free slot waits only where it can be expected to be
//! answered while the answer is of full use. Calls of a higher rank go first,
//! and among those of one rank the one whose answer is of use for the shortest
//! time: a call that a running one waits for goes ahead of new work. A few
//! calls may wait that will be late; they get slots that nobody else wants.
//! A call that others push beyond its time is refused as soon as that is known.
//!
//! A call that takes a slot for a short time, beside the others here, may wait in
//! its rank until its deadline. To refuse it would free little, and whoever waits
//! for it mostly holds a slot of its own for longer.

use super::call::{CallClass, GateLoad};
use super::estimate::{ByClass, Estimate};
use crate::ids::CallId;
use crate::time::Instant;

/// What the gate says to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// The call has a slot.
    Admitted,
    /// The call waits for a slot.
    Queued,
    /// The call could not be answered in time.
    Shed,
}

/// What the gate must know of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    pub call: CallId,
    /// Rank among the calls that wait; 0 goes first.
    pub priority: u8,
    /// When an answer is of full use no longer, or the deadline.
    pub useful_until: Instant,
    /// When the call is given up.
    pub deadline: Instant,
    /// Most calls that may wait before this one.
    pub max_queued: u32,
    pub class: CallClass,
    /// Whether the answer is large.
    pub is_bulk: bool,
}

/// A call that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// Whether it is expected to be answered late.
    is_late: bool,
    ticket: Ticket,
}

impl Waiting {
    /// The least goes first.
    fn order(&self) -> (bool, u8, Instant) {
        (self.is_late, self.ticket.priority, self.ticket.useful_until)
    }
}

/// Of so many slots one is for a call with a large answer where the link of the
/// host is slow: more of them would only wait for each other, and hold slots.
const SLOW_LINK_BULK_SHARE: u32 = 3;

/// A call is short that holds its slot for one in so many parts of the longest time.
const SHORT_SHARE: u64 = 2;

/// One call in so many slots may wait that will be answered late.
const LATE_SHARE: usize = 4;

/// Slots and queue of one target. Only the target's owner has one.
#[derive(Debug, Default)]
pub(super) struct Gate {
    /// Calls that the target takes at once: the lesser of slots and connections.
    limit: u32,
    in_flight: u32,
    /// Calls with large answers that the link of the host carries at once. None
    /// where the link is no matter.
    bulk_limit: Option<u32>,
    bulk_in_flight: u32,
    /// Calls that wait, the next one first.
    queue: Vec<Waiting>,
    /// Time for which a call holds a slot, over all classes.
    held: Estimate,
    /// The same by class.
    held_by_class: ByClass<Estimate>,
}

impl Gate {
    pub fn set_limit(&mut self, slots: u32, connections: u32, is_link_slow: bool) {
        self.limit = slots.min(connections);
        let bulk_limit = (self.limit / SLOW_LINK_BULK_SHARE).max(1);
        self.bulk_limit = is_link_slow.then_some(bulk_limit);
    }

    /// Whether a call with a large answer would find the link taken by others.
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

    /// Whether the call would be given a slot at once.
    pub fn has_free_slot(&self) -> bool {
        // Those that wait for the link keep nobody else from a slot.
        let waits = |waiting: &Waiting| !self.is_link_taken(waiting.ticket.is_bulk);
        self.in_flight < self.limit && !self.queue.iter().any(waits)
    }

    /// Takes a call in, or says that it cannot be answered in time.
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

    /// Whether a call at a place of the queue can be expected to be answered
    /// while that is of full use.
    fn is_in_time(&self, ticket: &Ticket, place: usize, now: Instant) -> bool {
        let wait_us = self.wait_us(place).max(self.link_wait_us(ticket));
        let answered_at = now.plus_us(wait_us + self.longest_us(ticket.class));
        let is_short = self.is_short(ticket.class);
        let until = if is_short { ticket.deadline } else { ticket.useful_until };
        answered_at <= until.min(ticket.deadline)
    }

    /// Whether calls of a class hold their slot for a short time beside those of
    /// the class that holds it longest.
    fn is_short(&self, class: CallClass) -> bool {
        let Some(held) = self.held_by_class.get(class) else { return false };
        let longest_us = self.held_by_class.values().map(Estimate::mean_us).max().unwrap_or(0);
        held.mean_us() * SHORT_SHARE <= longest_us
    }

    /// Whether a call may wait at the end, to be answered late.
    fn may_be_late(&self, ticket: &Ticket, now: Instant) -> bool {
        let late = self.queue.iter().filter(|waiting| waiting.is_late).count();
        let wait_us = self.wait_us(self.queue.len()).max(self.link_wait_us(ticket));
        let answered_at = now.plus_us(wait_us + self.longest_us(ticket.class));
        late < self.limit as usize / LATE_SHARE && answered_at <= ticket.deadline
    }

    /// Time until the call at a place of the queue is given a slot.
    fn wait_us(&self, place: usize) -> u64 {
        (place as u64 + 1) * self.held.mean_us() / u64::from(self.limit.max(1))
    }

    /// Time until the link has room for one more large answer.
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

    /// Time for which few calls of a class hold their slot longer.
    fn longest_us(&self, class: CallClass) -> u64 {
        let held = self.held_of(class);
        held.mean_us() + held.deviation_us()
    }

    /// Time for which a call of a class holds its slot; that of any call where
    /// none of the class was observed.
    fn held_of(&self, class: CallClass) -> &Estimate {
        self.held_by_class.get(class).unwrap_or(&self.held)
    }

    /// Takes out the calls that others have pushed beyond their time. Some of
    /// them may wait on, to be answered late.
    pub fn take_hopeless(&mut self, now: Instant) -> Vec<CallId> {
        let queue = std::mem::take(&mut self.queue);
        let mut pushed = Vec::new();
        for waiting in queue {
            let place = self.queue.len();
            // A call that is next is given its chance whatever the estimates say.
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

    /// Takes back the slot of a call that held it since `admitted_at`.
    ///
    /// `completed` is false where the call was cut short: its time says
    /// nothing of the target.
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

    /// Takes the call that is next out of the queue, where a slot is free for it.
    pub fn next_waiting(&mut self) -> Option<CallId> {
        if self.in_flight >= self.limit {
            return None;
        }
        let may_begin = |waiting: &Waiting| !self.is_link_taken(waiting.ticket.is_bulk);
        let place = self.queue.iter().position(may_begin)?;
        Some(self.queue.remove(place).ticket.call)
    }

    /// Gives a free slot to a call that waited, unless it is too late for it.
    pub fn admit_waiting(&mut self, now: Instant, deadline: Instant, is_bulk: bool) -> bool {
        let in_time = now.plus_us(self.held.mean_us()) <= deadline && now < deadline;
        if in_time {
            self.take_slot(is_bulk);
        }
        in_time
    }

    /// Removes a call that waits.
    pub fn forget(&mut self, call: CallId) {
        self.queue.retain(|waiting| waiting.ticket.call != call);
    }

    /// Empties the queue, first in line first.
    pub fn take_queue(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.queue).into_iter().map(|waiting| waiting.ticket.call).collect()
    }
}
