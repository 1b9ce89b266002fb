//! Status report: the state of the mesh as recorded by one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{ApiError, ApiParts, ErrorCode};
use crate::consensus::{ControlRole, ControlStatus, Participation};
use crate::context::Context;
use crate::ids::{Name, NodeId, Version};
use crate::membership::{Member, MemberStatus, Membership, TargetState};

/// State of the mesh as recorded by one process.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Host of the reporting process.
    pub host: Name,
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// Configuration version that it holds.
    pub version: Version,
    /// Hash of that version's content.
    pub hash: String,
    /// Whether it is ready for calls.
    pub ready: bool,
    /// Unix time since which no message has shown that a control replica is
    /// reachable, in milliseconds. Absent while one is reachable. The process keeps
    /// using the version that it holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cut_off_since_unix_ms: Option<u64>,
    /// State of its control replica, if it runs one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ReplicaReport>,
    /// Reachable control replicas, ordered by host.
    pub control_replicas: Vec<ReplicaStatus>,
    /// Number of processes in each availability zone.
    pub members: Vec<ZoneMembers>,
    /// Number of targets of each service.
    pub targets: Vec<TargetCounts>,
}

/// State of a control replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Its role in the consensus group.
    pub role: ControlRole,
    /// Its current term.
    pub term: u64,
    /// Newest version that it has recorded as committed.
    pub committed: Version,
    /// Host of the leader that it follows; the node id if the host is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Hosts of the voters; the node id of a voter whose host is unknown.
    pub voters: Vec<String>,
    /// Whether it had contact with a quorum within the election timeout.
    pub current: bool,
    /// How long it has not been current, in milliseconds. Absent while it is current.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_current_for_ms: Option<u64>,
}

/// A reachable control replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Host.
    pub host: Name,
    /// Address of its resource API.
    pub api: SocketAddr,
}

/// Number of processes of one availability zone, by status.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneMembers {
    /// Availability zone.
    pub availability_zone: Name,
    /// Processes with a heartbeat within the heartbeat timeout.
    pub alive: u32,
    /// Processes whose heartbeat timed out and that are not declared dead yet.
    pub suspect: u32,
    /// Processes that stop gracefully.
    pub leaving: u32,
    /// Processes that are declared dead or have stopped.
    pub dead: u32,
    /// Hosts that are suspect or dead, at most `MAX_NAMED_HOSTS`.
    pub unreachable: Vec<Name>,
    /// Whether the complete availability zone is unreachable from this process.
    pub cut_off: bool,
}

/// Number of targets of one service, by state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Service.
    pub service: Name,
    /// Targets that accept new calls.
    pub ready: u32,
    /// Targets that finish their calls and accept no new ones.
    pub draining: u32,
    /// Targets that left or whose lease expired, and that are not forgotten yet.
    pub gone: u32,
    /// Concurrent calls that the ready targets can run.
    pub slots: u32,
}

/// Maximum number of unreachable hosts listed for one availability zone.
pub const MAX_NAMED_HOSTS: usize = 32;

/// Builds the status report.
pub(super) fn report(cx: &Context<'_>, parts: &ApiParts<'_>) -> StatusReport {
    let configuration = parts.distribution.current();
    let control = parts
        .control
        .as_ref()
        .map(|control| replica_report(parts.membership, control.status(cx.me.id, cx.now)));
    let cut_off_since = parts.distribution.cut_off_since(cx.now, cx.me.control);
    StatusReport {
        host: cx.me.host.clone(),
        region: cx.me.locality.region.clone(),
        availability_zone: cx.me.locality.availability_zone.clone(),
        version: configuration.version(),
        hash: configuration.hash().to_string(),
        ready: parts.distribution.is_ready(),
        cut_off_since_unix_ms: cut_off_since.map(|since| cx.me.unix_ms(since)),
        control,
        control_replicas: control_replicas(parts.membership),
        members: members_by_zone(parts.membership),
        targets: targets_by_service(parts.membership),
    }
}

/// Builds the error for a request that only control replicas serve.
///
/// `request_kind` names the kind of request in the plural, for example `watches`. A standby
/// names only the leader, since the other control replicas may be standbys too.
pub(super) fn misdirected_error(
    cx: &Context<'_>,
    parts: &ApiParts<'_>,
    request_kind: &str,
) -> ApiError {
    let mut replicas = control_replicas(parts.membership);
    if let Some(Participation::Standby { leader: Some(leader) }) = parts.participation(cx)
        && let Some(leader) = parts.membership.member(leader)
    {
        replicas.retain(|replica| replica.host == leader.host);
    }
    let addresses: Vec<String> = replicas.iter().map(|replica| replica.api.to_string()).collect();
    let message = if addresses.is_empty() {
        format!(
            "{request_kind} are served by control replicas, and none is reachable from this process"
        )
    } else {
        format!(
            "{request_kind} are served by control replicas; send the request to one of {}",
            addresses.join(", ")
        )
    };
    ApiError::new(ErrorCode::Misdirected, message)
        .with_addresses(replicas.into_iter().map(|replica| replica.api).collect())
}

fn replica_report(membership: &Membership, status: ControlStatus) -> ReplicaReport {
    let voters = status.voters.voters().iter();
    ReplicaReport {
        role: status.role,
        term: status.term,
        committed: status.version,
        leader: status.leader.map(|leader| host_or_id(membership, leader)),
        voters: voters.map(|voter| host_or_id(membership, voter.node)).collect(),
        current: status.is_current,
        not_current_for_ms: status.not_current_for_ms,
    }
}

fn host_or_id(membership: &Membership, id: NodeId) -> String {
    membership.member(id).map_or_else(|| id.to_string(), |member| member.host.to_string())
}

fn control_replicas(membership: &Membership) -> Vec<ReplicaStatus> {
    let mut replicas: Vec<ReplicaStatus> = membership
        .control_replicas()
        .map(|member| ReplicaStatus { host: member.host.clone(), api: member.addresses.api })
        .collect();
    replicas.sort_by(|a, b| a.host.cmp(&b.host));
    replicas
}

fn members_by_zone(membership: &Membership) -> Vec<ZoneMembers> {
    let mut zones: BTreeMap<&Name, ZoneMembers> = BTreeMap::new();
    for member in membership.members() {
        let name = &member.locality.availability_zone;
        let zone = zones.entry(name).or_insert_with(|| ZoneMembers::new(name.clone()));
        zone.count(member);
    }
    let mut zones: Vec<ZoneMembers> = zones.into_values().collect();
    for zone in &mut zones {
        zone.cut_off = membership.is_cut_off(&zone.availability_zone);
    }
    zones
}

fn targets_by_service(membership: &Membership) -> Vec<TargetCounts> {
    let mut services: BTreeMap<&Name, TargetCounts> = BTreeMap::new();
    for record in membership.targets() {
        let name = &record.target.service;
        let counts = services.entry(name).or_insert_with(|| TargetCounts::new(name.clone()));
        counts.count(record.state, record.slots);
    }
    services.into_values().collect()
}

impl ZoneMembers {
    fn new(availability_zone: Name) -> Self {
        Self {
            availability_zone,
            alive: 0,
            suspect: 0,
            leaving: 0,
            dead: 0,
            unreachable: Vec::new(),
            cut_off: false,
        }
    }

    fn count(&mut self, member: &Member) {
        match member.status {
            MemberStatus::Alive => self.alive += 1,
            MemberStatus::Suspect => self.suspect += 1,
            MemberStatus::Leaving => self.leaving += 1,
            MemberStatus::Dead => self.dead += 1,
            MemberStatus::Left => return,
        }
        if !member.status.is_reachable() && self.unreachable.len() < MAX_NAMED_HOSTS {
            self.unreachable.push(member.host.clone());
        }
    }
}

impl TargetCounts {
    fn new(service: Name) -> Self {
        Self { service, ready: 0, draining: 0, gone: 0, slots: 0 }
    }

    fn count(&mut self, state: TargetState, slots: u32) {
        match state {
            TargetState::Ready => {
                self.ready += 1;
                self.slots += slots;
            }
            TargetState::Draining => self.draining += 1,
            TargetState::Gone => self.gone += 1,
        }
    }
}
