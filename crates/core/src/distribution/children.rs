//! The children of this process, the version that each holds, and the updates sent to them.

use std::collections::BTreeMap;

use rand::Rng;

use super::message::{DistributionMessage, Holders, Report, Status};
use super::{Distribution, host_label};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};
use crate::membership::Membership;
use crate::time::Instant;

/// Maximum number of children of one process. Further ones receive a busy answer.
pub const MAX_CHILDREN: usize = 128;

/// Time without a report after which a child is removed, in milliseconds.
const CHILD_TIMEOUT_MS: u64 = 15_000;

/// Maximum number of concurrent large transfers.
pub const MAX_TRANSFERS: usize = 8;

/// Size above which a transfer counts as large, in bytes.
const LARGE_BYTES: usize = 16 * 1024;

/// Time after which an unacknowledged transfer counts as lost, in milliseconds.
const TRANSFER_TIMEOUT_MS: u64 = 2_000;

/// Maximum time for which a child's request is held until a newer contact with a control
/// replica, in milliseconds. Lower than the timeout after which a child searches for another parent.
const MAX_HOLD_MS: u64 = 250;

/// Range of the retry delay in a busy answer, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<u32> = 50..250;

/// A process that receives its updates from this one.
struct Child {
    /// The newest version that it is known to hold.
    version: Version,
    is_root: bool,
    /// The version of its last report, and the processes that held that version then.
    reported_version: Version,
    holders: Holders,
    last_report_at: Instant,
    /// The version sent to it and not acknowledged yet, and when that counts as lost.
    in_flight: Option<(Version, Instant)>,
}

/// A request of a status that waits.
#[derive(Clone, Copy)]
struct HeldRequest {
    number: u32,
    arrived_at: Instant,
}

/// All children, and the large transfers to children and other processes.
pub(super) struct Children {
    children: BTreeMap<NodeId, Child>,
    /// When each large transfer in progress counts as lost.
    transfers: BTreeMap<NodeId, Instant>,
    /// Children whose request waits for a newer contact with a control replica.
    held_requests: BTreeMap<NodeId, HeldRequest>,
    /// When to send updates to the children that lack the current version.
    pub send_updates_at: Instant,
}

impl Children {
    pub fn new() -> Self {
        Self {
            children: BTreeMap::new(),
            transfers: BTreeMap::new(),
            held_requests: BTreeMap::new(),
            send_updates_at: Instant::NEVER,
        }
    }

    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether a process is a child or can become one.
    fn has_place_for(&self, id: NodeId) -> bool {
        self.children.contains_key(&id) || self.children.len() < MAX_CHILDREN
    }

    /// Adds the holders of `version` or a later one in the subtrees of the children.
    pub fn add_holders_to(&self, holders: &mut Holders, version: Version) {
        let counted =
            self.children.values().filter(|c| !c.is_root && c.reported_version >= version);
        counted.for_each(|child| holders.add(&child.holders));
    }

    /// Whether every counted child reported `version` or a later one.
    pub fn have_all_reported(&self, version: Version) -> bool {
        self.children.values().all(|child| child.is_root || child.reported_version >= version)
    }

    /// Whether a request waits for a newer contact with a control replica.
    pub fn has_held_requests(&self) -> bool {
        !self.held_requests.is_empty()
    }

    /// When the next held request is due: at once if a newer contact was recorded, otherwise at
    /// the end of its maximum hold time. It is then answered with the contact recorded by then.
    pub fn next_answer_at(&self, last_control_contact_at: Option<Instant>) -> Instant {
        let due = self
            .held_requests
            .values()
            .map(|request| answer_due_at(request.arrived_at, last_control_contact_at));
        due.min().unwrap_or(Instant::NEVER)
    }

    /// Takes the held requests that are due.
    fn take_due_requests(
        &mut self,
        now: Instant,
        contact_at: Option<Instant>,
    ) -> Vec<(NodeId, HeldRequest)> {
        let is_due = |request: &HeldRequest| now >= answer_due_at(request.arrived_at, contact_at);
        let due = self.held_requests.iter().filter(|(_, request)| is_due(request));
        let due: Vec<_> = due.map(|(id, request)| (*id, *request)).collect();
        self.held_requests.retain(|_, request| !is_due(request));
        due
    }

    /// Removes a child. Returns whether it existed.
    pub fn remove(&mut self, id: NodeId) -> bool {
        self.transfers.remove(&id);
        self.held_requests.remove(&id);
        self.children.remove(&id).is_some()
    }

    /// Children whose last report is too old.
    pub fn expired(&self, now: Instant) -> Vec<NodeId> {
        let is_expired = |child: &Child| now.since_ms(child.last_report_at) >= CHILD_TIMEOUT_MS;
        let expired = self.children.iter().filter(|(_, child)| is_expired(child));
        expired.map(|(id, _)| *id).collect()
    }

    /// Reserves a slot for a large transfer. Returns false if none is free.
    fn reserve_transfer(&mut self, now: Instant, to: NodeId) -> bool {
        self.transfers.retain(|_, deadline| *deadline > now);
        if self.transfers.len() >= MAX_TRANSFERS && !self.transfers.contains_key(&to) {
            return false;
        }
        self.transfers.insert(to, now.plus_ms(TRANSFER_TIMEOUT_MS));
        true
    }

    /// Records that a process holds a version, which ends the transfer to it.
    pub fn record_held_version(&mut self, now: Instant, id: NodeId, version: Version) {
        if let Some(child) = self.children.get_mut(&id) {
            child.version = child.version.max(version);
            if child.in_flight.is_some_and(|(sent, _)| sent <= version) {
                child.in_flight = None;
            }
        }
        if self.transfers.remove(&id).is_some() && self.send_updates_at != Instant::NEVER {
            self.send_updates_at = now;
        }
    }
}

/// When a held request is due: at once if a newer contact with a control replica was recorded.
fn answer_due_at(arrived_at: Instant, last_control_contact_at: Option<Instant>) -> Instant {
    match last_control_contact_at {
        Some(contact_at) if contact_at >= arrived_at => arrived_at,
        _ => arrived_at.plus_ms(MAX_HOLD_MS),
    }
}

impl Distribution {
    /// Removes a child if it is one, for a reason that the log names.
    pub(super) fn remove_child(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        id: NodeId,
        reason: &str,
    ) {
        if !self.children.remove(id) {
            return;
        }
        let child = host_label(membership, id);
        let text = format!("No longer sends versions to {child}: {reason}.");
        cx.log(LogLevel::Info, LogPart::Distribution, text);
        self.schedule_report(cx.now);
    }

    /// Handles the report of a child.
    pub(super) fn handle_report(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        report: Report,
    ) {
        self.record_acknowledgement(cx, membership, from, report.version);
        if !self.children.has_place_for(from) {
            self.send_busy(cx, from);
            return;
        }
        if !self.children.children.contains_key(&from) {
            let text = format!("Sends versions to {}.", host_label(membership, from));
            cx.log(LogLevel::Info, LogPart::Distribution, text);
        }
        let in_flight = self.children.children.get(&from).and_then(|child| child.in_flight);
        let child = Child {
            version: report.version,
            is_root: report.is_root,
            reported_version: report.version,
            holders: report.holders,
            last_report_at: cx.now,
            in_flight,
        };
        self.children.children.insert(from, child);
        self.children.record_held_version(cx.now, from, report.version);
        // A root that asks a standby gets its answer at once and tries another parent.
        let must_hold = report.is_awaiting_control && !(self.is_standby && report.is_root);
        if let Some(number) = report.status_request {
            self.children.held_requests.remove(&from);
            if must_hold {
                let request = HeldRequest { number, arrived_at: cx.now };
                self.children.held_requests.insert(from, request);
                self.request_control_contact(cx, membership);
            } else {
                self.send_status(cx, from, Some(number), 0);
            }
        }
        self.record_newer_holder(cx, membership, from, report.version);
        self.send_updates(cx);
        self.holders_changed(cx, membership);
    }

    /// Handles the question of a process that searches for a parent.
    pub(super) fn handle_status_request(&mut self, cx: &mut Context<'_>, from: NodeId) {
        if self.children.has_place_for(from) {
            self.send_status(cx, from, None, 0);
        } else {
            self.send_busy(cx, from);
        }
    }

    /// Answers the held requests that are due.
    pub(super) fn answer_held_requests(&mut self, cx: &mut Context<'_>) {
        for (child, request) in
            self.children.take_due_requests(cx.now, self.last_control_contact_at)
        {
            let held_ms = cx.now.since_ms(request.arrived_at);
            self.send_status(cx, child, Some(request.number), held_ms);
        }
    }

    fn send_status(&self, cx: &mut Context<'_>, to: NodeId, request: Option<u32>, held_ms: u64) {
        let version = self.current.version();
        let newest_known = self.newest_known.max(version);
        let control_age_ms = self.control_age_ms(cx);
        let is_standby = self.is_standby;
        let lacks_source = self.lacks_source(cx.now, cx.me.control);
        let status = Status {
            request,
            version,
            newest_known,
            control_age_ms,
            held_ms,
            is_standby,
            lacks_source,
        };
        cx.send(to, DistributionMessage::Status(status));
    }

    /// Sends the current version to every child that lacks it.
    pub(super) fn send_updates(&mut self, cx: &mut Context<'_>) {
        let version = self.current.version();
        self.children.send_updates_at = Instant::NEVER;
        // Roots go first: a relay supplies a whole availability zone.
        let mut lacking: Vec<(bool, NodeId)> = self
            .children
            .children
            .iter()
            .filter(|(_, child)| child.version < version)
            .map(|(id, child)| (!child.is_root, *id))
            .collect();
        lacking.sort();
        for (_, id) in lacking {
            self.send_update_to(cx, id);
        }
    }

    fn send_update_to(&mut self, cx: &mut Context<'_>, id: NodeId) {
        let version = self.current.version();
        let Some(child) = self.children.children.get(&id) else { return };
        if let Some((sent, lost_at)) = child.in_flight
            && sent == version
            && lost_at > cx.now
        {
            self.children.send_updates_at = self.children.send_updates_at.min(lost_at);
            return;
        }
        let update = self.history.update(&self.current, Some(child.version));
        let lost_at = cx.now.plus_ms(TRANSFER_TIMEOUT_MS);
        self.children.send_updates_at = self.children.send_updates_at.min(lost_at);
        if update.body.len() > LARGE_BYTES && !self.children.reserve_transfer(cx.now, id) {
            return;
        }
        if let Some(child) = self.children.children.get_mut(&id) {
            child.in_flight = Some((version, lost_at));
        }
        cx.send(id, DistributionMessage::Update((*update).clone()));
    }

    /// Handles the request of a process for a version newer than the one it holds.
    pub(super) fn handle_fetch(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        held: Version,
        needs_snapshot: bool,
    ) {
        if self.current.version() <= held {
            self.send_holds(cx, from);
            return;
        }
        let update = self.history.update(&self.current, (!needs_snapshot).then_some(held));
        if update.body.len() > LARGE_BYTES && !self.children.reserve_transfer(cx.now, from) {
            self.send_busy(cx, from);
            return;
        }
        cx.send(from, DistributionMessage::Update((*update).clone()));
    }

    fn send_busy(&mut self, cx: &mut Context<'_>, to: NodeId) {
        let retry_after_ms = cx.rng.random_range(RETRY_AFTER_MS);
        cx.send(to, DistributionMessage::Busy { retry_after_ms });
    }
}
