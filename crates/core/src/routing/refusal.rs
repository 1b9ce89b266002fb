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
            Self::Unreachable | Self::ConnectionLost => 502,
            Self::CallerStalled => 408,
            Self::Unauthorized => 401,
            Self::BadRequest => 400,
            Self::NoConfiguration
            | Self::NoTarget
            | Self::Overloaded
            | Self::ProxyBusy
            | Self::Stopping
            | Self::TargetGone => 503,
        }
    }

    /// Seconds after which the caller may try again, where that can help.
    pub fn retry_after_s(self) -> Option<u32> {
        (self.status() == 503).then_some(1)
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
