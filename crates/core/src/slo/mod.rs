//! Service-level burn: counts of calls against the objectives of their policies.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Configuration;
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::membership::Membership;
use crate::resource::Policy;
use crate::time::Instant;

/// Messages that add counts up over proxies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SloMessage {}

/// The burn report: one row for each service with an objective.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Rows, by service name.
    pub rows: Vec<BurnRow>,
}

/// Burn of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Service.
    pub service: crate::ids::Name,
}

/// How a call of this ingress ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A target answered.
    Answered {
        /// Whether the answer was whole and no server error.
        is_good: bool,
        /// Time from the call's arrival to the end of the answer, in microseconds.
        took_us: u64,
    },
    /// The mesh answered itself.
    Refused,
    /// The caller hung up.
    Cancelled,
}

/// Counts at this process and what it heard of others.
#[derive(Default)]
pub struct Slo {}

impl Slo {
    /// Makes empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// A version came into force at this process.
    pub fn configure(&mut self, _cx: &mut Context<'_>, _configuration: Arc<Configuration>) {}

    /// Counts a call that ended.
    pub fn count(&mut self, _now: Instant, _service: &Name, _policy: &Policy, _result: CallResult) {
    }

    /// A message from another process.
    pub fn step(&mut self, _cx: &mut Context<'_>, _from: NodeId, message: SloMessage) {
        match message {}
    }

    /// When [`Slo::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        Instant::NEVER
    }

    /// Does what is due.
    pub fn tick(&mut self, _cx: &mut Context<'_>, _membership: &Membership) {}

    /// The burn report as this process knows it.
    pub fn report(&self, _now: Instant) -> BurnReport {
        BurnReport::default()
    }
}
