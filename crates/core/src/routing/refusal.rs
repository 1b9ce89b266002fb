//! Answers that the mesh gives itself, and what it says of the outcome.

use serde::{Deserialize, Serialize};

/// What is known of a call that ended without an answer, or with one.
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
    /// No byte of the call reached a target. It may be tried elsewhere.
    NotRun,
    /// The call may have run. Only a repeatable call may be tried again.
    Unknown,
    /// A target answered.
    Ran,
}

/// Why the mesh answers a call itself.
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
pub enum RefusalCode {
    /// The proxy holds no configuration yet.
    NoConfiguration,
    /// No route matches host and path.
    NoRoute,
    /// No target of the service may take new work.
    NoTarget,
    /// Slots and queue are full, or the call could not be answered in time.
    Overloaded,
    /// The proxy has too many calls in flight.
    ProxyBusy,
    /// The proxy is stopping.
    Stopping,
    /// The target is draining or gone, or this proxy does not own it.
    TargetGone,
    /// The target said that it did not run the call.
    TargetRefused,
    /// The target answered with a server error, and the call is tried elsewhere.
    TargetFailed,
    /// The target's answer was not one to this call.
    WrongAnswer,
    /// The request's body is larger than the policy allows.
    BodyTooLarge,
    /// The call went through too many proxies: probably a loop.
    HopLimit,
    /// The deadline passed.
    DeadlineExceeded,
    /// The owner or the target could not be connected to.
    Unreachable,
    /// The connection to the owner or the target was lost.
    ConnectionLost,
    /// The caller stopped sending its request.
    CallerStalled,
    /// The call for which this one was made ended without an answer.
    ChainCancelled,
    /// The forwarding proxy did not present the shared key.
    Unauthorized,
    /// The request is malformed.
    BadRequest,
}

impl RefusalCode {
    /// HTTP status of the answer.
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
            Self::Unauthorized => 401,
            Self::BadRequest => 400,
            Self::NoConfiguration
            | Self::NoTarget
            | Self::Overloaded
            | Self::ProxyBusy
            | Self::Stopping
            | Self::TargetGone
            | Self::TargetRefused => 503,
        }
    }

    /// One sentence for the caller.
    pub fn message(self) -> &'static str {
        match self {
            Self::NoConfiguration => "this proxy holds no configuration yet",
            Self::NoRoute => "no route matches this host and path",
            Self::NoTarget => "no target of the service may take new work",
            Self::Overloaded => "the call could not be answered in time",
            Self::ProxyBusy => "this proxy has too many calls in flight",
            Self::Stopping => "this proxy is stopping",
            Self::TargetGone => "the target takes no new work",
            Self::TargetRefused => "the target did not run the call",
            Self::TargetFailed => "the target answered with a server error",
            Self::WrongAnswer => "the target sent something else than an answer to this call",
            Self::BodyTooLarge => "the request's body is larger than its policy allows",
            Self::HopLimit => "the call went through too many proxies",
            Self::DeadlineExceeded => "the deadline of the call passed",
            Self::Unreachable => "the target could not be connected to",
            Self::ConnectionLost => "the connection was lost before an answer came",
            Self::CallerStalled => "the request was not sent in time",
            Self::ChainCancelled => "the call for which this one was made has ended",
            Self::Unauthorized => "the shared key is missing or wrong",
            Self::BadRequest => "the request is malformed",
        }
    }
}

/// An answer that the mesh gives itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// What became of the call.
    pub outcome: Outcome,
}

/// Wait before a call is tried again where nothing is known of the room, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

impl Refusal {
    /// Time after which the caller may try again where nothing more is known,
    /// in milliseconds. None where trying again cannot help.
    pub fn default_retry_after_ms(self) -> Option<u32> {
        (self.code.status() == 503).then_some(RETRY_AFTER_MS)
    }
}
