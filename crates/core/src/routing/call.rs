//! What happens to a call, and what is done with it.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::chain::Chain;
use crate::ids::{CallId, NodeId, TargetId};

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

/// Load of one target as its owner's gate knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GateLoad {
    /// Calls at the target, from all callers.
    pub in_flight: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
}

/// What another proxy asks of this one as the owner of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardHead {
    /// The target that the ingress chose.
    pub target: TargetId,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u32,
    /// Most calls that may wait before this one.
    pub max_queued: u32,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

/// Where a call comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOrigin {
    /// A caller: this proxy is the ingress.
    Caller,
    /// Another proxy: this one owns the target.
    Proxy(ForwardHead),
}

/// What the reducer needs of a request's head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHead {
    /// Where the call comes from.
    pub origin: CallOrigin,
    /// Host that the call names, in lower case and without port.
    pub host: CompactString,
    /// Path, without query.
    pub path: CompactString,
    /// Whether the method is safe: GET, HEAD or OPTIONS.
    pub is_safe_method: bool,
    /// Length of the body in bytes, where the head tells it.
    pub body_bytes: Option<u64>,
    /// Whether the proxy holds the whole body, so that it can be sent again.
    pub is_replayable: bool,
    /// Calls that led to this one.
    pub chain: Chain,
}

/// Something that happened to a call.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// The head of a call arrived.
    Arrived {
        /// The call.
        call: CallId,
        /// Its head.
        head: CallHead,
    },
    /// The head of a target's answer arrived.
    Answered {
        /// The call.
        call: CallId,
        /// The attempt that was answered.
        attempt: u8,
        /// HTTP status.
        status: u16,
        /// Load of the target, where its owner told it.
        load: Option<GateLoad>,
    },
    /// An attempt ended without an answer of a target.
    Failed {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u8,
        /// Why, and whether the call may have run.
        refusal: Refusal,
        /// Whether the request's body is still whole at this proxy.
        replayable: bool,
        /// Load of the target, where its owner told it.
        load: Option<GateLoad>,
    },
    /// The answer was passed on to its end, or was cut.
    Ended {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u8,
        /// Whether the whole answer was passed on.
        whole: bool,
    },
    /// The caller hung up, or the proxy that forwarded the call did.
    CallerGone {
        /// The call.
        call: CallId,
    },
    /// The caller broke a limit while it sent its request.
    CallerFailed {
        /// The call.
        call: CallId,
        /// The limit.
        code: RefusalCode,
    },
}

/// Something to do with a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEffect {
    /// Send the call to the owner of the chosen target.
    Forward {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u8,
        /// The owner.
        owner: NodeId,
        /// Where the owner takes forwarded calls, as it announced it.
        address: SocketAddr,
        /// What the owner must know.
        head: ForwardHead,
        /// Calls that led to this one, this one included.
        chain: Chain,
        /// Most bytes of the request's body.
        max_body_bytes: u64,
    },
    /// Send the call to a target of this host.
    Dispatch {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u8,
        /// The target.
        target: TargetId,
        /// Where the target takes calls.
        address: SocketAddr,
        /// Most connections to the target.
        connections: u32,
        /// Whether the call may run more than once.
        repeatable: bool,
        /// Calls that led to this one, this one included.
        chain: Chain,
        /// Most bytes of the request's body.
        max_body_bytes: u64,
    },
    /// Pass the answer of the present attempt on.
    Relay {
        /// The call.
        call: CallId,
        /// Load of the target, for the proxy that forwarded the call.
        load: Option<GateLoad>,
    },
    /// Drop the present attempt and close its connection.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// Answer the call without a target. Ends the call.
    Refuse {
        /// The call.
        call: CallId,
        /// The answer.
        refusal: Refusal,
        /// Load of the target, for the proxy that forwarded the call.
        load: Option<GateLoad>,
    },
    /// Cut the answer that is being passed on. Ends the call.
    Abort {
        /// The call.
        call: CallId,
    },
    /// Ask callers for new connections elsewhere: the process is stopping.
    CloseKeepAlive,
    /// Close every idle connection: the process takes no more calls.
    CloseIdle,
}

impl CallEffect {
    /// The call that the effect is for.
    pub fn call(&self) -> Option<CallId> {
        match self {
            Self::Forward { call, .. }
            | Self::Dispatch { call, .. }
            | Self::Relay { call, .. }
            | Self::Cancel { call }
            | Self::Refuse { call, .. }
            | Self::Abort { call } => Some(*call),
            Self::CloseKeepAlive | Self::CloseIdle => None,
        }
    }
}
