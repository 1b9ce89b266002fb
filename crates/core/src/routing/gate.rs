//! The owner's gate in front of one target: exact slots and a short queue.
//!
//! A call that finds no free slot waits only where it can be expected to be
//! answered while the answer is of full use. Calls of a higher rank go first;
//! a call that they push beyond its time is refused as soon as that is known.

use super::call::{CallClass, GateLoad};
use super::estimate::Estimate;
use crate::collections::HashMap;
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
}

/// Slots and queue of one target. Only the target's owner has one.
#[derive(Debug, Default)]
pub(super) struct Gate {
    /// Calls that the target takes at once: the lesser of slots and connections.
    limit: u32,
    in_flight: u32,
    /// Calls that wait, those of one rank in the order of their arrival.
    queue: Vec<Ticket>,
    /// Time for which a call holds a slot, over all classes.
    held: Estimate,
    /// The same by class.
    held_by_class: HashMap<CallClass, Estimate>,
}

/// Most classes whose time is kept apart.
const MAX_CLASSES: usize = 64;

impl Gate {
    pub fn set_limit(&mut self, slots: u32, connections: u32) {
        self.limit = slots.min(connections);
    }

    pub fn load(&self) -> GateLoad {
        let queued = self.queue.len() as u32;
        let wait_us = if self.has_free_slot() { 0 } else { self.wait_us(self.queue.len()) };
        GateLoad { in_flight: self.in_flight, queued, wait_ms: (wait_us / 1_000) as u32 }
    }

    /// Whether the call would be given a slot at once.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.limit && self.queue.is_empty()
    }

    /// Takes a call in, or says that it cannot be answered in time.
    pub fn admit(&mut self, ticket: Ticket, now: Instant) -> Admission {
        if self.has_free_slot() {
            self.in_flight += 1;
            return Admission::Admitted;
        }
        let place = self.queue.partition_point(|other| other.priority <= ticket.priority);
        if !self.may_queue(&ticket, place, now) {
            return Admission::Shed;
        }
        self.queue.insert(place, ticket);
        Admission::Queued
    }

    /// A queue as long as the slots keeps every slot busy and adds at most
    /// about one service time; a longer one only adds to the wait.
    fn may_queue(&self, ticket: &Ticket, place: usize, now: Instant) -> bool {
        let longest = ticket.max_queued.min(self.limit) as usize;
        place < longest && self.is_in_time(ticket, place, now)
    }

    /// Whether a call at a place of the queue can be expected to be answered
    /// while that is of full use.
    fn is_in_time(&self, ticket: &Ticket, place: usize, now: Instant) -> bool {
        let answered_at = now.plus_us(self.wait_us(place) + self.expected_us(ticket.class));
        answered_at <= ticket.useful_until.min(ticket.deadline)
    }

    /// Time until the call at a place of the queue is given a slot.
    fn wait_us(&self, place: usize) -> u64 {
        (place as u64 + 1) * self.held.mean_us() / u64::from(self.limit.max(1))
    }

    /// Time for which a call of a class is expected to hold its slot.
    fn expected_us(&self, class: CallClass) -> u64 {
        let of_class = self.held_by_class.get(&class).map(Estimate::mean_us);
        of_class.unwrap_or_else(|| self.held.mean_us())
    }

    /// Takes out the calls that wait too far back: the queue has grown before
    /// them, or they can no longer be answered in time.
    pub fn take_hopeless(&mut self, now: Instant) -> Vec<CallId> {
        let longest = self.limit as usize;
        let mut hopeless = Vec::new();
        let mut place = 0;
        while let Some(ticket) = self.queue.get(place).copied() {
            // A call that is next is given its chance whatever the estimates say.
            let is_next = place == 0 && now < ticket.deadline;
            if place < longest && (is_next || self.is_in_time(&ticket, place, now)) {
                place += 1;
            } else {
                self.queue.remove(place);
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
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !completed {
            return;
        }
        let held_us = now.since_us(admitted_at);
        self.held.observe(held_us);
        if self.held_by_class.len() < MAX_CLASSES || self.held_by_class.contains_key(&class) {
            self.held_by_class.entry(class).or_default().observe(held_us);
        }
    }

    /// Takes the call that is next out of the queue, where a slot is free for it.
    pub fn next_waiting(&mut self) -> Option<CallId> {
        let is_free = self.in_flight < self.limit && !self.queue.is_empty();
        is_free.then(|| self.queue.remove(0).call)
    }

    /// Gives a free slot to a call that waited, unless it is too late for it.
    pub fn admit_waiting(&mut self, now: Instant, deadline: Instant) -> bool {
        let in_time = now.plus_us(self.held.mean_us()) <= deadline && now < deadline;
        self.in_flight += u32::from(in_time);
        in_time
    }

    /// Removes a call that waits.
    pub fn forget(&mut self, call: CallId) {
        self.queue.retain(|queued| queued.call != call);
    }

    /// Empties the queue, first in line first.
    pub fn take_queue(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.queue).into_iter().map(|ticket| ticket.call).collect()
    }
}
