//! Chooses the parent of this process, from which it receives updates and to which it reports.
//!
//! The members of an availability zone form a distribution tree with the relay as its root.
//! Members whose link is not slow are placed near the root and forward versions to more of the
//! others. The relay receives updates from the nearest control replica or from the hub of its
//! region, so that only one copy of a version crosses to a region without a control replica.

use rand::Rng;

use super::candidates::{candidates, is_earlier_in_zone};
use super::message::{DistributionMessage, Holders, Report};
use super::ready::CONFIRM_AFTER_START_MS;
use super::search::Search;
use super::{Distribution, host_label};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};
use crate::membership::Membership;
use crate::time::Instant;

/// Interval between two reports that request a status, in milliseconds. Together with the timeout of
/// the answer it bounds the time for which a process waits for a parent that fell silent.
const REFRESH_EVERY_MS: u64 = 750;

/// Delay before the next request if the answer did not bring the contact with a control replica
/// that a started process waits for, in milliseconds.
const REQUEST_AGAIN_AFTER_MS: u64 = 100;

/// Time after which other candidates are asked if the parent does not answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 400;

/// Time after which a process with a substitute parent asks the preferred one again, in
/// milliseconds.
const ASK_PREFERRED_EVERY_MS: u64 = 2_000;

/// Maximum number of requests to a parent that are kept while it does not answer.
const MAX_OPEN_REQUESTS: usize = 8;

/// A status request that the parent has not answered.
struct OpenRequest {
    number: u32,
    sent_at: Instant,
}

/// The parent of this process and the candidates that can replace it.
pub(super) struct Upstream {
    pub parent: Option<NodeId>,
    /// Whether this process is the relay of its availability zone.
    pub is_relay: bool,
    /// The possible parents, the preferred one first.
    pub candidates: Vec<NodeId>,
    /// The membership generation from which `candidates` was computed.
    generation: Option<u64>,
    /// The status requests that the parent has not answered, the oldest first.
    open_requests: Vec<OpenRequest>,
    next_request_at: Instant,
    /// Whether the parent has no source itself, as its last answer says.
    pub parent_lacks_source: bool,
    /// When to ask the preferred candidate, while another one is the parent.
    ask_preferred_at: Instant,
    /// The version and holders last reported to the parent.
    last_reported: Option<(Version, Holders)>,
    pub search: Search,
}

impl Upstream {
    pub fn new() -> Self {
        Self {
            parent: None,
            is_relay: false,
            candidates: Vec::new(),
            generation: None,
            open_requests: Vec::new(),
            next_request_at: Instant::NEVER,
            parent_lacks_source: false,
            ask_preferred_at: Instant::NEVER,
            last_reported: None,
            search: Search::new(),
        }
    }

    pub fn next_deadline(&self) -> Instant {
        let search_at =
            if self.search.is_open() { self.search.next_round_at } else { self.answer_due_at() };
        self.next_request_at.min(search_at).min(self.ask_preferred_at)
    }

    /// When the parent counts as silent unless it answers.
    fn answer_due_at(&self) -> Instant {
        let oldest = self.open_requests.first();
        oldest.map_or(Instant::NEVER, |request| request.sent_at.plus_ms(ANSWER_TIMEOUT_MS))
    }

    /// Whether there is no parent that answers. A process that was itself stopped for a while has
    /// not sent its requests in time, and does not know whether its parent answers.
    pub fn is_parent_silent(&self, now: Instant) -> bool {
        let is_request_late = now >= self.next_request_at.plus_ms(ANSWER_TIMEOUT_MS);
        self.parent.is_none() || now >= self.answer_due_at() || is_request_late
    }

    /// Records a new request, and returns its number. Numbers are random, so that an answer to an
    /// earlier start of this process fits none.
    fn open_request(&mut self, cx: &mut Context<'_>) -> u32 {
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            // The oldest stays: it says how long the parent has been silent.
            self.open_requests.remove(1);
        }
        let number = cx.rng.random();
        self.open_requests.push(OpenRequest { number, sent_at: cx.now });
        number
    }

    /// Records the answer to a request, which ends the earlier ones too. Returns when the request was
    /// sent.
    pub fn take_request(&mut self, number: u32) -> Option<Instant> {
        let index = self.open_requests.iter().position(|request| request.number == number)?;
        self.open_requests.drain(..=index).next_back().map(|request| request.sent_at)
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
        let candidates = candidates(cx, membership, self.receives_log(cx));
        let has_preferred_changed = candidates.first() != self.upstream.candidates.first();
        self.upstream.candidates = candidates;
        let is_still_candidate =
            self.upstream.parent.is_some_and(|parent| self.upstream.candidates.contains(&parent));
        if !is_still_candidate {
            let preferred = self.upstream.candidates.first().copied();
            let had_parent = self.upstream.parent.is_some();
            self.switch_parent(cx, membership, preferred);
            if had_parent && preferred.is_some() {
                self.start_search(
                    cx,
                    membership,
                    "it has not answered yet, and the last one is no candidate any more",
                );
            }
        } else if has_preferred_changed {
            self.ask_preferred(cx);
        }
    }

    /// Asks the preferred candidate for its status, unless it is the parent. It becomes the parent
    /// once it has answered, so that this process never leaves a parent for a silent one.
    fn ask_preferred(&mut self, cx: &mut Context<'_>) {
        let preferred = self.upstream.candidates.first().copied();
        let Some(preferred) = preferred.filter(|_| preferred != self.upstream.parent) else {
            self.upstream.ask_preferred_at = Instant::NEVER;
            return;
        };
        let jitter_ms = cx.rng.random_range(0..ASK_PREFERRED_EVERY_MS / 5);
        self.upstream.ask_preferred_at = cx.now.plus_ms(ASK_PREFERRED_EVERY_MS - jitter_ms);
        cx.send(preferred, DistributionMessage::StatusRequest);
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

    /// Switches to another parent, or to none.
    pub(super) fn switch_parent(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        chosen: Option<NodeId>,
    ) {
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
        self.upstream.open_requests.clear();
        self.upstream.parent_lacks_source = false;
        self.upstream.last_reported = None;
        self.upstream.next_request_at = Instant::NEVER;
        let is_preferred = chosen == self.upstream.candidates.first().copied();
        self.upstream.ask_preferred_at =
            if is_preferred { Instant::NEVER } else { cx.now.plus_ms(ASK_PREFERRED_EVERY_MS) };
        self.upstream.search.close();
        self.request_status(cx, membership);
    }

    /// Reports to the parent and requests a status.
    fn request_status(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let Some(parent) = self.upstream.parent else {
            self.upstream.next_request_at = Instant::NEVER;
            return;
        };
        let request = self.upstream.open_request(cx);
        let jitter_ms = cx.rng.random_range(0..REFRESH_EVERY_MS / 5);
        self.upstream.next_request_at = cx.now.plus_ms(REFRESH_EVERY_MS - jitter_ms);
        self.send_report(cx, membership, parent, Some(request));
    }

    /// Requests a newer contact with a control replica from the parent, unless a request is open.
    pub(super) fn request_control_contact(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
    ) {
        if self.upstream.open_requests.is_empty() {
            self.request_status(cx, membership);
        }
    }

    /// Reports to the parent if the version or the holders changed.
    pub(super) fn report_to_parent(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let Some(parent) = self.upstream.parent else { return };
        let current_report = (self.current.version(), self.holders_to_report(cx, membership));
        if self.upstream.last_reported != Some(current_report) {
            self.send_report(cx, membership, parent, None);
        }
    }

    fn send_report(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        parent: NodeId,
        status_request: Option<u32>,
    ) {
        let holders = self.holders_to_report(cx, membership);
        let version = self.current.version();
        self.upstream.last_reported = Some((version, holders));
        let is_root = self.is_root(cx, membership);
        let has_confirming_age = cx.now >= Instant::from_ms(CONFIRM_AFTER_START_MS);
        let is_awaiting_control = (has_confirming_age && !self.readiness.is_confirmed())
            || self.children.has_held_requests();
        let report = Report { version, is_root, status_request, is_awaiting_control, holders };
        cx.send(parent, DistributionMessage::Report(report));
    }

    fn holders_to_report(&mut self, cx: &Context<'_>, membership: &Membership) -> Holders {
        if self.is_root(cx, membership) { Holders::default() } else { self.holders(cx, membership) }
    }

    /// Whether the parent does not count the subtree of this process: at a relay, and while no
    /// earlier member of the availability zone is the parent. A later one may be a child of this
    /// process, and the two would count each other.
    fn is_root(&self, cx: &Context<'_>, membership: &Membership) -> bool {
        let is_in_tree =
            self.upstream.parent.is_some_and(|parent| is_earlier_in_zone(cx, membership, parent));
        self.upstream.is_relay || !is_in_tree
    }

    /// Whether versions come from the log of the control replica of this process.
    pub(super) fn receives_log(&self, cx: &Context<'_>) -> bool {
        cx.me.control && !self.is_standby
    }

    /// Requests a status if it is due, and searches for another parent if this one does not answer.
    pub(super) fn tick_upstream(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if cx.now >= self.upstream.answer_due_at() {
            self.start_search(cx, membership, "it does not answer");
        }
        if cx.now >= self.upstream.ask_preferred_at {
            self.ask_preferred(cx);
        }
        if cx.now >= self.upstream.next_request_at {
            self.request_status(cx, membership);
        }
        self.tick_search(cx);
    }

    /// Handles a closed or failed connection to the parent.
    pub(super) fn parent_disconnected(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        // The first loss may be that of an old connection. A second one without an answer in
        // between is a failed dial.
        if !self.upstream.open_requests.is_empty() {
            self.start_search(cx, membership, "the connection to it is lost");
        } else {
            self.request_status(cx, membership);
        }
    }
}
