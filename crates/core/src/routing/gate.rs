//! The owner's gate in front of one target: exact slots and a short queue.

use std::collections::VecDeque;

use super::call::GateLoad;
use super::estimate::Estimate;
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

/// Slots and queue of one target. Only the target's owner has one.
#[derive(Debug, Default)]
pub(super) struct Gate {
    /// Calls that the target takes at once: the lesser of slots and connections.
    limit: u32,
    in_flight: u32,
    queue: VecDeque<CallId>,
    /// Time for which a call holds a slot.
    held: Estimate,
}

impl Gate {
    pub fn set_limit(&mut self, slots: u32, connections: u32) {
        self.limit = slots.min(connections);
    }

    pub fn load(&self) -> GateLoad {
        GateLoad { in_flight: self.in_flight, queued: self.queue.len() as u32 }
    }

    /// Whether the call would be given a slot at once.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.limit && self.queue.is_empty()
    }

    /// Takes a call in, or says that it cannot be answered by `deadline`.
    pub fn admit(
        &mut self,
        call: CallId,
        now: Instant,
        deadline: Instant,
        max_queued: u32,
    ) -> Admission {
        if self.has_free_slot() {
            self.in_flight += 1;
            return Admission::Admitted;
        }
        if !self.may_queue(now, deadline, max_queued) {
            return Admission::Shed;
        }
        self.queue.push_back(call);
        Admission::Queued
    }

    /// A queue as long as the slots keeps every slot busy and adds at most
    /// about one service time; a longer one only adds to the wait.
    fn may_queue(&self, now: Instant, deadline: Instant, max_queued: u32) -> bool {
        let queued = self.queue.len() as u64;
        if queued >= u64::from(max_queued.min(self.limit)) {
            return false;
        }
        let wait_us = (queued + 1) * self.held.mean_us() / u64::from(self.limit.max(1));
        now.plus_us(wait_us + self.held.mean_us()) <= deadline
    }

    /// Takes back the slot of a call that held it since `admitted_at`.
    ///
    /// `completed` is false where the call was cut short: its time says
    /// nothing of the target.
    pub fn release(&mut self, now: Instant, admitted_at: Instant, completed: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if completed {
            self.held.observe(now.since_us(admitted_at));
        }
    }

    /// Takes the call that waits longest out of the queue, where a slot is free for it.
    pub fn next_waiting(&mut self) -> Option<CallId> {
        if self.in_flight < self.limit { self.queue.pop_front() } else { None }
    }

    /// Gives a free slot to a call that waited, unless it is too late for it.
    pub fn admit_waiting(&mut self, now: Instant, deadline: Instant) -> bool {
        let in_time = now.plus_us(self.held.mean_us()) <= deadline && now < deadline;
        self.in_flight += u32::from(in_time);
        in_time
    }

    /// Removes a call that waits.
    pub fn forget(&mut self, call: CallId) {
        self.queue.retain(|queued| *queued != call);
    }

    /// Empties the queue, oldest first.
    pub fn take_queue(&mut self) -> VecDeque<CallId> {
        std::mem::take(&mut self.queue)
    }
}
