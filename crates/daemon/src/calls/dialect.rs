//! Headers and statuses that callers and targets understand.
//!
//! The default is the product's own. Another one may be given where callers
//! and targets that exist already speak otherwise.

use fireflylug_core::routing::{Outcome, Refusal, RefusalCode};
use http::header::HeaderName;

/// How the status of an answer is chosen that the mesh gives itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusRule {
    /// By the code alone; the outcome stands in a header.
    ByCode,
    /// By the outcome: 503 says that the call has not run and will not run;
    /// 502 and 504 say nothing of it.
    ByOutcome,
}

/// Headers and statuses that callers and targets understand.
#[derive(Clone, Debug)]
pub struct CallDialect {
    /// Id of a call. Passed on as it is; a target repeats it in its answer.
    pub request_id: HeaderName,
    /// Time left, in milliseconds: from callers, and to targets.
    pub deadline_ms: HeaderName,
    /// Service of the caller, set by the proxy of its host.
    pub caller_service: HeaderName,
    /// Id of the target that a call is for. Another one answers 421.
    pub expected_target: HeaderName,
    /// In an answer: the target did not run the call.
    pub not_run: HeaderName,
    /// In the answer to a question for its health: the id of a target.
    pub target_id: HeaderName,
    /// In the same: its running calls, waiting calls and slots, with commas between.
    pub target_load: HeaderName,
    /// In every answer of a target that ran the call; none where targets have
    /// no such header. A success without it is no answer to the call.
    pub stamp: Option<HeaderName>,
    /// Whether targets are told of the chain of calls, and callers of outcomes,
    /// in the headers of the mesh.
    pub has_mesh_headers: bool,
    /// How statuses are chosen.
    pub statuses: StatusRule,
}

impl Default for CallDialect {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            deadline_ms: HeaderName::from_static("fireflylug-deadline-ms"),
            caller_service: HeaderName::from_static("fireflylug-caller-service"),
            expected_target: HeaderName::from_static("fireflylug-target"),
            not_run: HeaderName::from_static("fireflylug-not-run"),
            target_id: HeaderName::from_static("fireflylug-target-id"),
            target_load: HeaderName::from_static("fireflylug-target-load"),
            stamp: None,
            has_mesh_headers: true,
            statuses: StatusRule::ByCode,
        }
    }
}

impl CallDialect {
    /// Status of an answer that the mesh gives a caller itself.
    pub fn status(&self, refusal: Refusal) -> u16 {
        let by_code = refusal.code.status();
        if self.statuses == StatusRule::ByCode {
            return by_code;
        }
        match (refusal.code, refusal.outcome) {
            // The caller's own mistake: trying again cannot help.
            (
                RefusalCode::NoRoute
                | RefusalCode::BodyTooLarge
                | RefusalCode::BadRequest
                | RefusalCode::Unauthorized
                | RefusalCode::HopLimit,
                Outcome::NotRun,
            ) => by_code,
            (_, Outcome::NotRun) => 503,
            (RefusalCode::DeadlineExceeded | RefusalCode::ChainCancelled, _) => 504,
            _ => 502,
        }
    }

    /// The value of `Retry-After` for a wait.
    pub fn retry_after(&self, wait_ms: u32) -> String {
        match self.statuses {
            StatusRule::ByCode => wait_ms.div_ceil(1_000).to_string(),
            StatusRule::ByOutcome => format!("{}.{:03}", wait_ms / 1_000, wait_ms % 1_000),
        }
    }
}
