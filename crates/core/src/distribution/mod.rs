//! Distributes each configuration version to every proxy and aggregates the acknowledgements.
//!
//! Control replicas publish versions. In each availability zone, one relay receives them from
//! a control replica or from the hub of its region. Inside the availability zone, a
//! distribution tree of bounded fan-out forwards them. Acknowledgements are aggregated up the
//! same tree. A proxy verifies a version and applies it completely or not at all. If an update
//! from the parent is late, a process fetches it from any peer that holds it.

mod candidates;
mod children;
mod codec;
mod fetch;
mod holders;
mod message;
mod progress;
mod ready;
mod receive;
mod reports;
mod search;
mod upstream;

use std::collections::BTreeMap;
use std::sync::Arc;

pub use children::{MAX_CHILDREN, MAX_TRANSFERS};
pub use message::{DistributionMessage, HeldVersion, Holders, Report, Status, Update, ZoneReport};
pub use progress::{Progress, ZoneProgress};

use crate::config::Configuration;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};
use crate::membership::{Membership, MembershipChange};
use crate::time::Instant;
use children::Children;
use codec::History;
use fetch::Fetcher;
use progress::ZoneReports;
use ready::Readiness;
use reports::Reporter;
use upstream::Upstream;

/// Age of the last contact with the control plane from which a proxy counts as cut off from
/// it, in milliseconds. The contact time reaches each level of the tree with a status refresh,
/// and every level adds up to the interval between two of these.
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
            DistributionMessage::StatusRequest => self.handle_status_request(cx, from),
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
                self.handle_busy(cx, membership, from, retry_after_ms);
            }
            DistributionMessage::Zones(reports) => {
                self.handle_zone_reports(cx, membership, from, reports);
            }
        }
        self.update_readiness(cx, membership);
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
