//! Decisions about calls, with the inputs of each decision, for the log.

use super::refusal::{Outcome, RefusalCode};
use crate::ids::{CallId, TargetId, Version};

/// One decision about one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The call.
    pub call: CallId,
    /// What was decided.
    pub step: Step,
}

/// What was decided about a call.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// A target was chosen for an attempt.
    Chosen {
        /// Number of the attempt.
        attempt: u8,
        /// The target.
        target: TargetId,
        /// Calls at the target, as estimated at this proxy.
        load: u64,
        /// Age of the load reported by the owner or the target, in milliseconds. None where
        /// only this proxy's own calls are counted.
        load_age_ms: Option<u64>,
        /// Whether the call is expected to wait for a slot of the target.
        waits: bool,
        /// Version of the configuration that routed the call.
        version: Version,
    },
    /// The call waits for a slot of a target of this host.
    Queued {
        /// The target.
        target: TargetId,
        /// Calls in the queue of the target, including this one.
        queued: u32,
        /// Time left until the deadline, in milliseconds.
        remaining_ms: u64,
    },
    /// An attempt ended without a response that is relayed to the caller.
    AttemptFailed {
        /// Number of the attempt.
        attempt: u8,
        /// Why.
        code: RefusalCode,
        /// Whether the call may have run.
        outcome: Outcome,
        /// Whether the call is retried.
        is_retried: bool,
    },
    /// The mesh refused the call: it responded without a target.
    Refused {
        /// Why.
        code: RefusalCode,
        /// The outcome that is reported for the call.
        outcome: Outcome,
        /// Attempts that were made.
        attempts: u8,
        /// Time since the call arrived, in milliseconds.
        after_ms: u64,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: Option<u32>,
    },
    /// A target responded with a server error, which is relayed to the caller.
    ServerError {
        /// Number of the attempt.
        attempt: u8,
        /// The target.
        target: TargetId,
        /// HTTP status.
        status: u16,
        /// Time since the call arrived, in milliseconds.
        after_ms: u64,
    },
    /// A response was relayed completely, but after the target latency of its policy, or after
    /// the deadline if the policy has no target latency.
    Late {
        /// Number of the attempt that produced the response.
        attempt: u8,
        /// Time from the arrival of the call to the start of the attempt, in milliseconds.
        began_ms: u64,
        /// Time from the arrival of the call to the head of the response, in milliseconds.
        head_ms: u64,
        /// Time from the arrival of the call to the end of the response, in milliseconds.
        after_ms: u64,
    },
    /// A response was cut off, because it had not ended some time after the deadline.
    CutOff {
        /// Number of the attempt that produced the response.
        attempt: u8,
        /// Time since the call arrived, in milliseconds.
        after_ms: u64,
    },
    /// The caller closed its connection.
    CallerGone {
        /// Attempts that were made.
        attempts: u8,
        /// Time since the call arrived, in milliseconds.
        after_ms: u64,
    },
}

impl Step {
    /// Whether the step is part of the normal course of a call, so that its log line may be
    /// left out.
    pub fn is_routine(&self) -> bool {
        matches!(self, Self::Chosen { attempt: 1, waits: false, .. })
    }
}
