//! Time that forwarded calls spend on the way to their owner, above the least.
//!
//! The ingress says how much time a call has left, and when it said so by a clock of
//! its own. The two clocks have an unknown offset, but it is the same for every call:
//! the least difference seen lately stands for it, and for the usual way with it. What
//! a call took beyond that, on a full link or before this process was scheduled again,
//! is no longer left. Where nothing is known yet, nothing is taken off.
//!
//! Both clocks go on while a process is suspended. One that starts anew counts as
//! another clock.

use super::recent_least::RecentLeast;
use crate::collections::HashMap;
use crate::time::Instant;

/// A clock of one run of a process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClockId(pub u64);

/// When a forwarded call was sent and received, by the clocks of the two processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transit {
    /// Clock of the sender.
    pub clock: ClockId,
    /// When the call was sent, by the sender's clock, in microseconds.
    pub sent_us: u64,
    /// When it was received, by the clock of the owner, in microseconds.
    pub received_us: u64,
}

impl Transit {
    /// Difference of the two clocks and time on the way, in microseconds.
    fn difference_us(self) -> i64 {
        self.received_us.wrapping_sub(self.sent_us) as i64
    }
}

/// Least difference to each sender's clock.
#[derive(Debug, Default)]
pub(super) struct Transits {
    least: HashMap<ClockId, RecentLeast>,
}

impl Transits {
    /// Time for which a call was on its way above the least, in microseconds.
    pub fn delay_us(&mut self, transit: Transit, now: Instant) -> u64 {
        if !self.least.contains_key(&transit.clock) {
            self.least.retain(|_, least| least.is_recent(now));
        }
        let least = self.least.entry(transit.clock).or_default();
        let difference_us = transit.difference_us();
        least.observe(difference_us, now);
        let least_us = least.get().unwrap_or(difference_us);
        u64::try_from(difference_us.saturating_sub(least_us)).unwrap_or(0)
    }
}
