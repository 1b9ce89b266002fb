//! Counts of calls and their way to the control replicas.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CallResult, Leg, SloMessage};
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::resource::Objective;

/// Calls of one objective over some time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that count: answered or refused.
    pub counted: u32,
    /// Of these, not answered well: refused, cut or a server error.
    pub failed: u32,
    /// Of these, not answered well within the objective's latency.
    pub slow: u32,
    /// Of these, refused by the mesh.
    pub refused: u32,
    /// Calls that their caller cancelled. Not among those that count.
    pub cancelled: u32,
}

impl Counts {
    pub(super) fn add_call(&mut self, objective: &Objective, result: CallResult) {
        let (is_good, is_fast) = match result {
            CallResult::Cancelled => {
                self.cancelled = self.cancelled.saturating_add(1);
                return;
            }
            CallResult::Refused => (false, false),
            CallResult::Answered { is_good, took_us } => {
                (is_good, is_good && took_us <= u64::from(objective.latency_ms) * 1_000)
            }
        };
        self.add(&Self {
            counted: 1,
            failed: u32::from(!is_good),
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

/// Service, policy and availability zone of the callers' proxy.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CountKey {
    /// Service.
    pub service: Name,
    /// Policy that holds the objective.
    pub policy: Name,
    /// Availability zone of the proxy that took the calls.
    pub availability_zone: Name,
}

/// Counts by key.
pub(super) type CountMap = BTreeMap<CountKey, Counts>;

/// Counts on their way to one receiver: one batch at a time, sent again until
/// it is acknowledged, so that a lost message loses no call.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: CountMap,
    batch: Vec<(CountKey, Counts)>,
    sequence: u64,
}

impl Outbox {
    pub fn add(&mut self, key: &CountKey, counts: &Counts) {
        match self.waiting.get_mut(key) {
            Some(sum) => sum.add(counts),
            None => _ = self.waiting.insert(key.clone(), *counts),
        }
    }

    /// Sends the batch that is not acknowledged yet, or else the next one.
    pub fn send(&mut self, cx: &mut Context<'_>, leg: Leg, to: NodeId) {
        if self.batch.is_empty() {
            self.batch = std::mem::take(&mut self.waiting).into_iter().collect();
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

    /// Takes every count, where the receiver is this process.
    pub fn take(&mut self) -> CountMap {
        let mut all = std::mem::take(&mut self.waiting);
        for (key, counts) in self.batch.drain(..) {
            all.entry(key).or_default().add(&counts);
        }
        all
    }
}
