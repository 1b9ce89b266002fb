//! Counters of routing, for the metrics endpoint.

use strum::{EnumCount, IntoEnumIterator};

use super::refusal::{Outcome, RefusalCode};
use super::state::Stage;
use crate::ids::{Name, TargetId};

/// Counters of one service at one proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounts {
    /// Ended calls from callers, by outcome in the order of [`Outcome`].
    pub ended: [u64; 3],
    /// Calls from callers that were cancelled by the caller.
    pub cancelled: u64,
    /// Attempts that this proxy started as ingress.
    pub attempts: u64,
    /// Attempts after the first of their call.
    pub retries: u64,
    /// Retries denied by the retry budget.
    pub retries_denied: u64,
    /// Calls in flight, including forwarded ones.
    pub in_flight: u32,
}

impl ServiceCounts {
    pub(super) fn count_ended(&mut self, outcome: Outcome) {
        self.ended[outcome as usize] += 1;
    }
}

/// Calls in flight at one proxy by progress, including forwarded ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StageCounts {
    /// No attempt is in progress.
    pub choosing: u32,
    /// In the admission queue of a target of this host.
    pub queued: u32,
    /// The head of the response has not arrived.
    pub running: u32,
    /// Cancelled, with the end of the attempt not reported yet.
    pub cancelling: u32,
    /// The response is being relayed.
    pub relaying: u32,
}

impl StageCounts {
    pub(super) fn count(&mut self, stage: &Stage) {
        let count = match stage {
            Stage::Choosing => &mut self.choosing,
            Stage::Queued(_) => &mut self.queued,
            Stage::Running(_) => &mut self.running,
            Stage::Cancelling(_) => &mut self.cancelling,
            Stage::Relaying(_) | Stage::RelayingEarlier => &mut self.relaying,
        };
        *count += 1;
    }
}

/// Refusals by code.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalCounts([u64; RefusalCode::COUNT]);

impl RefusalCounts {
    pub fn count(&mut self, code: RefusalCode) {
        self.0[code as usize] += 1;
    }

    pub fn all(&self) -> Vec<(RefusalCode, u64)> {
        RefusalCode::iter().map(|code| (code, self.0[code as usize])).collect()
    }
}

/// Metrics of one target at one proxy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetMetrics {
    /// Service and id.
    pub target: TargetId,
    /// Calls at the target: all calls if this proxy owns the target, otherwise only its own.
    pub in_flight: u32,
    /// Calls in the admission queue. 0 if this proxy does not own the target.
    pub queued: u32,
    /// Mean time until the head of a response, in microseconds.
    pub latency_us: u64,
    /// Whether the target is ejected at this proxy.
    pub is_ejected: bool,
    /// Number of concurrent calls that the target handles well. None if this proxy does not own
    /// the target, or does not observe its capacity.
    pub usable_slots: Option<u32>,
    /// Speed of the target in percent of the typical target of its service, as reported last.
    pub speed_percent: Option<u32>,
}

/// Counters of routing at one proxy.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutingMetrics {
    /// Calls in flight, including forwarded ones.
    pub in_flight: u32,
    /// Counters of services, by name.
    pub services: Vec<(Name, ServiceCounts)>,
    /// Refusals by code.
    pub refusals: Vec<(RefusalCode, u64)>,
    /// Targets in this proxy's view, by name.
    pub targets: Vec<TargetMetrics>,
}
