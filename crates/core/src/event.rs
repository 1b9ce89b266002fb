//! Everything that happens to a process, and everything it does.

use std::net::SocketAddr;

use crate::api::{ApiRequest, ApiResponse};
use crate::consensus::{DiskCommand, DiskEvent};
use crate::ids::{NodeId, RequestId};
use crate::message::PeerMessage;
use crate::routing::{CallEffect, CallEvent, Decision};

/// One thing that happened to the process.
#[derive(Clone, Debug)]
pub enum Event {
    /// A deadline that [`crate::State::next_deadline`] gave has passed.
    Tick,
    /// A connection to another process is ready for messages.
    PeerConnected {
        /// The other process.
        peer: NodeId,
    },
    /// The last connection to another process closed, or none could be made.
    PeerDisconnected {
        /// The other process.
        peer: NodeId,
    },
    /// A message from another process.
    PeerMessage {
        /// The sender, as the handshake proved it.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// The disk finished a command, or failed.
    Disk(DiskEvent),
    /// A request at the resource API.
    ApiRequest {
        /// Key for the answers.
        request: RequestId,
        /// The request.
        body: ApiRequest,
    },
    /// The client of a request hung up.
    ApiClosed {
        /// Key of the request.
        request: RequestId,
    },
    /// Something happened to a call.
    Call(CallEvent),
    /// The settings name these processes to join through from now on.
    SeedsChanged(Vec<SocketAddr>),
    /// The process was asked to stop gracefully.
    Stop,
}

/// One thing that the edges must do. Effects of one event are carried out in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message. May be lost; a lost one is reported by [`Event::PeerDisconnected`].
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Remember where a process listens for messages, for later sends.
    LearnAddress {
        /// The process.
        peer: NodeId,
        /// Its address for messages between processes.
        address: SocketAddr,
    },
    /// Forget a process that is gone and close connections to it.
    ForgetPeer {
        /// The process.
        peer: NodeId,
    },
    /// Open a connection to an address whose process is not known yet.
    Dial {
        /// Address for messages between processes.
        address: SocketAddr,
    },
    /// Run a command on the disk.
    Disk(DiskCommand),
    /// Answer a request at the resource API. A watch gets many answers.
    Answer {
        /// Key of the request.
        request: RequestId,
        /// The answer.
        response: ApiResponse,
    },
    /// Do something with a call.
    Call(CallEffect),
    /// Write a log line about a call.
    Decided(Decision),
    /// Write a log line.
    Log {
        /// Level.
        level: LogLevel,
        /// Part of the system; decides the prefix.
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
    /// Detail for developers.
    Debug,
    /// Normal operation.
    Info,
    /// Something an operator may need to look at.
    Warn,
    /// Something an operator must look at.
    Error,
}

/// Part of the system that writes a log line. Its text is the fixed prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum LogPart {
    /// Replicated log.
    Consensus,
    /// Configuration versions.
    Config,
    /// Versions to proxies.
    Distribution,
    /// Hosts and targets.
    Membership,
    /// Calls.
    Calls,
    /// Resource API.
    Api,
    /// Files.
    Disk,
    /// Connections between processes.
    Peers,
    /// Start and stop.
    Daemon,
}
