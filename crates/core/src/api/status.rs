//! Status of the mesh as one process knows it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{ApiError, ApiParts, ErrorCode};
use crate::consensus::{ControlRole, ControlStatus};
use crate::context::Context;
use crate::ids::{Name, NodeId, Version};
use crate::membership::{Member, MemberStatus, Membership, TargetState};

/// Status of the mesh as one process knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Host that answers.
    pub host: Name,
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// Version that it holds.
    pub version: Version,
    /// Hash of that version's content.
    pub hash: String,
    /// Whether it may be given calls.
    pub ready: bool,
    /// Unix time since which it has heard of no control replica, in milliseconds.
    /// Absent while it hears of one. It goes on with the version that it holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cut_off_since_unix_ms: Option<u64>,
    /// Present where it is a control replica.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ReplicaReport>,
    /// Control replicas that it can reach, by host.
    pub control_replicas: Vec<ReplicaStatus>,
    /// Processes by availability zone.
    pub members: Vec<ZoneMembers>,
    /// Targets by service.
    pub targets: Vec<TargetCounts>,
}

/// Status of a control replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// What it is.
    pub role: ControlRole,
    /// Its newest term.
    pub term: u64,
    /// Newest version that it knows as committed.
    pub committed: Version,
    /// Host of the leader that it follows; its key where the host is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Hosts of the voters; a key where the host is not known.
    pub voters: Vec<String>,
    /// Whether it was in touch with a quorum within the election timeout.
    pub current: bool,
    /// How long it has not been, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_current_for_ms: Option<u64>,
}

/// A control replica that can be reached.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Host.
    pub host: Name,
    /// Address of its resource API.
    pub api: SocketAddr,
}

/// Processes of one availability zone, by status.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneMembers {
    /// Availability zone.
    pub availability_zone: Name,
    /// Heard from within the heartbeat timeout.
    pub alive: u32,
    /// Not heard from; not yet given up.
    pub suspect: u32,
    /// Stopping gracefully.
    pub leaving: u32,
    /// Given up, or stopped.
    pub dead: u32,
    /// Hosts that are suspect or given up, at most `MAX_NAMED_HOSTS`.
    pub unreachable: Vec<Name>,
    /// Whether the availability zone as a whole cannot be reached from here.
    pub cut_off: bool,
}

/// Targets of one service, by state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Service.
    pub service: Name,
    /// Take new work.
    pub ready: u32,
    /// Finish their work and take none.
    pub draining: u32,
    /// Left or lapsed, and not yet forgotten.
    pub gone: u32,
    /// Calls that the ready ones run at once.
    pub slots: u32,
}

/// Most unreachable hosts that are named for one availability zone.
pub const MAX_NAMED_HOSTS: usize = 32;

/// Reports the status.
pub(super) fn report(cx: &Context<'_>, parts: &ApiParts<'_>) -> StatusReport {
    let held = parts.distribution.current();
    let control = parts
        .control
        .as_ref()
        .map(|control| replica_report(parts.membership, control.status(cx.me.id, cx.now)));
    let cut_off_since = parts.distribution.cut_off_since(cx.now, cx.me.control);
    StatusReport {
        host: cx.me.host.clone(),
        region: cx.me.locality.region.clone(),
        availability_zone: cx.me.locality.availability_zone.clone(),
        version: held.version(),
        hash: held.hash().to_string(),
        ready: parts.distribution.is_ready(),
        cut_off_since_unix_ms: cut_off_since.map(|since| cx.me.unix_ms(since)),
        control,
        control_replicas: replicas(parts.membership),
        members: members(parts.membership),
        targets: targets(parts.membership),
    }
}

/// The error for a request that only control replicas serve.
pub(super) fn misdirected(parts: &ApiParts<'_>, what: &str) -> ApiError {
    let replicas = replicas(parts.membership);
    let listed: Vec<String> = replicas.iter().map(|replica| replica.api.to_string()).collect();
    let message = if listed.is_empty() {
        format!("{what} are served by control replicas, and none can be reached from here")
    } else {
        format!("{what} are served by control replicas; ask one of {}", listed.join(", "))
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
        leader: status.leader.map(|leader| host_of(membership, leader)),
        voters: voters.map(|voter| host_of(membership, voter.node)).collect(),
        current: status.is_current,
        not_current_for_ms: status.not_current_for_ms,
    }
}

fn host_of(membership: &Membership, id: NodeId) -> String {
    membership.member(id).map_or_else(|| id.to_string(), |member| member.host.to_string())
}

fn replicas(membership: &Membership) -> Vec<ReplicaStatus> {
    let mut replicas: Vec<ReplicaStatus> = membership
        .control_replicas()
        .map(|member| ReplicaStatus { host: member.host.clone(), api: member.addresses.api })
        .collect();
    replicas.sort_by(|a, b| a.host.cmp(&b.host));
    replicas
}

fn members(membership: &Membership) -> Vec<ZoneMembers> {
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

fn targets(membership: &Membership) -> Vec<TargetCounts> {
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
