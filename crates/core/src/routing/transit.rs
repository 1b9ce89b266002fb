//! Transit delay of forwarded calls: the time in transit to their owner above the usual
//! minimum.
//!
//! The ingress reports how much time a call has left, and when it sent the call according to
//! its own clock. The offset between the two clocks is unknown but constant. The smallest
//! recent difference between receive and send time is therefore an estimate of the offset plus
//! the usual transit time. A larger difference is a delay, caused by a saturated link or because
//! this process was not scheduled, and is subtracted from the remaining time. Without earlier
//! observations nothing is subtracted.
//!
//! Both clocks advance while a process is suspended. A restarted clock counts as another clock.

use super::recent_minimum::RecentMinimum;
use crate::collections::HashMap;
use crate::time::Instant;

/// Identifies the clock of one run of a process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClockId(pub u64);

/// Send and receive time of a forwarded call, according to the clocks of the two processes.
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
    /// Clock offset plus transit time, in microseconds.
    fn difference_us(self) -> i64 {
        self.received_us.wrapping_sub(self.sent_us) as i64
    }
}

/// Recent minimum difference for each sender's clock.
#[derive(Debug, Default)]
pub(super) struct Transits {
    minimums: HashMap<ClockId, RecentMinimum>,
}

impl Transits {
    /// Transit time of a call above the recent minimum, in microseconds.
    pub fn delay_us(&mut self, transit: Transit, now: Instant) -> u64 {
        if !self.minimums.contains_key(&transit.clock) {
            self.minimums.retain(|_, minimum| minimum.is_recent(now));
        }
        let minimum = self.minimums.entry(transit.clock).or_default();
        let difference_us = transit.difference_us();
        minimum.observe(difference_us, now);
        let minimum_us = minimum.get().unwrap_or(difference_us);
        u64::try_from(difference_us.saturating_sub(minimum_us)).unwrap_or(0)
    }
}
