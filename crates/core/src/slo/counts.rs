//! Call counts, and their reliable delivery to the next receiver.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CallResult, Leg, SloMessage};
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::resource::Objective;

/// Number of calls of one objective within a period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that count against the objective: answered or refused.
    pub counted: u32,
    /// Of these, calls that failed: refused, interrupted or answered with a server error.
    pub failed: u32,
    /// Of these, calls without a successful response within the objective's latency.
    pub slow: u32,
    /// Of these, calls refused by the mesh.
    pub refused: u32,
    /// Calls cancelled by their caller. Not included in `counted`.
    pub cancelled: u32,
}

impl Counts {
    pub(super) fn add_call(&mut self, objective: &Objective, result: CallResult) {
        let (is_success, is_fast) = match result {
            CallResult::Cancelled => {
                self.cancelled = self.cancelled.saturating_add(1);
                return;
            }
            CallResult::Refused => (false, false),
            CallResult::Answered { is_success, took_us } => {
                (is_success, is_success && took_us <= u64::from(objective.latency_ms) * 1_000)
            }
        };
        self.add(&Self {
            counted: 1,
            failed: u32::from(!is_success),
            slow: u32::from(!is_fast),
            refused: u32::from(result == CallResult::Refused),
            cancelled: 0,
        });
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.counted = self.counted.saturating_add(other.counted);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
        self.refused = self.refused.saturating_add(other.refused);
        self.cancelled = self.cancelled.saturating_add(other.cancelled);
    }
}

/// Key of counts: service, policy and availability zone of the ingress proxy.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CountKey {
    /// Service.
    pub service: Name,
    /// Policy that declares the objective.
    pub policy: Name,
    /// Availability zone of the ingress proxy of the calls.
    pub availability_zone: Name,
}

/// Counts by key.
pub(super) type CountMap = BTreeMap<CountKey, Counts>;

/// Queue of counts for one receiver. One batch is in flight at a time and is resent
/// until it is acknowledged, so that a lost message loses no counts.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    queued: CountMap,
    batch: Vec<(CountKey, Counts)>,
    sequence: u64,
}

impl Outbox {
    pub fn add(&mut self, key: &CountKey, counts: &Counts) {
        match self.queued.get_mut(key) {
            Some(sum) => sum.add(counts),
            None => _ = self.queued.insert(key.clone(), *counts),
        }
    }

    /// Sends the unacknowledged batch again, or otherwise the next batch.
    pub fn send(&mut self, cx: &mut Context<'_>, leg: Leg, to: NodeId) {
        if self.batch.is_empty() {
            self.batch = std::mem::take(&mut self.queued).into_iter().collect();
            self.sequence += 1;
        }
        if self.batch.is_empty() {
            return;
        }
        let incarnation = cx.me.incarnation;
        let (sequence, rows) = (self.sequence, self.batch.clone());
        cx.send(to, SloMessage::Counts { leg, incarnation, sequence, rows });
    }

    pub fn acknowledged(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.batch.clear();
        }
    }

    /// Removes and returns all counts, for a receiver that is this process.
    pub fn drain(&mut self) -> CountMap {
        let mut total = std::mem::take(&mut self.queued);
        for (key, counts) in self.batch.drain(..) {
            total.entry(key).or_default().add(&counts);
        }
        total
    }
}
