//! Rate limits that targets state in their responses.

use std::fmt;

use super::{Routing, TargetKey};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::time::Instant;

/// Microseconds per second.
const US_PER_S: f64 = 1_000_000.0;
/// Longest interval between two calls, in microseconds. A target that accepts no calls still
/// gets one at times, since only a response can end its limit.
const MAX_INTERVAL_US: u64 = 2_000_000;

/// Rate of calls that a target accepts from all proxies together. It holds until a response of
/// the target states another one, or none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimit {
    /// Mean interval between two calls.
    interval_us: u64,
}

impl RateLimit {
    /// A limit in calls per second. None if the number is negative or not finite.
    pub fn per_second(calls: f64) -> Option<Self> {
        let is_valid = calls.is_finite() && calls >= 0.0;
        // The cast saturates.
        let interval_us = (US_PER_S / calls) as u64;
        is_valid.then(|| Self { interval_us: interval_us.clamp(1, MAX_INTERVAL_US) })
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} calls per second", US_PER_S / self.interval_us as f64)
    }
}

/// The rate limit of one target, and the calls that its owner has admitted under it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateGate {
    limit: RateLimit,
    stated_at: Instant,
    admitted: u64,
}

impl RateGate {
    pub fn new(limit: RateLimit, now: Instant) -> Self {
        Self { limit, stated_at: now, admitted: 0 }
    }

    /// Replaces the limit by one that a later response stated.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
    }

    /// Records a call that is sent to the target.
    pub fn record_call(&mut self) {
        self.admitted += 1;
    }

    /// What was admitted under limits, for the log.
    pub fn summary(&self, now: Instant) -> String {
        format!("{} calls in {} ms", self.admitted, now.since_ms(self.stated_at))
    }
}

impl Routing {
    /// Applies the rate limit that a response of a target of this host states, or that it
    /// states none.
    pub(super) fn apply_rate_limit(
        &mut self,
        cx: &mut Context<'_>,
        key: TargetKey,
        stated: Option<RateLimit>,
    ) {
        let target = &mut self.targets[key];
        let Some(admission) = &mut target.admission else { return };
        let previous = admission.rate_gate();
        admission.set_rate_limit(stated, cx.now);
        let id = &target.record.target;
        let text = match (previous, stated) {
            (None, Some(limit)) => format!("Target {id} accepts at most {limit}."),
            (Some(gate), None) => {
                let summary = gate.summary(cx.now);
                format!("Target {id} accepts any rate again, after {summary}.")
            }
            _ => return,
        };
        cx.log(LogLevel::Info, LogPart::Calls, text);
    }
}
