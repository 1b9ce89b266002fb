//! Operators' requests: validation, answers and watches.

mod error;
mod request;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use error::{ApiError, ErrorCode};
pub use request::{ApiRequest, ApiResponse, Freshness, StatusReport, WatchEvent};

use crate::config::{ChangeRequest, Configuration};
use crate::consensus::{ChangeOutcome, ControlReplica, Origin};
use crate::context::Context;
use crate::distribution::{Distribution, Progress};
use crate::ids::{NodeId, RequestId};
use crate::membership::Membership;
use crate::slo::Slo;
use crate::time::Instant;

/// Requests passed on to the leader, and their answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ApiMessage {
    /// Please propose this change.
    Propose {
        /// Who asked.
        origin: Origin,
        /// The change.
        change: ChangeRequest,
    },
    /// What became of a proposed change.
    Outcome {
        /// The request's key at the receiver.
        request: RequestId,
        /// The outcome.
        outcome: ChangeOutcome,
    },
}

/// The other parts of the state, as the API needs them.
pub struct ApiParts<'a> {
    /// The control replica, where this process is one.
    pub control: Option<&'a mut ControlReplica>,
    /// Versions and their progress.
    pub distribution: &'a Distribution,
    /// Hosts and targets.
    pub membership: &'a mut Membership,
    /// Burn.
    pub slo: &'a Slo,
}

/// Requests that wait for an answer, and watches.
#[derive(Default)]
pub struct Api {}

impl Api {
    /// Makes a state with no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request arrived.
    pub fn request(
        &mut self,
        cx: &mut Context<'_>,
        _parts: ApiParts<'_>,
        request: RequestId,
        _body: ApiRequest,
    ) {
        let error = ApiError::new(ErrorCode::Unavailable, "the resource API is not ready");
        cx.emit(crate::Effect::Answer { request, response: ApiResponse::Error(error) });
    }

    /// The client of a request hung up.
    pub fn closed(&mut self, _cx: &mut Context<'_>, _request: RequestId) {}

    /// A message from another process.
    pub fn step(
        &mut self,
        _cx: &mut Context<'_>,
        _parts: ApiParts<'_>,
        _from: NodeId,
        _message: ApiMessage,
    ) {
    }

    /// A change proposed at this replica has its outcome.
    pub fn outcome(&mut self, _cx: &mut Context<'_>, _origin: Origin, _outcome: ChangeOutcome) {}

    /// A read asked for at this replica may be answered, or not.
    pub fn read_ready(
        &mut self,
        _cx: &mut Context<'_>,
        _origin: Origin,
        _read: Result<Arc<Configuration>, ApiError>,
    ) {
    }

    /// A version is committed at this control replica.
    pub fn committed(&mut self, _cx: &mut Context<'_>, _configuration: &Arc<Configuration>) {}

    /// The newest version came further.
    pub fn progress(&mut self, _cx: &mut Context<'_>, _progress: Progress) {}

    /// The last connection to another process closed.
    pub fn peer_disconnected(&mut self, _cx: &mut Context<'_>, _peer: NodeId) {}

    /// When [`Api::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        Instant::NEVER
    }

    /// Does what is due.
    pub fn tick(&mut self, _cx: &mut Context<'_>, _parts: ApiParts<'_>) {}
}
