//! Distributes each configuration version to every proxy and aggregates the acknowledgements.
//!
//! Control replicas publish versions. In each availability zone, one relay receives them from
//! a control replica or from the hub of its region. Inside the availability zone, a
//! distribution tree of bounded fan-out forwards them. Acknowledgements are aggregated up the
//! same tree. A proxy verifies a version and applies it completely or not at all. If an update
//! from the parent is late, a process fetches it from any peer that holds it.

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
pub use message::{DistributionMessage, HeldVersion, Holders, Report, Status, Update, ZoneReport};
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

/// Age of the last contact with the control plane from which a proxy counts as cut off from
/// it, in milliseconds. The contact time reaches each level of the tree with a status refresh,
/// so every level adds up to [`REFRESH_EVERY_MS`].
pub const CUT_OFF_FROM_CONTROL_AFTER_MS: u64 = 20_000;

/// Settings of distribution.
#[derive(Clone, Debug, Default)]
pub struct DistributionSettings {}

/// The configuration that this process holds, and what it has recorded of other processes.
pub struct Distribution {
    current: Arc<Configuration>,
    is_newly_applied: bool,
    history: History,
    upstream: Upstream,
    children: Children,
    fetcher: Fetcher,
    reporter: Reporter,
    readiness: Readiness,
    /// The newest version that each member of the own availability zone acknowledged.
    acknowledged: BTreeMap<NodeId, Version>,
    zone_reports: ZoneReports,
    progress: Option<Progress>,
    /// Time of the last contact with a control replica, direct or through the chain of parents.
    last_control_contact_at: Option<Instant>,
    /// The newest version reported through that chain.
    newest_known: Version,
    /// Whether a version was published here and not forwarded yet.
    has_pending_publication: bool,
    /// Whether this process has a control replica that receives nothing from the log.
    is_standby: bool,
}

impl Distribution {
    /// Makes the state of a process that holds no configuration.
    pub fn new(_settings: DistributionSettings) -> Self {
        Self {
            current: Arc::default(),
            is_newly_applied: false,
            history: History::default(),
            upstream: Upstream::new(),
            children: Children::new(),
            fetcher: Fetcher::new(),
            reporter: Reporter::new(),
            readiness: Readiness::new(),
            acknowledged: BTreeMap::new(),
            zone_reports: ZoneReports::default(),
            progress: None,
            last_control_contact_at: None,
            newest_known: Version(0),
            has_pending_publication: false,
            is_standby: false,
        }
    }

    /// The version in force at this process. Version 0 is the empty configuration.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Whether the process may serve calls: it holds a version, and that version is not older
    /// than one that it had acknowledged before a restart.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Time of the last contact with a control replica, if the process counts as cut off from
    /// the control plane. None while it is in contact, and always at a control replica that takes
    /// part in the log.
    pub fn cut_off_since(&self, now: Instant, is_control: bool) -> Option<Instant> {
        let contact_at = self.last_control_contact_at.unwrap_or(Instant::ZERO);
        let is_cut_off = now.since_ms(contact_at) >= CUT_OFF_FROM_CONTROL_AFTER_MS;
        (is_cut_off && (self.is_standby || !is_control)).then_some(contact_at)
    }

    /// The parent, from which this process receives its updates.
    pub fn parent(&self) -> Option<NodeId> {
        self.upstream.parent
    }

    /// Number of processes that receive their updates from this one.
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    /// Publishes a version that the control replica of this process has committed, or recovered
    /// as committed from its disk. It is forwarded at once. A process that receives it serves
    /// by it only once its [`Distribution::is_ready`] returns true.
    pub fn publish(&mut self, cx: &mut Context<'_>, committed: Arc<Configuration>) {
        if committed.version() <= self.current.version() {
            return;
        }
        self.history.record_change(&self.current, &committed, None);
        self.current = committed;
        self.is_newly_applied = true;
        // Forwarding needs the membership, so it happens in the tick that follows at once.
        self.has_pending_publication = true;
        self.children.send_updates_at = cx.now;
    }

    /// Records that the control replica of this process was in contact with a quorum at `at`,
    /// and had published everything committed by then.
    pub fn record_control_contact(&mut self, at: Instant) {
        self.last_control_contact_at = self.last_control_contact_at.max(Some(at));
        self.readiness.record_control_contact(at);
    }

    /// Takes the version that came into force at this process since the last call.
    ///
    /// None before the process is ready: it must not serve calls by a version that may be older
    /// than the one by which it served before a restart.
    pub fn take_new_configuration(&mut self) -> Option<Arc<Configuration>> {
        if !self.is_ready() {
            return None;
        }
        std::mem::take(&mut self.is_newly_applied).then(|| Arc::clone(&self.current))
    }

    /// Takes the progress over all availability zones if it changed since the last call.
    /// Control replicas only.
    pub fn take_progress(&mut self) -> Option<Progress> {
        self.progress.take()
    }

    /// When [`Distribution::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        self.upstream
            .next_deadline()
            .min(self.children.send_updates_at)
            .min(self.children.next_answer_at(self.last_control_contact_at))
            .min(self.fetcher.fetch_at)
            .min(self.reporter.next_deadline())
            .min(self.readiness.next_deadline())
    }

    /// Performs all work that is due.
    pub fn tick(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if std::mem::take(&mut self.has_pending_publication) {
            self.forward_and_acknowledge(cx, membership);
        }
        self.update_candidates(cx, membership);
        self.tick_upstream(cx, membership);
        if cx.now >= self.children.send_updates_at {
            self.send_updates(cx);
        }
        self.answer_held_requests(cx);
        self.tick_fetcher(cx, membership);
        self.tick_reporter(cx, membership);
        self.update_readiness(cx, membership);
    }

    /// Handles a change of the membership.
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
                self.acknowledged.remove(id);
                self.remove_child(cx, membership, *id, "it is forgotten");
            }
        }
        self.update_candidates(cx, membership);
        self.schedule_report(cx.now);
        self.schedule_progress(cx.now);
        self.update_readiness(cx, membership);
    }

    /// Handles a new connection to another process.
    pub fn peer_connected(&mut self, cx: &mut Context<'_>, membership: &Membership, peer: NodeId) {
        self.send_holds(cx, peer);
        self.update_candidates(cx, membership);
    }

    /// Handles the close of the last connection to another process.
    pub fn peer_disconnected(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        peer: NodeId,
    ) {
        self.fetcher.peer_lost(cx.now, peer);
        self.remove_child(cx, membership, peer, "the connection closed");
        if self.upstream.parent == Some(peer) {
            self.parent_disconnected(cx, membership);
        }
    }

    /// Handles a message from another process.
    pub fn step(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        message: DistributionMessage,
    ) {
        match message {
            DistributionMessage::HeldVersion(held) => {
                self.handle_held_version(cx, membership, from, held)
            }
            DistributionMessage::Report(report) => {
                self.handle_report(cx, membership, from, report);
            }
            DistributionMessage::Status(status) => {
                self.handle_status(cx, membership, from, status);
            }
            DistributionMessage::Unsubscribe => {
                self.remove_child(cx, membership, from, "it has another parent");
            }
            DistributionMessage::Update(update) => {
                self.handle_update(cx, membership, from, &update);
            }
            DistributionMessage::Fetch { version, needs_snapshot } => {
                self.handle_fetch(cx, from, version, needs_snapshot);
            }
            DistributionMessage::Busy { retry_after_ms } => {
                self.handle_busy(cx, from, retry_after_ms);
            }
            DistributionMessage::Zones(reports) => {
                self.handle_zone_reports(cx, membership, from, reports);
            }
        }
        self.update_readiness(cx, membership);
    }

    fn handle_held_version(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        held: HeldVersion,
    ) {
        if held.version == self.current.version() && held.hash != self.current.hash() {
            let text = format!("Version {} of host {from} has other content.", held.version);
            cx.log(LogLevel::Error, LogPart::Distribution, text);
        }
        self.record_acknowledgement(cx, membership, from, held.version);
        let own = &cx.me.locality.availability_zone;
        let is_same_zone =
            membership.member(from).is_some_and(|member| member.locality.availability_zone == *own);
        // A neighbour that does not serve yet may have been restarted together with this one.
        if held.is_ready && (is_same_zone || held.acknowledged_version.is_some()) {
            self.readiness.record_serving_neighbour();
        }
        self.readiness
            .record_version(from, held.version.max(held.acknowledged_version.unwrap_or_default()));
        self.children.record_held_version(cx.now, from, held.version);
        self.record_newer_holder(cx, membership, from, held.version);
    }

    fn handle_status(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        status: Status,
    ) {
        self.record_newer_holder(cx, membership, from, status.version);
        self.readiness.record_version(from, status.newest_known);
        self.newest_known = self.newest_known.max(status.newest_known);
        let is_parent = self.upstream.parent == Some(from);
        let requested_at = if is_parent { self.upstream.take_requested_at() } else { None };
        // The parent wrote the answer after it had received the request and held it for
        // `held_ms`, so the contact was no earlier than this, however long the answer was
        // under way. A contact from before the start of this process is dropped: forwarded from here
        // it would look newer than it is.
        let contact_ms =
            requested_at.zip(status.control_age_ms).and_then(|(requested_at, age_ms)| {
                requested_at.plus_ms(status.held_ms).as_ms().checked_sub(age_ms)
            });
        if let Some(contact_ms) = contact_ms {
            let contact_at = Instant::from_ms(contact_ms);
            self.last_control_contact_at = self.last_control_contact_at.max(Some(contact_at));
            self.readiness.record_control_contact(contact_at);
        }
        if is_parent && status.is_standby && self.needs_other_parent(cx, membership, from) {
            self.try_next_parent(cx, membership);
        } else if is_parent && (!self.readiness.is_confirmed() || self.children.has_held_requests())
        {
            self.upstream.request_status_soon(cx.now, status.held_ms > 0);
        }
    }

    fn handle_update(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        update: &Update,
    ) {
        if update.version <= self.current.version() {
            // A duplicate, or overtaken by a newer version. Reports the held version back.
            self.send_holds(cx, from);
            return;
        }
        match codec::apply(&self.current, update) {
            Ok(applied) => {
                if self.current.version() == Version(0) {
                    let (version, bytes) = (update.version, update.body.len());
                    let text =
                        format!("Holds its first version, {version}: {bytes} bytes from {from}.");
                    cx.log(LogLevel::Info, LogPart::Distribution, text);
                } else {
                    let sender = host_label(membership, from);
                    let text = format!("Version {} came from {sender}.", update.version);
                    cx.log(LogLevel::Info, LogPart::Distribution, text);
                }
                self.history.record_change(&self.current, &applied.next, applied.deletes);
                self.current = Arc::new(applied.next);
                self.is_newly_applied = true;
                self.forward_and_acknowledge(cx, membership);
                if self.upstream.parent != Some(from) {
                    self.send_holds(cx, from);
                }
            }
            Err(error) => {
                let text = format!("Version {} from {from} is dropped: {error}.", update.version);
                cx.log(LogLevel::Warn, LogPart::Distribution, text);
                let needs_snapshot = error != ApplyError::BaseMissing;
                self.fetch_from(cx, from, needs_snapshot);
            }
        }
    }

    /// Forwards a version that came into force here, and acknowledges it.
    fn forward_and_acknowledge(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.stop_fetching(cx.now);
        self.send_updates(cx);
        self.holders_changed(cx, membership);
        self.schedule_behind_notice(cx.now);
        for neighbour in membership.neighbours() {
            self.send_holds(cx, *neighbour);
        }
        self.schedule_progress(cx.now);
    }

    fn send_holds(&self, cx: &mut Context<'_>, to: NodeId) {
        let held = HeldVersion {
            version: self.current.version(),
            hash: self.current.hash(),
            acknowledged_version: self.acknowledged.get(&to).copied(),
            is_ready: self.is_ready(),
        };
        cx.send(to, DistributionMessage::HeldVersion(held));
    }

    /// Records the version that a member of the own availability zone acknowledged. The member
    /// receives it back if it restarts.
    fn record_acknowledgement(
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
            let version_of_peer = self.acknowledged.entry(peer).or_default();
            *version_of_peer = version.max(*version_of_peer);
        }
    }

    fn control_age_ms(&self, cx: &Context<'_>) -> Option<u64> {
        self.last_control_contact_at.map(|contact_at| cx.now.since_ms(contact_at))
    }

    /// Checks whether this process may serve, and notifies its neighbours once it may. Neighbours
    /// that were restarted at the same time may be waiting for one that serves.
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

/// The name of a host for a log line, or its key if no record of it is held.
fn host_label(membership: &Membership, id: NodeId) -> String {
    membership.member(id).map_or_else(|| id.to_string(), |member| member.host.to_string())
}
