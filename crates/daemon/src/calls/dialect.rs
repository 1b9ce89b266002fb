//! Names of headers and choice of statuses between the mesh, callers and targets.
//!
//! The default is the product's own. Another dialect can be configured for existing
//! callers and targets that use different headers and statuses.

use compact_str::CompactString;
use fireflylug_core::routing::{Outcome, Refusal, RefusalCode};
use http::header::{HeaderMap, HeaderName};

/// Rule for the HTTP status of a response that the mesh generates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusRule {
    /// By the code alone; the outcome is sent in a header.
    ByCode,
    /// By the outcome: 503 means that the call has not run and will not run;
    /// 502 and 504 leave it open.
    ByOutcome,
}

/// Header names and status rule between the mesh, callers and targets.
#[derive(Clone, Debug)]
pub struct CallDialect {
    /// Id of a call. Forwarded unchanged; a target echoes it in its response.
    pub request_id: HeaderName,
    /// Remaining time in milliseconds, sent by callers and to targets.
    pub deadline_ms: HeaderName,
    /// Service of the caller, set by the proxy of its host.
    pub caller_service: HeaderName,
    /// Id of the target that a call is for. Any other target responds with 421.
    pub expected_target: HeaderName,
    /// Response header: the target did not run the call.
    pub not_run: HeaderName,
    /// Header of a health response: id of the target.
    pub target_id: HeaderName,
    /// Header of a health response, and of any other response of a target: running calls,
    /// waiting calls, slots and, optionally, how long work takes on its machine at this moment
    /// in percent of the usual time, separated by commas.
    pub target_load: HeaderName,
    /// Response header: calls per second that the target accepts from all proxies together,
    /// as a decimal number, for as long as it is present.
    pub rate_limit: HeaderName,
    /// Response header with the value 1: the target is leaving and accepts no new calls.
    pub leaving: HeaderName,
    /// Header of every response of a target that ran the call; `None` if targets send no
    /// such header. A success response without it does not belong to the call.
    pub stamp: Option<HeaderName>,
    /// Scheme of the `Authorization` header in which callers send their key. Compared without
    /// regard to case.
    pub key_scheme: CompactString,
    /// Name of the caller's organisation, sent to targets.
    pub organisation: HeaderName,
    /// Whether the mesh sends its own headers: the call chain to targets and the outcome
    /// to callers.
    pub has_mesh_headers: bool,
    /// Rule for statuses.
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
            rate_limit: HeaderName::from_static("fireflylug-rate-limit"),
            leaving: HeaderName::from_static("fireflylug-leaving"),
            stamp: None,
            key_scheme: CompactString::const_new("Bearer"),
            organisation: HeaderName::from_static("fireflylug-organisation"),
            has_mesh_headers: true,
            statuses: StatusRule::ByCode,
        }
    }
}

impl CallDialect {
    /// Whether a target states in a response that it is leaving.
    pub fn is_leaving(&self, headers: &HeaderMap) -> bool {
        headers.get(&self.leaving).is_some_and(|value| value == "1")
    }

    /// Status of a refusal that is sent to a caller.
    pub fn status(&self, refusal: Refusal) -> u16 {
        let by_code = refusal.code.status();
        if self.statuses == StatusRule::ByCode {
            return by_code;
        }
        match (refusal.code, refusal.outcome) {
            // Errors of the caller: a retry cannot succeed, or only after a while.
            (
                RefusalCode::NoRoute
                | RefusalCode::BodyTooLarge
                | RefusalCode::BadRequest
                | RefusalCode::Unauthorized
                | RefusalCode::Unauthenticated
                | RefusalCode::BadCredential
                | RefusalCode::QuotaExceeded
                | RefusalCode::HopLimit,
                Outcome::NotRun,
            ) => by_code,
            (_, Outcome::NotRun) => 503,
            (RefusalCode::DeadlineExceeded | RefusalCode::ChainCancelled, _) => 504,
            _ => 502,
        }
    }

    /// Value of `Retry-After` for a wait.
    pub fn retry_after(&self, wait_ms: u32) -> String {
        match self.statuses {
            StatusRule::ByCode => wait_ms.div_ceil(1_000).to_string(),
            StatusRule::ByOutcome => format!("{}.{:03}", wait_ms / 1_000, wait_ms % 1_000),
        }
    }
}
