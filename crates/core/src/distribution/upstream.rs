//! From whom this process takes its updates, and to whom it reports.
//!
//! Members of an availability zone form a tree, whose root is the relay: those whose
//! link is not slow stand near the root, and pass versions on to more of the others. The relay itself takes updates from a control replica as near as
//! possible, or from the hub of its region, so that one copy of a version
//! crosses to a region without a control replica.

use rand::Rng;

use super::Distribution;
use super::message::{DistributionMessage, Holders, Report};
use super::ready::VOUCH_AFTER_START_MS;
use crate::context::Context;
use crate::ids::{NodeId, Version};
use crate::membership::Membership;
use crate::membership::hash::rank;
use crate::time::Instant;

/// Time between two reports that ask for an answer, in milliseconds.
pub const REFRESH_EVERY_MS: u64 = 5_000;

/// The same for a relay, in milliseconds: a whole availability zone waits where
/// its parent was cut off silently.
const RELAY_REFRESH_EVERY_MS: u64 = 1_500;

/// The same where the answer was not the word of a control replica that a process
/// waits for which was started, in milliseconds.
const ASK_AGAIN_AFTER_MS: u64 = 100;

/// Time after which a parent that did not answer is replaced, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Upper bound of the first wait after every candidate failed, in milliseconds.
const FIRST_WAIT_MS: u64 = 100;

/// Upper bound of every such wait, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// Time after which a process that took another parent tries the right one again, in milliseconds.
const RETRY_FIRST_AFTER_MS: u64 = 10_000;

/// Most members of the own availability zone that are tried as parents.
const MAX_CANDIDATES: usize = 8;

/// The parent of this process and the others that could be.
pub(super) struct Upstream {
    pub parent: Option<NodeId>,
    /// Whether this process is the relay of its availability zone.
    pub is_relay: bool,
    candidates: Vec<NodeId>,
    generation: Option<u64>,
    attempt: usize,
    asked_at: Option<Instant>,
    next_ask_at: Instant,
    retry_first_at: Instant,
    /// What was last reported to the parent.
    reported: Option<(Version, Holders)>,
}

impl Upstream {
    pub fn new() -> Self {
        Self {
            parent: None,
            is_relay: false,
            candidates: Vec::new(),
            generation: None,
            attempt: 0,
            asked_at: None,
            next_ask_at: Instant::NEVER,
            retry_first_at: Instant::NEVER,
            reported: None,
        }
    }

    pub fn next_deadline(&self) -> Instant {
        let timeout_at =
            self.asked_at.map_or(Instant::NEVER, |asked| asked.plus_ms(ANSWER_TIMEOUT_MS));
        self.next_ask_at.min(timeout_at)
    }

    /// The parent answered. Returns when it was asked.
    pub fn answered(&mut self) -> Option<Instant> {
        self.asked_at.take()
    }

    /// Asks sooner than usual: word of a control replica is waited for. An answer
    /// to a question of the first moments after the start vouches for nothing.
    ///
    /// `was_held` says that the last question waited for its answer.
    pub fn ask_again_soon(&mut self, now: Instant, was_held: bool) {
        if self.parent.is_some() {
            let first_useful_at = Instant::from_ms(VOUCH_AFTER_START_MS);
            let wait_ms = if was_held { 0 } else { ASK_AGAIN_AFTER_MS };
            let ask_at = now.plus_ms(wait_ms).max(first_useful_at);
            self.next_ask_at = self.next_ask_at.min(ask_at);
        }
    }
}

impl Distribution {
    /// Follows a new view of the members.
    pub(super) fn follow(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let generation = membership.generation();
        // A process that knows only its seeds would take itself for a relay.
        if self.upstream.generation == Some(generation) || membership.synced_at().is_none() {
            return;
        }
        self.upstream.generation = Some(generation);
        let own = &cx.me.locality.availability_zone;
        self.upstream.is_relay = membership.relay(own) == Some(cx.me.id);
        let candidates = candidates(cx, membership);
        let first_changed = candidates.first() != self.upstream.candidates.first();
        self.upstream.candidates = candidates;
        let stays =
            self.upstream.parent.is_some_and(|parent| self.upstream.candidates.contains(&parent));
        if first_changed || !stays {
            self.upstream.attempt = 0;
            self.take_parent(cx, membership);
        }
    }

    /// Takes the candidate whose turn it is as the parent.
    fn take_parent(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let count = self.upstream.candidates.len();
        let chosen = (count > 0).then(|| self.upstream.candidates[self.upstream.attempt % count]);
        if let Some(old) = self.upstream.parent.filter(|old| Some(*old) != chosen) {
            cx.send(old, DistributionMessage::Unsubscribe);
        }
        self.upstream.parent = chosen;
        self.upstream.asked_at = None;
        self.upstream.reported = None;
        self.upstream.next_ask_at = Instant::NEVER;
        self.ask(cx, membership);
    }

    /// Reports to the parent and asks for an answer.
    fn ask(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let Some(parent) = self.upstream.parent else {
            self.upstream.next_ask_at = Instant::NEVER;
            return;
        };
        self.upstream.asked_at = Some(cx.now);
        let every_ms =
            if self.upstream.is_relay { RELAY_REFRESH_EVERY_MS } else { REFRESH_EVERY_MS };
        let jitter_ms = cx.rng.random_range(0..every_ms / 5);
        self.upstream.next_ask_at = cx.now.plus_ms(every_ms - jitter_ms);
        self.send_report(cx, membership, parent, true);
    }

    /// Asks the parent for newer word of a control replica, unless it was asked.
    pub(super) fn seek_word(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if self.upstream.asked_at.is_none() {
            self.ask(cx, membership);
        }
    }

    /// Reports to the parent where there is something new to say.
    pub(super) fn report_to_parent(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let Some(parent) = self.upstream.parent else { return };
        let now_holds = (self.current.version(), self.holders_to_report(cx, membership));
        if self.upstream.reported != Some(now_holds) {
            self.send_report(cx, membership, parent, false);
        }
    }

    fn send_report(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        parent: NodeId,
        asks: bool,
    ) {
        let holders = self.holders_to_report(cx, membership);
        let version = self.current.version();
        self.upstream.reported = Some((version, holders));
        let is_relay = self.upstream.is_relay;
        let is_started = cx.now >= Instant::from_ms(VOUCH_AFTER_START_MS);
        let waits = (is_started && !self.readiness.is_vouched()) || self.children.has_questions();
        let report = Report { version, is_relay, asks, waits, holders };
        cx.send(parent, DistributionMessage::Report(report));
    }

    fn holders_to_report(&mut self, cx: &Context<'_>, membership: &Membership) -> Holders {
        if self.upstream.is_relay { Holders::default() } else { self.holders(cx, membership) }
    }

    /// Asks again, and gives a parent up that did not answer.
    pub(super) fn tick_upstream(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let asked_at = self.upstream.asked_at;
        if asked_at.is_some_and(|asked| cx.now >= asked.plus_ms(ANSWER_TIMEOUT_MS)) {
            self.next_parent(cx, membership);
        } else if cx.now >= self.upstream.next_ask_at {
            if self.upstream.attempt > 0 && cx.now >= self.upstream.retry_first_at {
                self.upstream.attempt = 0;
                self.take_parent(cx, membership);
            } else {
                self.ask(cx, membership);
            }
        }
    }

    /// The connection to the parent closed, or none could be made.
    pub(super) fn parent_disconnected(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        // The first loss may be of an old connection; a second one without an
        // answer between is a failed dial.
        if self.upstream.asked_at.is_some() {
            self.next_parent(cx, membership);
        } else {
            self.ask(cx, membership);
        }
    }

    fn next_parent(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.upstream.attempt += 1;
        self.upstream.retry_first_at = cx.now.plus_ms(RETRY_FIRST_AFTER_MS);
        let count = self.upstream.candidates.len().max(1);
        if !self.upstream.attempt.is_multiple_of(count) {
            self.take_parent(cx, membership);
            return;
        }
        // Every candidate failed: wait before the next round.
        let rounds = (self.upstream.attempt / count).min(10) as u32;
        let bound_ms = (FIRST_WAIT_MS << rounds).min(MAX_WAIT_MS);
        self.upstream.asked_at = None;
        self.upstream.parent = self.upstream.candidates.first().copied();
        self.upstream.next_ask_at = cx.now.plus_ms(cx.rng.random_range(0..=bound_ms));
    }
}

/// Whom this process can take updates from, the right one first.
fn candidates(cx: &Context<'_>, membership: &Membership) -> Vec<NodeId> {
    let own = &cx.me.locality.availability_zone;
    let Some(zone) = membership.topology().zone(own) else { return Vec::new() };
    let order = &zone.order;
    match order.iter().position(|id| *id == cx.me.id) {
        Some(0) => sources(cx, membership),
        place => {
            let parent = place.and_then(|place| zone.parent_place(place)).map(|at| order[at]);
            // Only those before this process: two must not be each other's parents.
            let before = &order[..place.unwrap_or(order.len())];
            let others = before.iter().copied().filter(|id| Some(*id) != parent);
            parent.into_iter().chain(others.take(MAX_CANDIDATES)).collect()
        }
    }
}

/// Whom a relay takes updates from.
fn sources(cx: &Context<'_>, membership: &Membership) -> Vec<NodeId> {
    if cx.me.control {
        // It gets versions from the replicated log.
        return Vec::new();
    }
    let me = &cx.me.locality;
    let hub = membership.hub(&me.region).filter(|hub| *hub != cx.me.id);
    let mut replicas: Vec<_> = membership
        .control_replicas()
        .map(|replica| {
            let there = &replica.locality;
            let distance = match (there.region == me.region, *there == *me) {
                (_, true) => 0,
                (true, false) => 1,
                (false, _) => 3,
            };
            (distance, rank(replica.id), replica.id)
        })
        .collect();
    replicas.extend(hub.map(|hub| (2, rank(hub), hub)));
    replicas.sort();
    replicas.into_iter().map(|(_, _, id)| id).collect()
}
