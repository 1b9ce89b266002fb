//! What was decided about a call, with what decided it, for the log.

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
        /// Calls at the target as far as is known here.
        load: u64,
        /// Age of what others told of the load, in milliseconds; none where
        /// only this proxy's own calls are known.
        load_age_ms: Option<u64>,
        /// Whether the call is expected to wait there.
        waits: bool,
        /// Version of the configuration by which the call was routed.
        version: Version,
    },
    /// The call waits for a slot of a target of this host.
    Queued {
        /// The target.
        target: TargetId,
        /// Calls that wait there, this one included.
        queued: u32,
        /// Time left until the deadline, in milliseconds.
        remaining_ms: u64,
    },
    /// An attempt ended without an answer that is passed on.
    AttemptFailed {
        /// Number of the attempt.
        attempt: u8,
        /// Why.
        code: RefusalCode,
        /// Whether the call may have run.
        outcome: Outcome,
        /// Whether the call is tried again.
        is_retried: bool,
    },
    /// The mesh answered the call itself.
    Refused {
        /// Why.
        code: RefusalCode,
        /// What is said of the call.
        outcome: Outcome,
        /// Attempts that were made.
        attempts: u8,
        /// Time since the call arrived, in milliseconds.
        after_ms: u64,
        /// Time after which the caller is asked to come back, in milliseconds.
        retry_after_ms: Option<u32>,
    },
    /// A target answered with a server error, which is passed on.
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
    /// An answer was passed on whole, but too late to be of full use.
    Late {
        /// Number of the attempt that was answered.
        attempt: u8,
        /// Time from the call's arrival until the attempt began, in milliseconds.
        began_ms: u64,
        /// Time from the arrival to the head of the answer, in milliseconds.
        head_ms: u64,
        /// Time from the arrival to the end of the answer, in milliseconds.
        after_ms: u64,
    },
    /// The caller hung up.
    CallerGone {
        /// Attempts that were made.
        attempts: u8,
        /// Time since the call arrived, in milliseconds.
        after_ms: u64,
    },
}

impl Step {
    /// Whether the step is of the usual course of a call, so that a line more
    /// or less says little.
    pub fn is_usual(&self) -> bool {
        matches!(self, Self::Chosen { attempt: 1, waits: false, .. })
    }
}
