//! Requests at the resource API and their answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ApiError, StatusReport};
use crate::config::{ChangeRequest, Replacement, StoredResource};
use crate::distribution::Progress;
use crate::ids::{Name, TargetId, Version};
use crate::membership::TargetAnnouncement;
use crate::resource::{ResourceKey, ResourceKind};
use crate::slo::BurnReport;

/// A request, checked for its form.
#[derive(Clone, Debug)]
pub enum ApiRequest {
    /// Accept a change set.
    Change(ChangeRequest),
    /// Replace the whole configuration.
    Replace(Replacement),
    /// Let the control replica on one host vote in the place of another.
    ReplaceVoter {
        /// Host that votes no more.
        old: Name,
        /// Host that votes instead. Its replica must have caught up.
        new: Name,
    },
    /// One resource.
    Get(ResourceKey, Freshness),
    /// Every resource of a kind.
    List(ResourceKind, Freshness),
    /// Every resource.
    Whole(Freshness),
    /// Events after a version, until the client hangs up.
    Watch {
        /// The last version that the client has seen; the present one when absent.
        from: Option<Version>,
    },
    /// Status of the mesh as this process knows it.
    Status,
    /// The burn report.
    Burn,
    /// A target announces itself.
    Announce(TargetAnnouncement),
    /// A target leaves.
    Leave(TargetId),
    /// The target of this host with this id leaves, whatever its service.
    LeaveId(Name),
}

/// How fresh the answer to a read must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// As it is now, confirmed by a quorum.
    Current,
    /// As this process holds it, which may be older.
    Held,
}

/// An answer.
#[derive(Clone, Debug)]
pub enum ApiResponse {
    /// A change set is accepted.
    Accepted {
        /// The version that holds it.
        version: Version,
    },
    /// One resource.
    Resource(StoredResource),
    /// Resources of a kind.
    List {
        /// Version of the configuration.
        version: Version,
        /// The resources, by name.
        resources: Vec<StoredResource>,
    },
    /// The next event of a watch.
    Watch(WatchEvent),
    /// Status.
    Status(Arc<StatusReport>),
    /// The burn report.
    Burn(BurnReport),
    /// Done, with nothing to say.
    Done,
    /// An error. Ends a watch.
    Error(ApiError),
}

/// An event of a watch: one line of JSON.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum WatchEvent {
    /// Where the watch begins. Always the first event.
    Started {
        /// Newest version that is accepted.
        version: Version,
        /// Newest version that was in force on every proxy since this replica started.
        in_force: Version,
    },
    /// A version was accepted.
    Accepted {
        /// The version.
        version: Version,
        /// The resources that it changed.
        changed: Vec<ResourceKey>,
    },
    /// The newest version came further.
    Progress(Progress),
    /// A version is in force on every proxy, and with it every earlier one.
    InForce {
        /// The version.
        version: Version,
        /// Proxies that hold it.
        proxies: u32,
    },
}
