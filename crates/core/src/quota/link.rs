//! Delivery of cumulative counters: [`Outbox`] sends those that changed, [`Inbox`] receives them.
//!
//! Lost messages need no resending, because each message lists every counter that changed since
//! the last acknowledged one.

use std::collections::VecDeque;

use super::message::{Acknowledgement, CounterRow, Counters, OrganisationKey};
use crate::collections::HashMap;
use crate::context::Context;
use crate::time::Instant;

/// Most messages that wait for their acknowledgement. At 50 per second this is over one second.
const MAX_PENDING: usize = 64;

/// Delay above the lowest of a sender from which a message is ignored, in milliseconds. Messages
/// that queue while a process or a link is stopped arrive together; counted as current, they
/// would be seconds of usage within an instant.
const MAX_EXTRA_DELAY_MS: i64 = 400;

/// Counters of one organisation. They wrap around.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Usage {
    /// Calls that were admitted and not returned.
    pub admitted: u32,
    /// Calls that were admitted and not returned, or refused by the quota.
    pub demanded: u32,
}

impl Usage {
    /// The change since an earlier value. Negative if calls were returned.
    pub fn since(self, earlier: Self) -> Change {
        let difference = |new: u32, old: u32| f64::from(new.wrapping_sub(old) as i32);
        Change {
            admitted: difference(self.admitted, earlier.admitted),
            demanded: difference(self.demanded, earlier.demanded),
        }
    }
}

/// Change of the counters of one organisation, in calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Change {
    pub admitted: f64,
    pub demanded: f64,
}

struct Sent {
    sequence: u32,
    sent_at: Instant,
    rows: Vec<(OrganisationKey, Usage)>,
}

/// The sending end of a link to one process.
#[derive(Default)]
pub(super) struct Outbox {
    sequence: u32,
    pending: VecDeque<Sent>,
    acknowledged: HashMap<OrganisationKey, Usage>,
    /// Whether the receiver has all counters up to `acknowledged`.
    has_base: bool,
    pub last_sent_at: Instant,
}

impl Outbox {
    /// The next message. `all` are all counters that are not zero.
    pub fn next(&mut self, cx: &Context<'_>, all: impl Iterator<Item = CounterRow>) -> Counters {
        let is_full = !self.has_base;
        if is_full {
            self.acknowledged.clear();
        }
        let is_news = |(key, admitted, demanded): &CounterRow| {
            let usage = Usage { admitted: *admitted, demanded: *demanded };
            self.acknowledged.get(key).copied().unwrap_or_default() != usage
        };
        let rows: Vec<CounterRow> = all.filter(is_news).collect();
        self.sequence += 1;
        self.last_sent_at = cx.now;
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        let usages = rows
            .iter()
            .map(|(key, admitted, demanded)| {
                (*key, Usage { admitted: *admitted, demanded: *demanded })
            })
            .collect();
        let (sequence, sent_at) = (self.sequence, cx.now);
        self.pending.push_back(Sent { sequence, sent_at, rows: usages });
        let incarnation = cx.me.incarnation;
        Counters { incarnation, sequence, sent_at_ms: cx.now.as_ms(), is_full, rows }
    }

    /// Handles an acknowledgement. Returns when the acknowledged message was sent and what it
    /// listed, if it is newer than the last acknowledged one.
    pub fn acknowledge(
        &mut self,
        acknowledgement: Acknowledgement,
    ) -> Option<(Instant, Vec<(OrganisationKey, Usage)>)> {
        let position =
            self.pending.iter().position(|sent| sent.sequence == acknowledgement.sequence)?;
        let sent = self.pending.drain(..=position).next_back()?;
        self.has_base = !acknowledgement.needs_full;
        self.acknowledged.extend(sent.rows.iter().copied());
        Some((sent.sent_at, sent.rows))
    }

    /// When the oldest message was sent that is not acknowledged.
    pub fn waiting_since(&self) -> Option<Instant> {
        self.pending.front().map(|sent| sent.sent_at)
    }

    /// Ends the wait for acknowledgements.
    pub fn clear_pending(&mut self) {
        self.pending.clear();
    }
}

/// What a message with counters means for the receiver.
pub(super) enum Received {
    /// It is older than the last one, or was delayed too long.
    Ignored,
    /// Only the values are stored: what happened since the last message is unknown.
    Base,
    /// What changed since the last message, and the time between them at the sender.
    Changes { elapsed_ms: u64, changes: Vec<(OrganisationKey, Change)> },
}

/// The receiving end of a link from one process.
#[derive(Default)]
pub(super) struct Inbox {
    incarnation: u64,
    sequence: u32,
    sent_at_ms: u64,
    /// Lowest difference of the clocks plus delay, in milliseconds.
    min_offset_ms: i64,
    /// Whether `usage` is complete.
    has_base: bool,
    usage: HashMap<OrganisationKey, Usage>,
    /// When the last message was received that was not ignored.
    pub received_at: Option<Instant>,
}

impl Inbox {
    /// Handles counters. After a gap of more than `max_gap_ms` they are only a base, because what
    /// happened meanwhile was accounted for as reserved.
    pub fn receive(&mut self, now: Instant, counters: &Counters, max_gap_ms: u64) -> Received {
        let offset_ms = now.as_ms() as i64 - counters.sent_at_ms as i64;
        if counters.incarnation < self.incarnation {
            return Received::Ignored;
        }
        let is_restart = counters.incarnation > self.incarnation;
        if is_restart {
            self.incarnation = counters.incarnation;
            self.sequence = 0;
            self.sent_at_ms = 0;
            self.min_offset_ms = offset_ms;
            self.has_base = false;
        }
        // The clocks may drift, so the lowest offset rises with each message.
        self.min_offset_ms = (self.min_offset_ms + 1).min(offset_ms);
        let is_late = offset_ms - self.min_offset_ms > MAX_EXTRA_DELAY_MS;
        if is_late || counters.sequence <= self.sequence && counters.sent_at_ms <= self.sent_at_ms {
            return Received::Ignored;
        }
        self.sequence = counters.sequence;
        let elapsed_ms = counters.sent_at_ms.saturating_sub(self.sent_at_ms);
        self.sent_at_ms = counters.sent_at_ms;
        let is_current = self.is_current(now, max_gap_ms);
        self.received_at = Some(now);
        if !counters.is_full && !self.has_base {
            return Received::Base;
        }
        let had_base = std::mem::replace(&mut self.has_base, true);
        if !had_base {
            self.usage.clear();
        }
        let mut changes = Vec::with_capacity(counters.rows.len());
        for (key, admitted, demanded) in &counters.rows {
            let usage = Usage { admitted: *admitted, demanded: *demanded };
            let before = self.usage.insert(*key, usage).unwrap_or_default();
            changes.push((*key, usage.since(before)));
        }
        if had_base && is_current {
            Received::Changes { elapsed_ms, changes }
        } else {
            Received::Base
        }
    }

    /// Whether a message was received within `max_gap_ms`.
    pub fn is_current(&self, now: Instant, max_gap_ms: u64) -> bool {
        self.received_at.is_some_and(|at| now.since_ms(at) <= max_gap_ms)
    }

    /// Discards the counters, because this process was stopped for a while.
    pub fn discard(&mut self) {
        self.has_base = false;
        self.received_at = None;
    }

    /// The acknowledgement of the last message.
    pub fn acknowledgement(&self) -> Acknowledgement {
        Acknowledgement { sequence: self.sequence, needs_full: !self.has_base }
    }
}
