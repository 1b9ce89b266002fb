//! Requests to the resource API, their responses, and the events of a watch.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ApiError, StatusReport};
use crate::config::{ChangeRequest, Replacement, StoredResource};
use crate::distribution::Progress;
use crate::ids::{Name, TargetId, Version};
use crate::membership::TargetAnnouncement;
use crate::resource::{ResourceKey, ResourceKind};
use crate::slo::BurnReport;

/// A parsed request.
#[derive(Clone, Debug)]
pub enum ApiRequest {
    /// Applies a change set.
    Change(ChangeRequest),
    /// Replaces the complete configuration.
    Replace(Replacement),
    /// Replaces the voter on one host by the control replica on another host.
    ReplaceVoter {
        /// Host of the voter to remove.
        old: Name,
        /// Host of the new voter. Its replica must have caught up.
        new: Name,
    },
    /// Reads one resource.
    Get(ResourceKey, Freshness),
    /// Reads all resources of a kind.
    List(ResourceKind, Freshness),
    /// Reads all resources.
    ListAll(Freshness),
    /// Streams the events after a version until the client disconnects.
    Watch {
        /// The last version that the client has seen; the newest one if absent.
        from: Option<Version>,
    },
    /// Reads the status of the mesh as recorded by this process.
    Status,
    /// Reads the burn report.
    Burn,
    /// Announces a target of this host.
    Announce(TargetAnnouncement),
    /// Removes a target of this host.
    Leave(TargetId),
    /// Removes the target of this host with this id, regardless of its service.
    LeaveId(Name),
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// Linearizable read, confirmed by a quorum.
    Linearizable,
    /// Stale read of the version that this process holds, which may be older.
    Stale,
}

/// A response.
#[derive(Clone, Debug)]
pub enum ApiResponse {
    /// A change set was accepted.
    Accepted {
        /// The version that contains it.
        version: Version,
    },
    /// One resource.
    Resource(StoredResource),
    /// Resources of one kind or of every kind.
    List {
        /// Version of the configuration.
        version: Version,
        /// The resources, ordered by kind and name.
        resources: Vec<StoredResource>,
    },
    /// The next event of a watch.
    Watch(WatchEvent),
    /// The status report.
    Status(Arc<StatusReport>),
    /// The burn report.
    Burn(BurnReport),
    /// Success without a body.
    Done,
    /// An error. Ends a watch.
    Error(ApiError),
}

/// An event of a watch, sent as one line of JSON.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum WatchEvent {
    /// State at the start of the watch. Always the first event.
    Started {
        /// Newest accepted version.
        version: Version,
        /// Newest version that this replica has seen in force on every proxy since
        /// it started.
        in_force: Version,
    },
    /// A version was accepted.
    Accepted {
        /// The version.
        version: Version,
        /// The resources that it changed or deleted.
        changed: Vec<ResourceKey>,
    },
    /// More proxies hold the newest version.
    Progress(Progress),
    /// A version is in force on every proxy, which includes every earlier version.
    InForce {
        /// The version.
        version: Version,
        /// Number of proxies that hold it.
        proxies: u32,
    },
}
