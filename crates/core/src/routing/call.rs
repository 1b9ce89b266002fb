//! Events that report what happened to a call, and effects to carry out for it.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::chain::Chain;
use super::message::Fingerprint;
use super::rate_limit::RateLimit;
use super::refusal::{Refusal, RefusalCode};
use super::transit::Transit;
use crate::ids::{CallId, Name, NodeId, TargetId};
use crate::organisation::{Credential, IdentityHeaders, VerifiedKey};

/// Load of one target as measured by its owner, reported to the ingress with a response or a
/// refusal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Calls that hold a slot of the target, from all callers.
    pub in_flight: u32,
    /// Calls in the admission queue.
    pub queued: u32,
    /// Expected wait of one more call for a slot, in milliseconds.
    pub wait_ms: u32,
    /// What the rate limit leaves of the target. None without a limit.
    pub rate: Option<RateReport>,
    /// Time from the arrival of the call at the owner to this report, in milliseconds. The
    /// remainder of the time that the ingress measures is the network round trip.
    pub held_ms: u32,
    /// Capacity that the owner observed. None if it does not report any.
    pub capacity: Option<CapacityReport>,
}

/// Capacity of a target, as its owner observed it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CapacityReport {
    /// Number of concurrent calls that the target handles well.
    pub usable_slots: u32,
    /// Recent mean time for which calls of the class of this call held a slot, in
    /// microseconds; 0 if none was observed.
    pub hold_us: u32,
}

/// The rate limit of a target, as its owner reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateReport {
    /// Limit that the target states.
    pub limit: RateLimit,
    /// Number of slots that the target can use within the limit.
    pub usable_slots: u32,
}

/// What a response says about its target besides the result of the call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// Load of the target, if its owner reported it.
    pub load: Option<TargetLoad>,
    /// Rate limit that the target states.
    pub rate_limit: Option<RateLimit>,
    /// How long work takes on the target's machine at this moment, in percent of the usual
    /// time, if the target states it.
    pub pace_percent: Option<u32>,
    /// Whether the target states that it is leaving.
    pub is_leaving: bool,
    /// Whether the target ended while it ran the call.
    pub has_ended: bool,
}

impl From<TargetLoad> for TargetNotice {
    fn from(load: TargetLoad) -> Self {
        Self { load: Some(load), ..Self::default() }
    }
}

/// Head of a call that an ingress forwards to the owner of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardHead {
    /// The target that the ingress chose.
    pub target: TargetId,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u32,
    /// Maximum number of calls that may be queued ahead of this one.
    pub max_queued: u32,
    /// Whether the call may run more than once.
    pub is_repeatable: bool,
    /// Priority in the admission queue; 0 is served first.
    pub priority: u8,
    /// Time left until a response no longer meets the target latency of the policy, in
    /// milliseconds.
    pub useful_ms: u32,
    /// Class of the call, for latency estimates.
    pub class: CallClass,
    /// Whether the response is large.
    pub is_bulk: bool,
    /// Rate limit of the target that its owner reported last. The owner may have restarted since.
    pub rate_limit: Option<RateLimit>,
    /// Organisation of the caller.
    pub organisation: Option<Name>,
    /// Key by which the ingress determined the organisation.
    pub key: Option<VerifiedKey>,
}

/// Class of calls with similar duration: the calls of one policy.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct CallClass(pub u16);

/// Where a call comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOrigin {
    /// A caller: this proxy is the ingress.
    Caller,
    /// Another proxy: this proxy is the owner of the target.
    Proxy(ForwardHead),
}

/// The parts of a request's head that routing uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHead {
    /// Where the call comes from.
    pub origin: CallOrigin,
    /// Host that the request names, in lower case and without port.
    pub host: CompactString,
    /// Path, without query.
    pub path: CompactString,
    /// Whether the method is safe: GET, HEAD or OPTIONS.
    pub is_safe_method: bool,
    /// Length of the body in bytes, if the head states it.
    pub body_bytes: Option<u64>,
    /// Whether the proxy has buffered the complete body and can send it again.
    pub is_replayable: bool,
    /// Content of the call.
    pub fingerprint: Fingerprint,
    /// Calls that led to this one.
    pub chain: Chain,
    /// Send and receive times of a forwarded call, if the ingress reported when it sent the
    /// call.
    pub transit: Option<Transit>,
    /// Credential that the caller sent. Absent where another proxy forwarded the call.
    pub credential: Credential,
}

impl CallHead {
    /// Creates the head of a caller's request with a safe method and no body.
    pub fn new(host: &str, path: &str) -> Self {
        Self {
            origin: CallOrigin::Caller,
            host: host.into(),
            path: path.into(),
            is_safe_method: true,
            body_bytes: Some(0),
            is_replayable: true,
            fingerprint: Fingerprint::default(),
            chain: Chain::default(),
            transit: None,
            credential: Credential::Absent,
        }
    }
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
    /// The head of a target's response arrived.
    Answered {
        /// The call.
        call: CallId,
        /// The attempt that produced the response.
        attempt: u8,
        /// HTTP status.
        status: u16,
        /// What the response says about the target.
        notice: TargetNotice,
    },
    /// An attempt ended without a response from a target.
    Failed {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u8,
        /// Why, and whether the call may have run.
        refusal: Refusal,
        /// Whether the complete request body is still buffered at this proxy.
        is_replayable: bool,
        /// What a refusal of the owner or the target says about the target.
        notice: TargetNotice,
    },
    /// The response was relayed completely, or was cut off.
    Ended {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u8,
        /// Whether the complete response was relayed.
        is_complete: bool,
    },
    /// The caller, or the proxy that forwarded the call, closed its connection.
    CallerGone {
        /// The call.
        call: CallId,
    },
    /// The caller violated a limit while it sent its request.
    CallerFailed {
        /// The call.
        call: CallId,
        /// The code of the violated limit.
        code: RefusalCode,
    },
}

/// An action to carry out for a call.
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
        /// Address at which the owner accepts forwarded calls, as it announced it.
        address: SocketAddr,
        /// Head of the forwarded call.
        head: ForwardHead,
        /// What is done with the headers that identify the organisation.
        identity: IdentityHeaders,
        /// Calls that led to this one, including this one.
        chain: Chain,
        /// Maximum size of the request body, in bytes.
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
        /// Address at which the target accepts calls.
        address: SocketAddr,
        /// Maximum number of connections to the target.
        connections: u32,
        /// Whether the call may run more than once.
        is_repeatable: bool,
        /// What is done with the headers that identify the organisation.
        identity: IdentityHeaders,
        /// Calls that led to this one, including this one.
        chain: Chain,
        /// Maximum size of the request body, in bytes.
        max_body_bytes: u64,
    },
    /// Relay the response of the current attempt.
    Relay {
        /// The call.
        call: CallId,
        /// Load of the target, for the proxy that forwarded the call.
        load: Option<TargetLoad>,
    },
    /// Relay the server error of an earlier attempt, because no retry succeeded.
    RelayEarlier {
        /// The call.
        call: CallId,
    },
    /// Cancel the current attempt and close its connection.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// Refuse the call without a response from a target. Ends the call.
    Refuse {
        /// The call.
        call: CallId,
        /// Code and outcome of the refusal.
        refusal: Refusal,
        /// Load of the target, for the proxy that forwarded the call.
        load: Option<TargetLoad>,
        /// Time after which a retry by the caller may be admitted, in milliseconds. None where
        /// a retry cannot help.
        retry_after_ms: Option<u32>,
    },
    /// Cut off the response that is being relayed. Ends the call.
    Abort {
        /// The call.
        call: CallId,
    },
    /// End keep-alive, so that callers reconnect elsewhere: the process is stopping.
    CloseKeepAlive,
    /// Close the listeners; connections that wait to be accepted are still served.
    CloseListeners,
    /// Close every idle connection: the process accepts no more calls.
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
