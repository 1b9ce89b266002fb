//! Refusals: responses that the mesh generates itself, and the outcome that they report.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a call that has ended.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The call did not run: no byte of it reached a target, or the target reported that it did
    /// not run the call. It may be retried elsewhere.
    NotRun,
    /// The call may have run. Only a repeatable call may be retried.
    Unknown,
    /// A target responded.
    Ran,
}

/// Why the mesh refuses a call.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCode {
    /// The proxy holds no configuration yet.
    NoConfiguration,
    /// No route matches host and path.
    NoRoute,
    /// No route matches host and path, or the key of the call is unknown, in the version that this
    /// proxy holds, and it receives no newer ones at the moment.
    OutdatedConfiguration,
    /// No target of the service accepts new calls.
    NoTarget,
    /// Slots and queue are full, or the call is not expected to be served in time.
    Overloaded,
    /// The proxy has too many calls in flight.
    ProxyBusy,
    /// The proxy is stopping.
    Stopping,
    /// The target is draining or gone, or this proxy does not own it.
    TargetGone,
    /// The target reported that it did not run the call.
    TargetRefused,
    /// The target returned a server error, and the call is retried elsewhere.
    TargetFailed,
    /// The target's response is invalid or does not belong to this call.
    WrongAnswer,
    /// The request's body is larger than the policy allows.
    BodyTooLarge,
    /// Calls with this content ended the targets that ran them.
    Quarantined,
    /// The chain of calls is too long, which usually means a loop.
    HopLimit,
    /// The deadline passed.
    DeadlineExceeded,
    /// No connection to the owner or the target could be established.
    Unreachable,
    /// The connection to the owner or the target was lost.
    ConnectionLost,
    /// The caller stopped sending its request.
    CallerStalled,
    /// The parent call, on behalf of which this one was made, ended without a response.
    ChainCancelled,
    /// The forwarding proxy did not present the shared key.
    Unauthorized,
    /// The request is malformed.
    BadRequest,
    /// The route requires a key of an organisation, and the call has none or an unknown one.
    Unauthenticated,
    /// The route requires a key of an organisation, and the call has a malformed credential.
    BadCredential,
    /// The call is above the quota of its organisation.
    QuotaExceeded,
}

impl RefusalCode {
    /// HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::BodyTooLarge => 413,
            Self::HopLimit => 508,
            Self::DeadlineExceeded | Self::ChainCancelled => 504,
            Self::Unreachable | Self::ConnectionLost | Self::TargetFailed | Self::WrongAnswer => {
                502
            }
            Self::CallerStalled => 408,
            Self::QuotaExceeded => 429,
            Self::Unauthorized | Self::Unauthenticated => 401,
            Self::BadRequest | Self::BadCredential => 400,
            Self::NoConfiguration
            | Self::OutdatedConfiguration
            | Self::NoTarget
            | Self::Overloaded
            | Self::ProxyBusy
            | Self::Stopping
            | Self::Quarantined
            | Self::TargetGone
            | Self::TargetRefused => 503,
        }
    }

    /// One sentence for the caller.
    pub fn message(self) -> &'static str {
        match self {
            Self::NoConfiguration => "this proxy holds no configuration yet",
            Self::NoRoute => "no route matches this host and path",
            Self::OutdatedConfiguration => {
                "no route or key is known, and this proxy receives no configuration at the moment"
            }
            Self::NoTarget => "no target of the service accepts new calls",
            Self::Overloaded => "the call could not be answered in time",
            Self::ProxyBusy => "this proxy has too many calls in flight",
            Self::Stopping => "this proxy is stopping",
            Self::TargetGone => "the target accepts no new calls",
            Self::TargetRefused => "the target did not run the call",
            Self::TargetFailed => "the target answered with a server error",
            Self::WrongAnswer => "the target's response is invalid or does not belong to this call",
            Self::BodyTooLarge => "the request's body is larger than its policy allows",
            Self::Quarantined => "targets ended while they ran calls like this one",
            Self::HopLimit => "the call went through too many proxies",
            Self::DeadlineExceeded => "the deadline of the call passed",
            Self::Unreachable => "no connection to the target could be established",
            Self::ConnectionLost => "the connection was lost before a response arrived",
            Self::CallerStalled => "the request was not sent in time",
            Self::ChainCancelled => "the call for which this one was made has ended",
            Self::Unauthorized => "the shared key is missing or wrong",
            Self::BadRequest => "the request is malformed",
            Self::Unauthenticated => "the call has no valid key of an organisation",
            Self::BadCredential => "the credential of the call is malformed",
            Self::QuotaExceeded => "the organisation has used up its quota",
        }
    }
}

/// A response that the mesh generates itself, without a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// What is known about the execution of the call.
    pub outcome: Outcome,
}

/// Retry delay if nothing is known about free capacity, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

impl Refusal {
    /// Default time after which the caller may retry, in milliseconds. None if a retry cannot
    /// help.
    pub fn default_retry_after_ms(self) -> Option<u32> {
        (self.code.status() == 503).then_some(RETRY_AFTER_MS)
    }
}
