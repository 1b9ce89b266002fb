//! Searches for another parent while the present one does not answer, or has no source itself.
//!
//! Several candidates are asked for their status at once, and the first one that has a source
//! becomes the parent. Asked one after another, candidates that are silent together would add up
//! their timeouts. The present parent is kept until another one has answered.

use rand::Rng;

use super::candidates::is_earlier_in_zone;
use super::message::{DistributionMessage, Status};
use super::{Distribution, host_label};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;
use crate::membership::Membership;
use crate::time::Instant;

/// Maximum number of candidates that are asked at once.
const MAX_ASKED: usize = 16;

/// Time between the first two rounds of a search, in milliseconds. It doubles with each round.
const FIRST_ROUND_MS: u64 = 250;

/// Upper bound of the time between two rounds, in milliseconds.
const MAX_ROUND_MS: u64 = 4_000;

/// Age of the last contact with a control replica from which a process counts as without a
/// source, in milliseconds. Each level of the distribution tree adds one refresh interval to the
/// age. It finds what answers alone do not show, such as two processes that are each other's
/// parents.
const MAX_CONTACT_AGE_MS: u64 = 6_000;

/// The same for a control replica that receives the log, in milliseconds.
const MAX_LOG_AGE_MS: u64 = 1_000;

/// State of the search. It is open while a round is scheduled.
pub(super) struct Search {
    /// When to ask the next candidates.
    pub next_round_at: Instant,
    rounds: u32,
    /// Number of candidates asked so far. Selects the next ones.
    asked: usize,
}

impl Search {
    pub fn new() -> Self {
        Self { next_round_at: Instant::NEVER, rounds: 0, asked: 0 }
    }

    pub fn is_open(&self) -> bool {
        self.next_round_at != Instant::NEVER
    }

    pub fn close(&mut self) {
        *self = Self::new();
    }
}

impl Distribution {
    /// Whether this process receives no versions at the moment, so that its version may be outdated:
    /// its parent does not answer or has no source itself, or the chain of parents has no contact
    /// with a control replica. A control replica that receives the log needs the contact with a
    /// quorum only. A process that knows no control replica, and never had contact with one, misses
    /// none: nobody would have told it of versions.
    pub fn lacks_source(&self, now: Instant, is_control: bool) -> bool {
        if is_control && !self.is_standby {
            let contact_at = self.last_control_contact_at.unwrap_or(Instant::ZERO);
            return now.since_ms(contact_at) >= MAX_LOG_AGE_MS;
        }
        let is_old = |contact_at| now.since_ms(contact_at) >= MAX_CONTACT_AGE_MS;
        if self.last_control_contact_at.is_some_and(is_old) {
            return true;
        }
        let has_candidates = !self.upstream.candidates.is_empty();
        let is_parent_silent = has_candidates && self.upstream.is_parent_silent(now);
        is_parent_silent || self.upstream.parent_lacks_source
    }

    /// Starts a search unless one is open.
    pub(super) fn start_search(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        reason: &str,
    ) {
        if self.upstream.search.is_open() {
            return;
        }
        if let Some(parent) = self.upstream.parent {
            let parent = host_label(membership, parent);
            let text = format!("Searches for another parent than {parent}: {reason}.");
            cx.log(LogLevel::Info, LogPart::Distribution, text);
        }
        self.ask_candidates(cx);
    }

    /// Asks the next candidates if that is due.
    pub(super) fn tick_search(&mut self, cx: &mut Context<'_>) {
        if cx.now >= self.upstream.search.next_round_at {
            self.ask_candidates(cx);
        }
    }

    fn ask_candidates(&mut self, cx: &mut Context<'_>) {
        let parent = self.upstream.parent;
        let others: Vec<NodeId> =
            self.upstream.candidates.iter().copied().filter(|id| Some(*id) != parent).collect();
        let first = self.upstream.search.asked;
        for index in first..first + others.len().min(MAX_ASKED) {
            cx.send(others[index % others.len()], DistributionMessage::StatusRequest);
        }
        self.upstream.search.asked += others.len().min(MAX_ASKED);
        let wait_ms = (FIRST_ROUND_MS << self.upstream.search.rounds.min(10)).min(MAX_ROUND_MS);
        let jitter_ms = cx.rng.random_range(0..wait_ms / 5);
        self.upstream.search.rounds += 1;
        self.upstream.search.next_round_at = cx.now.plus_ms(wait_ms - jitter_ms);
    }

    /// Handles the status of the parent: it ends a search, or starts one if the parent is no source.
    pub(super) fn handle_parent_status(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        parent: NodeId,
        status: &Status,
    ) {
        self.upstream.parent_lacks_source = status.lacks_source;
        if self.is_source(cx, membership, parent, status) {
            self.upstream.search.close();
        } else {
            self.start_search(cx, membership, "it has no source, or may depend on this host");
        }
        if !self.readiness.is_confirmed() || self.children.has_held_requests() {
            self.upstream.request_status_soon(cx.now, status.held_ms > 0);
        }
    }

    /// Handles the status of a candidate that is not the parent: it becomes the parent if it is
    /// preferred to that one, or if a search is open.
    pub(super) fn handle_candidate_status(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        candidate: NodeId,
        status: &Status,
    ) {
        let is_candidate = self.upstream.candidates.contains(&candidate);
        if !is_candidate || !self.is_source(cx, membership, candidate, status) {
            return;
        }
        let is_preferred = self.upstream.candidates.first() == Some(&candidate)
            && status.version >= self.current.version();
        if is_preferred || self.upstream.search.is_open() {
            self.switch_parent(cx, membership, Some(candidate));
        }
    }

    /// Whether a process with this status can be the parent of this one.
    ///
    /// A control replica that is a standby may depend on this very process. Only the hub of the
    /// region, and an earlier member of the own availability zone, surely have another source.
    pub(super) fn is_source(
        &self,
        cx: &Context<'_>,
        membership: &Membership,
        parent: NodeId,
        status: &Status,
    ) -> bool {
        let may_depend_on_this = status.is_standby
            && !is_earlier_in_zone(cx, membership, parent)
            && membership.hub(&cx.me.locality.region) != Some(parent);
        !status.lacks_source && !may_depend_on_this
    }
}
