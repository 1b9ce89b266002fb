//! Input events and output effects of the reducer.

use std::net::SocketAddr;

use crate::api::{ApiRequest, ApiResponse};
use crate::consensus::{DiskCommand, DiskEvent};
use crate::ids::{NodeId, RequestId};
use crate::message::PeerMessage;
use crate::routing::{CallEffect, CallEvent, Decision};

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The deadline returned by [`crate::State::next_deadline`] has passed.
    Tick,
    /// A connection to another process is ready for messages.
    PeerConnected {
        /// The other process.
        peer: NodeId,
    },
    /// The last connection to another process closed, or a dial failed.
    PeerDisconnected {
        /// The other process.
        peer: NodeId,
    },
    /// A message from another process arrived.
    PeerMessage {
        /// The sender, as authenticated by the handshake.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// The disk finished a command, or failed.
    Disk(DiskEvent),
    /// A request to the resource API arrived.
    ApiRequest {
        /// Key of the request, for its responses.
        request: RequestId,
        /// The request.
        body: ApiRequest,
    },
    /// The client of a request closed its connection.
    ApiClosed {
        /// Key of the request.
        request: RequestId,
    },
    /// An event of a call.
    Call(CallEvent),
    /// The settings now list these addresses of processes to join through.
    SeedsChanged(Vec<SocketAddr>),
    /// A graceful stop was requested.
    Stop,
}

/// An output of the reducer, executed by the I/O code around it. The effects of one
/// event are executed in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message. A message may be lost; its loss is reported by
    /// [`Event::PeerDisconnected`].
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Store the address at which a process listens for messages, for later sends.
    StorePeerAddress {
        /// The process.
        peer: NodeId,
        /// Its address for messages between processes.
        address: SocketAddr,
    },
    /// Remove the address of a process that was forgotten and close connections to it.
    ForgetPeer {
        /// The process.
        peer: NodeId,
    },
    /// Open a connection to an address whose process has not been identified yet.
    Dial {
        /// Address for messages between processes.
        address: SocketAddr,
    },
    /// Execute a disk command.
    Disk(DiskCommand),
    /// Respond to a request to the resource API. A watch receives many responses.
    Answer {
        /// Key of the request.
        request: RequestId,
        /// The response.
        response: ApiResponse,
    },
    /// Execute an action on a call.
    Call(CallEffect),
    /// Write a log line about a decision on a call.
    LogDecision(Decision),
    /// Write a log line.
    Log {
        /// Level.
        level: LogLevel,
        /// Part of the system, which determines the prefix.
        part: LogPart,
        /// A short sentence.
        text: String,
    },
    /// The graceful stop is complete: the process may exit.
    Exit,
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// Details for developers.
    Debug,
    /// Normal operation.
    Info,
    /// An operator may need to act.
    Warn,
    /// An operator must act.
    Error,
}

/// Part of the system that writes a log line. Its text is the prefix of the line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum LogPart {
    /// The replicated log.
    Consensus,
    /// Configuration versions.
    Config,
    /// Distribution of versions to proxies.
    Distribution,
    /// Hosts and targets.
    Membership,
    /// Calls.
    Calls,
    /// Resource API.
    Api,
    /// Files of the data folder.
    Disk,
    /// Connections between processes.
    Peers,
    /// Start and stop of the process.
    Daemon,
}
