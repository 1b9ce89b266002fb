//! Counters of the call path, for the metrics endpoint.

use strum::IntoEnumIterator;

use super::refusal::{Outcome, RefusalCode};
use crate::ids::{Name, TargetId};

/// Counters of one service at one proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounts {
    /// Calls from callers that ended, by outcome in the order of [`Outcome`].
    pub ended: [u64; 3],
    /// Calls from callers that the caller cancelled.
    pub cancelled: u64,
    /// Attempts that were begun at this proxy as ingress.
    pub attempts: u64,
    /// Attempts after the first of their call.
    pub retries: u64,
    /// Attempts not begun because the retry budget was spent.
    pub retries_denied: u64,
    /// Calls in flight, forwarded ones included.
    pub in_flight: u32,
}

impl ServiceCounts {
    pub(super) fn count_ended(&mut self, outcome: Outcome) {
        self.ended[outcome as usize] += 1;
    }
}

/// Answers that the mesh gave itself, by code.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalCounts([u64; REFUSAL_CODES]);

/// Number of refusal codes.
const REFUSAL_CODES: usize = RefusalCode::BadRequest as usize + 1;

impl RefusalCounts {
    pub fn count(&mut self, code: RefusalCode) {
        self.0[code as usize] += 1;
    }

    pub fn all(&self) -> Vec<(RefusalCode, u64)> {
        RefusalCode::iter().map(|code| (code, self.0[code as usize])).collect()
    }
}

/// One target as the metrics endpoint shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetMetrics {
    /// Service and id.
    pub target: TargetId,
    /// Calls at the target: exact where this proxy owns it, else its own.
    pub in_flight: u32,
    /// Calls that wait for a slot. 0 where this proxy does not own the target.
    pub queued: u32,
    /// Observed time to an answer, in microseconds.
    pub latency_us: u64,
    /// Whether the target is ejected at this proxy.
    pub is_ejected: bool,
}

/// Counters of the call path of one proxy.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutingMetrics {
    /// Calls in flight, forwarded ones included.
    pub in_flight: u32,
    /// Counters of services, by name.
    pub services: Vec<(Name, ServiceCounts)>,
    /// Answers that the mesh gave itself, by code.
    pub refusals: Vec<(RefusalCode, u64)>,
    /// Targets of this proxy's view, by name.
    pub targets: Vec<TargetMetrics>,
}
