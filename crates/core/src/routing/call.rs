//! What happens to a call, and what is done with it.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::chain::Chain;
use super::refusal::{Refusal, RefusalCode};
use super::transit::Transit;
use crate::ids::{CallId, NodeId, TargetId};

/// Load of one target as its owner's gate knows it, as it is told with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GateLoad {
    /// Calls at the target, from all callers.
    pub in_flight: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Time after which one more call would be given a slot, in milliseconds.
    pub wait_ms: u32,
    /// Time for which the owner had held the call that was answered, in
    /// milliseconds: the rest was spent on the way.
    pub held_ms: u32,
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
    /// Rank among the calls that wait; 0 goes first.
    pub priority: u8,
    /// Time within which an answer is of full use, in milliseconds.
    pub useful_ms: u32,
    /// Kind of the call, for estimates of how long it takes.
    pub class: CallClass,
    /// Whether the answer is large.
    pub bulk: bool,
}

/// Calls of one policy, as far as estimates of their duration go.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct CallClass(pub u16);

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
    /// The way from the ingress, where another proxy forwarded the call and tells it.
    pub transit: Option<Transit>,
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
    /// Pass on the answer of the earlier attempt that was to be bettered: no
    /// other attempt succeeded. Ends the call.
    RelayEarlier {
        /// The call.
        call: CallId,
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
        /// Time after which the caller may find room, in milliseconds, where
        /// trying again can help.
        retry_after_ms: Option<u32>,
    },
    /// Cut the answer that is being passed on. Ends the call.
    Abort {
        /// The call.
        call: CallId,
    },
    /// Ask callers for new connections elsewhere: the process is stopping.
    CloseKeepAlive,
    /// Accept no more connections; those that wait to be accepted are served.
    CloseListeners,
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
            | Self::RelayEarlier { call }
            | Self::Cancel { call }
            | Self::Refuse { call, .. }
            | Self::Abort { call } => Some(*call),
            Self::CloseKeepAlive | Self::CloseListeners | Self::CloseIdle => None,
        }
    }
}
