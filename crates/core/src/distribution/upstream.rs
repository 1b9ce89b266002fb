//! Chooses the parent of this process, from which it receives updates and to which it reports.
//!
//! The members of an availability zone form a distribution tree with the relay as its root.
//! Members whose link is not slow are placed near the root and forward versions to more of the
//! others. The relay receives updates from the nearest control replica or from the hub of its
//! region, so that only one copy of a version crosses to a region without a control replica.

use rand::Rng;

use super::message::{DistributionMessage, Holders, Report};
use super::ready::CONFIRM_AFTER_START_MS;
use super::{Distribution, host_label};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};
use crate::membership::Membership;
use crate::membership::hash::rank;
use crate::time::Instant;

/// Interval between two reports that request a status, in milliseconds.
pub const REFRESH_EVERY_MS: u64 = 5_000;

/// The same for a relay, in milliseconds. Shorter, since a whole availability zone waits if the
/// relay's parent is cut off without closing the connection.
const RELAY_REFRESH_EVERY_MS: u64 = 1_500;

/// Delay before the next request if the answer did not bring the contact with a control replica
/// that a started process waits for, in milliseconds.
const REQUEST_AGAIN_AFTER_MS: u64 = 100;

/// Time after which a parent that did not answer is replaced, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Upper bound of the first backoff after every candidate failed, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 100;

/// Upper bound of every such backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Time after which a process with a substitute parent retries the preferred one, in milliseconds.
const RETRY_PREFERRED_AFTER_MS: u64 = 10_000;

/// Maximum number of members of the own availability zone that are tried as substitute parents.
const MAX_CANDIDATES: usize = 8;

/// The parent of this process and the candidates that can replace it.
pub(super) struct Upstream {
    pub parent: Option<NodeId>,
    /// Whether this process is the relay of its availability zone.
    pub is_relay: bool,
    /// The possible parents, the preferred one first.
    candidates: Vec<NodeId>,
    /// The membership generation from which `candidates` was computed.
    generation: Option<u64>,
    /// Number of failed candidates in a row. Selects the next candidate.
    attempt: usize,
    /// When the open status request was sent.
    requested_at: Option<Instant>,
    next_request_at: Instant,
    retry_preferred_at: Instant,
    /// The version and holders last reported to the parent.
    last_reported: Option<(Version, Holders)>,
}

impl Upstream {
    pub fn new() -> Self {
        Self {
            parent: None,
            is_relay: false,
            candidates: Vec::new(),
            generation: None,
            attempt: 0,
            requested_at: None,
            next_request_at: Instant::NEVER,
            retry_preferred_at: Instant::NEVER,
            last_reported: None,
        }
    }

    pub fn next_deadline(&self) -> Instant {
        let timeout_at = self
            .requested_at
            .map_or(Instant::NEVER, |requested_at| requested_at.plus_ms(ANSWER_TIMEOUT_MS));
        self.next_request_at.min(timeout_at)
    }

    /// Records an answer of the parent. Returns when the status was requested.
    pub fn take_requested_at(&mut self) -> Option<Instant> {
        self.requested_at.take()
    }

    /// Requests the next status earlier than usual, since a contact with a control replica is
    /// awaited. A request from the first moments after the start would confirm nothing.
    ///
    /// `was_held` is true if the parent held the last request.
    pub fn request_status_soon(&mut self, now: Instant, was_held: bool) {
        if self.parent.is_some() {
            let first_useful_at = Instant::from_ms(CONFIRM_AFTER_START_MS);
            let wait_ms = if was_held { 0 } else { REQUEST_AGAIN_AFTER_MS };
            let request_at = now.plus_ms(wait_ms).max(first_useful_at);
            self.next_request_at = self.next_request_at.min(request_at);
        }
    }
}

impl Distribution {
    /// Records whether the control replica of this process is a standby, which receives
    /// versions like a proxy.
    pub fn set_standby(&mut self, cx: &mut Context<'_>, membership: &Membership, is_standby: bool) {
        if self.is_standby != is_standby {
            self.is_standby = is_standby;
            self.upstream.generation = None;
            self.update_candidates(cx, membership);
        }
    }

    /// Updates the candidates after a change of the membership.
    pub(super) fn update_candidates(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let generation = membership.generation();
        // A process that has recorded only its seeds would select itself as the relay.
        if self.upstream.generation == Some(generation) || membership.synced_at().is_none() {
            return;
        }
        self.upstream.generation = Some(generation);
        self.update_relay_role(cx, membership);
        let receives_log = cx.me.control && !self.is_standby;
        let candidates = candidates(cx, membership, receives_log);
        let has_preferred_changed = candidates.first() != self.upstream.candidates.first();
        self.upstream.candidates = candidates;
        let is_still_candidate =
            self.upstream.parent.is_some_and(|parent| self.upstream.candidates.contains(&parent));
        if has_preferred_changed || !is_still_candidate {
            self.upstream.attempt = 0;
            self.switch_parent(cx, membership);
        }
    }

    /// Records, and logs, whether this process is the relay of its availability zone.
    fn update_relay_role(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let is_relay = membership.relay(&cx.me.locality.availability_zone) == Some(cx.me.id);
        if self.upstream.is_relay != is_relay {
            let role = if is_relay { "Is the relay" } else { "Is no longer the relay" };
            let text = format!("{role} of its availability zone.");
            cx.log(LogLevel::Info, LogPart::Distribution, text);
        }
        self.upstream.is_relay = is_relay;
    }

    /// Switches to the candidate of the current attempt.
    fn switch_parent(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let count = self.upstream.candidates.len();
        let chosen = (count > 0).then(|| self.upstream.candidates[self.upstream.attempt % count]);
        if let Some(old) = self.upstream.parent.filter(|old| Some(*old) != chosen) {
            cx.send(old, DistributionMessage::Unsubscribe);
        }
        if chosen != self.upstream.parent {
            let text = chosen.map_or_else(
                || "Has no parent.".to_owned(),
                |parent| format!("Its parent is {}.", host_label(membership, parent)),
            );
            cx.log(LogLevel::Info, LogPart::Distribution, text);
        }
        self.upstream.parent = chosen;
        self.upstream.requested_at = None;
        self.upstream.last_reported = None;
        self.upstream.next_request_at = Instant::NEVER;
        self.request_status(cx, membership);
    }

    /// Reports to the parent and requests a status.
    fn request_status(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let Some(parent) = self.upstream.parent else {
            self.upstream.next_request_at = Instant::NEVER;
            return;
        };
        self.upstream.requested_at = Some(cx.now);
        let every_ms =
            if self.upstream.is_relay { RELAY_REFRESH_EVERY_MS } else { REFRESH_EVERY_MS };
        let jitter_ms = cx.rng.random_range(0..every_ms / 5);
        self.upstream.next_request_at = cx.now.plus_ms(every_ms - jitter_ms);
        self.send_report(cx, membership, parent, true);
    }

    /// Requests a newer contact with a control replica from the parent, unless a request is open.
    pub(super) fn request_control_contact(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
    ) {
        if self.upstream.requested_at.is_none() {
            self.request_status(cx, membership);
        }
    }

    /// Reports to the parent if the version or the holders changed.
    pub(super) fn report_to_parent(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let Some(parent) = self.upstream.parent else { return };
        let current_report = (self.current.version(), self.holders_to_report(cx, membership));
        if self.upstream.last_reported != Some(current_report) {
            self.send_report(cx, membership, parent, false);
        }
    }

    fn send_report(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        parent: NodeId,
        is_status_requested: bool,
    ) {
        let holders = self.holders_to_report(cx, membership);
        let version = self.current.version();
        self.upstream.last_reported = Some((version, holders));
        let is_relay = self.upstream.is_relay;
        let has_confirming_age = cx.now >= Instant::from_ms(CONFIRM_AFTER_START_MS);
        let is_awaiting_control = (has_confirming_age && !self.readiness.is_confirmed())
            || self.children.has_held_requests();
        let report =
            Report { version, is_relay, is_status_requested, is_awaiting_control, holders };
        cx.send(parent, DistributionMessage::Report(report));
    }

    fn holders_to_report(&mut self, cx: &Context<'_>, membership: &Membership) -> Holders {
        if self.upstream.is_relay { Holders::default() } else { self.holders(cx, membership) }
    }

    /// Requests a status if it is due, and replaces a parent that did not answer.
    pub(super) fn tick_upstream(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let requested_at = self.upstream.requested_at;
        if requested_at
            .is_some_and(|requested_at| cx.now >= requested_at.plus_ms(ANSWER_TIMEOUT_MS))
        {
            if let Some(parent) = self.upstream.parent {
                let text =
                    format!("Its parent {} does not answer.", host_label(membership, parent));
                cx.log(LogLevel::Info, LogPart::Distribution, text);
            }
            self.try_next_parent(cx, membership);
        } else if cx.now >= self.upstream.next_request_at {
            if self.upstream.attempt > 0 && cx.now >= self.upstream.retry_preferred_at {
                self.upstream.attempt = 0;
                self.switch_parent(cx, membership);
            } else {
                self.request_status(cx, membership);
            }
        }
    }

    /// Handles a closed or failed connection to the parent.
    pub(super) fn parent_disconnected(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        // The first loss may be that of an old connection. A second one without an answer in
        // between is a failed dial.
        if self.upstream.requested_at.is_some() {
            self.try_next_parent(cx, membership);
        } else {
            self.request_status(cx, membership);
        }
    }

    /// Whether a parent that is a standby must be replaced: at a relay, since the standby may be its
    /// own child. The hub has a parent of its own.
    pub(super) fn needs_other_parent(
        &self,
        cx: &Context<'_>,
        membership: &Membership,
        parent: NodeId,
    ) -> bool {
        self.upstream.is_relay && membership.hub(&cx.me.locality.region) != Some(parent)
    }

    pub(super) fn try_next_parent(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.upstream.attempt += 1;
        self.upstream.retry_preferred_at = cx.now.plus_ms(RETRY_PREFERRED_AFTER_MS);
        let count = self.upstream.candidates.len().max(1);
        if !self.upstream.attempt.is_multiple_of(count) {
            self.switch_parent(cx, membership);
            return;
        }
        // Every candidate failed: backs off before the next round.
        let rounds = (self.upstream.attempt / count).min(10) as u32;
        let bound_ms = (FIRST_BACKOFF_MS << rounds).min(MAX_BACKOFF_MS);
        self.upstream.requested_at = None;
        self.upstream.parent = self.upstream.candidates.first().copied();
        self.upstream.next_request_at = cx.now.plus_ms(cx.rng.random_range(0..=bound_ms));
    }
}

/// The processes from which this one can receive updates, the preferred one first.
fn candidates(cx: &Context<'_>, membership: &Membership, receives_log: bool) -> Vec<NodeId> {
    let own = &cx.me.locality.availability_zone;
    let Some(zone) = membership.topology().zone(own) else { return Vec::new() };
    let order = &zone.order;
    match order.iter().position(|id| *id == cx.me.id) {
        // A relay that receives versions from the replicated log needs no parent.
        Some(0) if receives_log => Vec::new(),
        Some(0) => relay_candidates(cx, membership),
        position => {
            let parent =
                position.and_then(|position| zone.parent_position(position)).map(|at| order[at]);
            // Only earlier members qualify, so that no two are each other's parents.
            let earlier = &order[..position.unwrap_or(order.len())];
            let others = earlier.iter().copied().filter(|id| Some(*id) != parent);
            parent.into_iter().chain(others.take(MAX_CANDIDATES)).collect()
        }
    }
}

/// The processes from which a relay can receive updates, the nearest first. Control replicas
/// without contact to a quorum come last.
fn relay_candidates(cx: &Context<'_>, membership: &Membership) -> Vec<NodeId> {
    let own = &cx.me.locality;
    let hub = membership.hub(&own.region).filter(|hub| *hub != cx.me.id);
    let mut replicas: Vec<_> = membership
        .control_replicas()
        .filter(|replica| replica.id != cx.me.id)
        .map(|replica| {
            let locality = &replica.locality;
            let distance = match (locality.region == own.region, *locality == *own) {
                (_, true) => 0,
                (true, false) => 1,
                (false, _) => 3,
            };
            (replica.lacks_quorum, distance, rank(replica.id), replica.id)
        })
        .collect();
    replicas.extend(hub.map(|hub| (false, 2, rank(hub), hub)));
    replicas.sort();
    replicas.into_iter().map(|(.., id)| id).collect()
}
