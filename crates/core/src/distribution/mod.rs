//! Brings each version to every proxy, and acknowledgements back.
//!
//! Control replicas publish. One relay in each availability zone takes
//! versions from a control replica, or from the hub of its region; inside the
//! availability zone a tree of bounded fan-out passes them on. Acknowledgements
//! are added up along the same tree. A proxy swaps a whole verified version
//! in, or nothing of it. Where an update is late, any peer that holds it is asked.

mod children;
mod codec;
mod fetch;
mod holders;
mod message;
mod progress;
mod ready;
mod reports;
mod upstream;

use std::collections::BTreeMap;
use std::sync::Arc;

pub use children::MAX_TRANSFERS;
pub use message::{DistributionMessage, Holders, Holds, Report, Status, Update, ZoneReport};
pub use progress::{Progress, ZoneProgress};
pub use upstream::REFRESH_EVERY_MS;

use crate::config::Configuration;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};
use crate::membership::{Membership, MembershipChange};
use crate::time::Instant;
use children::Children;
use codec::{ApplyError, History};
use fetch::Fetcher;
use progress::ZoneReports;
use ready::Readiness;
use reports::Reporter;
use upstream::Upstream;

/// Time without word from a control replica after which a proxy counts as cut
/// off from control, in milliseconds. Word travels down the tree in steps of
/// up to [`REFRESH_EVERY_MS`].
pub const CUT_OFF_FROM_CONTROL_AFTER_MS: u64 = 20_000;

/// Settings of distribution.
#[derive(Clone, Debug, Default)]
pub struct DistributionSettings {}

/// What the process holds and knows of what others hold.
pub struct Distribution {
    current: Arc<Configuration>,
    applied: bool,
    history: History,
    upstream: Upstream,
    children: Children,
    fetcher: Fetcher,
    reporter: Reporter,
    readiness: Readiness,
    /// The newest version that each neighbour or child acknowledged.
    remembered: BTreeMap<NodeId, Version>,
    zone_reports: ZoneReports,
    progress: Option<Progress>,
    /// When a control replica was last heard along the chain of parents.
    control_heard_at: Option<Instant>,
    /// The newest version that was heard of along that chain.
    newest: Version,
    /// Whether a version was published and not yet passed on.
    published: bool,
}

impl Distribution {
    /// Makes the state of a process that holds nothing.
    pub fn new(_settings: DistributionSettings) -> Self {
        Self {
            current: Arc::default(),
            applied: false,
            history: History::default(),
            upstream: Upstream::new(),
            children: Children::new(),
            fetcher: Fetcher::new(),
            reporter: Reporter::new(),
            readiness: Readiness::new(),
            remembered: BTreeMap::new(),
            zone_reports: ZoneReports::default(),
            progress: None,
            control_heard_at: None,
            newest: Version(0),
            published: false,
        }
    }

    /// The version in force at this process. Version 0 holds nothing.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Whether the process may serve calls: it holds a version and is not below
    /// one that it had acknowledged before it was restarted.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Since when no control replica was heard along the chain of parents.
    /// None while one is, and at a control replica.
    pub fn cut_off_since(&self, cx_now: Instant, is_control: bool) -> Option<Instant> {
        let heard_at = self.control_heard_at.unwrap_or(Instant::ZERO);
        let cut_off = cx_now.since_ms(heard_at) >= CUT_OFF_FROM_CONTROL_AFTER_MS;
        (cut_off && !is_control).then_some(heard_at)
    }

    /// From whom this process takes its updates.
    pub fn parent(&self) -> Option<NodeId> {
        self.upstream.parent
    }

    /// Processes that take their updates from this one.
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    /// A control replica learned that a version is committed, or found on its disk
    /// that it was. It is passed on at once; who holds it serves by it only once
    /// [`Distribution::is_ready`] says so.
    pub fn publish(&mut self, cx: &mut Context<'_>, committed: Arc<Configuration>) {
        if committed.version() <= self.current.version() {
            return;
        }
        self.history.moved(&self.current, &committed, None);
        self.current = committed;
        self.applied = true;
        // The tick that follows at once passes it on: that needs the members.
        self.published = true;
        self.children.serve_at = cx.now;
    }

    /// The control replica of this process was in touch with a quorum at `at`,
    /// and had published all that was committed.
    pub fn control_was_current(&mut self, at: Instant) {
        self.control_heard_at = self.control_heard_at.max(Some(at));
        self.readiness.vouch_at(at);
    }

    /// Takes the version that came into force at this process since the last call.
    ///
    /// None before the process is ready: calls must not be served by a version
    /// that may be older than one that it served by before a restart.
    pub fn take_applied(&mut self) -> Option<Arc<Configuration>> {
        if !self.is_ready() {
            return None;
        }
        std::mem::take(&mut self.applied).then(|| Arc::clone(&self.current))
    }

    /// Takes the progress over all availability zones if it changed since the
    /// last call. Control replicas only.
    pub fn take_progress(&mut self) -> Option<Progress> {
        self.progress.take()
    }

    /// When [`Distribution::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        self.upstream
            .next_deadline()
            .min(self.children.serve_at)
            .min(self.children.answer_at(self.control_heard_at))
            .min(self.fetcher.ask_at)
            .min(self.reporter.next_deadline())
            .min(self.readiness.next_deadline())
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if std::mem::take(&mut self.published) {
            self.in_force(cx, membership);
        }
        self.follow(cx, membership);
        self.tick_upstream(cx, membership);
        if cx.now >= self.children.serve_at {
            self.serve(cx);
        }
        self.answer_children(cx);
        self.tick_fetcher(cx, membership);
        self.tick_reporter(cx, membership);
        self.update_readiness(cx, membership);
    }

    /// The view of hosts changed.
    pub fn membership_changed(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        change: &MembershipChange,
    ) {
        match change {
            MembershipChange::Target(_) => return,
            MembershipChange::Member(_) => {}
            MembershipChange::MemberForgotten(id) => {
                self.remembered.remove(id);
                self.children.remove(*id);
            }
        }
        self.follow(cx, membership);
        self.report_soon(cx.now);
        self.progress_soon(cx.now);
        self.update_readiness(cx, membership);
    }

    /// A connection to another process is ready.
    pub fn peer_connected(&mut self, cx: &mut Context<'_>, membership: &Membership, peer: NodeId) {
        self.send_holds(cx, peer);
        self.follow(cx, membership);
    }

    /// The last connection to another process closed.
    pub fn peer_disconnected(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        peer: NodeId,
    ) {
        self.fetcher.lost(cx.now, peer);
        if self.children.remove(peer) {
            self.report_soon(cx.now);
        }
        if self.upstream.parent == Some(peer) {
            self.parent_disconnected(cx, membership);
        }
    }

    /// A message from another process.
    pub fn step(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        message: DistributionMessage,
    ) {
        match message {
            DistributionMessage::Holds(holds) => self.take_holds(cx, membership, from, holds),
            DistributionMessage::Report(report) => {
                self.take_report(cx, membership, from, report);
            }
            DistributionMessage::Status(status) => {
                self.take_status(cx, membership, from, status);
            }
            DistributionMessage::Unsubscribe => {
                if self.children.remove(from) {
                    self.report_soon(cx.now);
                }
            }
            DistributionMessage::Update(update) => {
                self.take_update(cx, membership, from, &update);
            }
            DistributionMessage::Fetch { version, whole } => {
                self.take_fetch(cx, from, version, whole);
            }
            DistributionMessage::Busy { retry_after_ms } => {
                self.take_busy(cx, from, retry_after_ms);
            }
            DistributionMessage::Zones(reports) => {
                self.take_zones(cx, membership, from, reports);
            }
        }
        self.update_readiness(cx, membership);
    }

    fn take_holds(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        holds: Holds,
    ) {
        if holds.version == self.current.version() && holds.hash != self.current.hash() {
            let text = format!("Version {} of host {from} has another content.", holds.version);
            cx.log(LogLevel::Error, LogPart::Distribution, text);
        }
        self.remember(cx, membership, from, holds.version);
        let own = &cx.me.locality.availability_zone;
        let same_zone =
            membership.member(from).is_some_and(|member| member.locality.availability_zone == *own);
        // One that does not serve yet may have been restarted with this process.
        if holds.is_ready && (same_zone || holds.remembered.is_some()) {
            self.readiness.neighbour_serves();
        }
        self.readiness.heard(from, holds.version.max(holds.remembered.unwrap_or_default()));
        self.children.holds(cx.now, from, holds.version);
        self.note_newer(cx, membership, from, holds.version);
    }

    fn take_status(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        status: Status,
    ) {
        self.note_newer(cx, membership, from, status.version);
        self.readiness.heard(from, status.newest);
        self.newest = self.newest.max(status.newest);
        let is_parent = self.upstream.parent == Some(from);
        let asked_at = if is_parent { self.upstream.answered() } else { None };
        // The answer was made after the question and the time for which that
        // waited, so control was heard no earlier than this, however long the
        // answer took to arrive. Word from before the start is dropped: passed on
        // from here it would look newer.
        let heard_ms = asked_at.zip(status.control_age_ms).and_then(|(asked_at, age_ms)| {
            asked_at.plus_ms(status.held_ms).as_ms().checked_sub(age_ms)
        });
        if let Some(heard_ms) = heard_ms {
            let heard_at = Instant::from_ms(heard_ms);
            self.control_heard_at = self.control_heard_at.max(Some(heard_at));
            self.readiness.vouch_at(heard_at);
        }
        if is_parent && (!self.readiness.is_vouched() || self.children.has_questions()) {
            self.upstream.ask_again_soon(cx.now, status.held_ms > 0);
        }
    }

    fn take_update(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        update: &Update,
    ) {
        if update.version <= self.current.version() {
            // Doubled or crossed by a newer one. The sender learns what is held.
            self.send_holds(cx, from);
            return;
        }
        match codec::apply(&self.current, update) {
            Ok(applied) => {
                if self.current.version() == Version(0) {
                    let (version, bytes) = (update.version, update.body.len());
                    let text =
                        format!("Holds its first version, {version}: {bytes} bytes of {from}.");
                    cx.log(LogLevel::Info, LogPart::Distribution, text);
                }
                self.history.moved(&self.current, &applied.next, applied.deletes);
                self.current = Arc::new(applied.next);
                self.applied = true;
                self.in_force(cx, membership);
                if self.upstream.parent != Some(from) {
                    self.send_holds(cx, from);
                }
            }
            Err(error) => {
                let text = format!("Version {} of {from} is dropped: {error}.", update.version);
                cx.log(LogLevel::Warn, LogPart::Distribution, text);
                let whole = error != ApplyError::BaseMissing;
                self.fetch_from(cx, from, whole);
            }
        }
    }

    /// A version came into force here: pass it on and acknowledge it.
    fn in_force(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.fetched(cx.now);
        self.serve(cx);
        self.holders_changed(cx, membership);
        self.nudge_later(cx.now);
        for neighbour in membership.neighbours() {
            self.send_holds(cx, *neighbour);
        }
        self.progress_soon(cx.now);
    }

    fn send_holds(&self, cx: &mut Context<'_>, to: NodeId) {
        let holds = Holds {
            version: self.current.version(),
            hash: self.current.hash(),
            remembered: self.remembered.get(&to).copied(),
            is_ready: self.is_ready(),
        };
        cx.send(to, DistributionMessage::Holds(holds));
    }

    /// Remembers what a member acknowledged, for the case that it is restarted.
    fn remember(
        &mut self,
        cx: &Context<'_>,
        membership: &Membership,
        peer: NodeId,
        version: Version,
    ) {
        let own = &cx.me.locality.availability_zone;
        let is_neighbour =
            membership.member(peer).is_some_and(|member| member.locality.availability_zone == *own);
        if is_neighbour {
            let remembered = self.remembered.entry(peer).or_default();
            *remembered = version.max(*remembered);
        }
    }

    fn control_age_ms(&self, cx: &Context<'_>) -> Option<u64> {
        self.control_heard_at.map(|heard_at| cx.now.since_ms(heard_at))
    }

    /// Looks whether this process may serve, and tells its neighbours once it
    /// does: those that were restarted with it may wait for one that serves.
    fn update_readiness(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let was_ready = self.is_ready();
        self.readiness.update(cx.now, self.current.version(), membership);
        if self.is_ready() && !was_ready {
            let text = format!("Serves by version {}.", self.current.version());
            cx.log(LogLevel::Info, LogPart::Distribution, text);
            for neighbour in membership.neighbours() {
                self.send_holds(cx, *neighbour);
            }
        }
    }
}
