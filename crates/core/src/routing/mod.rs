//! Routing of calls: selects a target for each call, admits the call at that target, retries
//! failed attempts and reports the outcome.
//!
//! A caller's call arrives at any proxy, which becomes its ingress. The ingress chooses a
//! target and forwards the call to the proxy on the target's host, the owner of the target.
//! Only the owner admits calls to the target. [`CallEvent`]s report what happened to a call,
//! [`CallEffect`]s are the actions to carry out next. An attempt that ends before the head of a
//! response arrived ends with [`CallEvent::Failed`]; one whose response is relayed ends with
//! [`CallEvent::Ended`]. After [`CallEffect::Refuse`] or [`CallEffect::Abort`] a call has no
//! further events.

mod admission;
mod admit;
mod answer;
mod answered_contents;
mod arrive;
mod attempt;
mod budget;
mod bulk_rate;
mod call;
mod capacity;
mod chain;
mod choose;
mod decision;
mod estimate;
mod event_rate;
mod failure;
mod fair_queue;
mod finish;
mod goodput;
mod health;
mod hold_times;
mod identity;
mod ingress_shares;
mod link_share;
mod message;
mod metrics;
mod network_path;
mod quarantine;
mod rate_limit;
mod recent_minimum;
mod refusal;
mod refuse;
mod region_link;
mod reported_limits;
mod reports;
mod reservation;
mod return_times;
mod split;
mod state;
mod table;
mod target;
mod transit;
mod unserved_calls;
mod view;

use std::collections::BTreeSet;
use std::sync::Arc;

use slotmap::SlotMap;

pub use call::{
    CallClass, CallEffect, CallEvent, CallHead, CallOrigin, CapacityReport, ForwardHead,
    RateReport, TargetLoad, TargetNotice,
};
pub use chain::{Chain, ChainError};
pub use decision::{Decision, Step};
pub use link_share::LinkShare;
pub use message::{Fingerprint, RoutingMessage, SuspectRecord, TargetEnd};
pub use metrics::{RoutingMetrics, ServiceCounts, StageCounts, TargetMetrics};
pub use quarantine::QUARANTINE_AFTER_ENDS;
pub use rate_limit::RateLimit;
pub use refusal::{Outcome, Refusal, RefusalCode};
pub use transit::{ClockId, Transit};

use crate::collections::HashMap;
use crate::config::Configuration;
use crate::context::Context;
use crate::event::{Effect, LogLevel, LogPart};
use crate::ids::{CallId, Name, NodeId, TargetId};
use crate::membership::Member;
use crate::organisation::OrganisationTable;
use crate::quota::Quotas;
use crate::slo::Slo;
use crate::time::Instant;

slotmap::new_key_type! {
    /// Key of a service.
    pub(crate) struct ServiceKey;
    /// Key of a target.
    pub(crate) struct TargetKey;
}

/// Time from the last accepted connection to the first refusal, in milliseconds. Requests on
/// connections that were just accepted are still in transit.
const REFUSAL_DELAY_MS: u64 = 100;

/// Time before the end of the stop notice at which the stop is announced to the other proxies,
/// in milliseconds. Calls that they send before they receive the announcement are still
/// accepted.
const LEAVE_LEAD_MS: u64 = 500;

/// Settings of routing.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Maximum number of calls in flight at this proxy, including forwarded ones.
    pub max_calls: u32,
    /// Time for which a stopping proxy still accepts calls, in milliseconds. Callers and other
    /// proxies can react to the stop before calls are refused.
    pub stop_notice_ms: u64,
    /// Whether a few concurrent large responses saturate the network link of this host.
    pub is_link_slow: bool,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self { max_calls: 4_096, stop_notice_ms: 1_000, is_link_slow: false }
    }
}

/// All calls in flight at this process, and its view of services, targets and hosts.
pub struct Routing {
    settings: RoutingSettings,
    configuration: Arc<Configuration>,
    /// Absent until the first version is in force.
    table: Option<table::RouteTable>,
    organisations: OrganisationTable,
    /// Whether newer versions may be in force elsewhere, since this process receives none.
    may_be_outdated: bool,
    services: SlotMap<ServiceKey, state::ServiceState>,
    service_keys: HashMap<Name, ServiceKey>,
    targets: SlotMap<TargetKey, target::Target>,
    target_keys: HashMap<TargetId, TargetKey>,
    members: HashMap<NodeId, Member>,
    /// Links to the other regions, by region name.
    region_links: HashMap<Name, region_link::RegionLink>,
    /// Estimates the transit delay of calls that other ingresses forward to this process.
    transits: transit::Transits,
    calls: HashMap<CallId, state::Call>,
    /// Calls that were not served recently and that their callers may repeat.
    unserved_calls: unserved_calls::UnservedCalls,
    /// The time at which each call is checked next.
    deadlines: BTreeSet<(Instant, CallId)>,
    /// Contents of calls that end their targets.
    quarantine: quarantine::Quarantine,
    /// Rate limits of the targets of other hosts.
    reported_limits: reported_limits::ReportedLimits,
    /// When the admission control of a target may admit the next call under its rate limit.
    admissions_due: BTreeSet<(Instant, TargetKey)>,
    /// Targets of this host that stated during the current event that they are leaving.
    leaving_targets: Vec<TargetId>,
    /// Services with calls in flight.
    busy_services: u32,
    refusals: metrics::RefusalCounts,
    splits: split::Splits,
    /// Calls that ended during the current event, for the burn report.
    finished: Vec<finish::Finished>,
    /// Calls whose parent call ended during the current event.
    orphans: Vec<CallId>,
    /// When a stopping process announces its stop to the other proxies.
    leave_at: Option<Instant>,
    /// When a stopping process closes its listeners.
    close_at: Option<Instant>,
    /// When a stopping process starts to refuse calls.
    refuse_at: Option<Instant>,
    is_refusing: bool,
}

impl Routing {
    /// Creates the state of a process without calls.
    pub fn new(settings: RoutingSettings) -> Self {
        Self {
            settings,
            configuration: Arc::default(),
            table: None,
            organisations: OrganisationTable::default(),
            may_be_outdated: false,
            services: SlotMap::with_key(),
            service_keys: HashMap::default(),
            targets: SlotMap::with_key(),
            target_keys: HashMap::default(),
            members: HashMap::default(),
            region_links: HashMap::default(),
            transits: transit::Transits::default(),
            calls: HashMap::default(),
            unserved_calls: unserved_calls::UnservedCalls::default(),
            deadlines: BTreeSet::new(),
            quarantine: quarantine::Quarantine::default(),
            reported_limits: reported_limits::ReportedLimits::default(),
            admissions_due: BTreeSet::new(),
            leaving_targets: Vec::new(),
            busy_services: 0,
            refusals: metrics::RefusalCounts::default(),
            splits: split::Splits::default(),
            finished: Vec::new(),
            orphans: Vec::new(),
            leave_at: None,
            close_at: None,
            refuse_at: None,
            is_refusing: false,
        }
    }

    /// Records whether newer versions may be in force elsewhere. A route that this process does not
    /// know may then exist.
    pub fn set_may_be_outdated(&mut self, may_be_outdated: bool) {
        self.may_be_outdated = may_be_outdated;
    }

    /// Applies an event of a call and emits the resulting effects.
    pub fn step(
        &mut self,
        cx: &mut Context<'_>,
        slo: &mut Slo,
        quotas: &mut Quotas,
        event: CallEvent,
    ) {
        match event {
            CallEvent::Arrived { call, head } => self.arrived(cx, quotas, call, head),
            CallEvent::Answered { call, attempt, status, notice } => {
                self.answered(cx, call, attempt, status, notice);
            }
            CallEvent::Failed { call, attempt, refusal, is_replayable, notice } => {
                self.failed(cx, call, attempt, refusal, is_replayable, notice);
            }
            CallEvent::Ended { call, attempt, is_complete } => {
                self.ended(cx, call, attempt, is_complete)
            }
            CallEvent::CallerGone { call } => self.caller_gone(cx, call),
            CallEvent::CallerFailed { call, code } => self.caller_failed(cx, call, code),
        }
        self.process_ended(cx, slo, quotas);
    }

    /// Returns the targets of this host that stated since the last call that they are leaving.
    pub fn take_leaving_targets(&mut self) -> Vec<TargetId> {
        std::mem::take(&mut self.leaving_targets)
    }

    /// When [`Routing::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let call = self.deadlines.first().map_or(Instant::NEVER, |(due, _)| *due);
        let stop = self.refuse_at.filter(|_| !self.is_refusing).unwrap_or(Instant::NEVER);
        let leave = self.leave_at.unwrap_or(Instant::NEVER);
        let admission = self.admissions_due.first().map_or(Instant::NEVER, |(due_at, _)| *due_at);
        let quarantine = self.quarantine.flush_at;
        call.min(admission)
            .min(quarantine)
            .min(stop)
            .min(leave)
            .min(self.close_at.unwrap_or(Instant::NEVER))
    }

    /// Handles every timer that is due.
    pub fn tick(&mut self, cx: &mut Context<'_>, slo: &mut Slo, quotas: &mut Quotas) {
        if self.leave_at.is_some_and(|at| at <= cx.now) {
            self.leave_at = None;
        }
        if self.close_at.is_some_and(|at| at <= cx.now) {
            self.close_at = None;
            cx.emit(Effect::Call(CallEffect::CloseListeners));
        }
        if !self.is_refusing && self.refuse_at.is_some_and(|at| at <= cx.now) {
            self.is_refusing = true;
            cx.emit(Effect::Call(CallEffect::CloseIdle));
            let text = format!("Refusing new calls; {} in flight.", self.calls.len());
            cx.log(LogLevel::Info, LogPart::Calls, text);
        }
        self.admit_due(cx);
        while let Some((due, call)) = self.deadlines.first().copied()
            && due <= cx.now
        {
            self.deadlines.pop_first();
            self.check_due(cx, call);
        }
        self.process_ended(cx, slo, quotas);
    }

    /// Begins a graceful stop. New calls are accepted for the stop notice and refused
    /// afterwards; calls in flight are completed.
    pub fn stop(&mut self, cx: &mut Context<'_>) {
        if self.is_stopping() {
            return;
        }
        let close_at = cx.now.plus_ms(self.settings.stop_notice_ms);
        let lead_ms = LEAVE_LEAD_MS.min(self.settings.stop_notice_ms);
        self.leave_at = Some(cx.now.plus_ms(self.settings.stop_notice_ms - lead_ms));
        self.close_at = Some(close_at);
        self.refuse_at = Some(close_at.plus_ms(REFUSAL_DELAY_MS));
        cx.emit(Effect::Call(CallEffect::CloseKeepAlive));
    }

    fn is_stopping(&self) -> bool {
        self.refuse_at.is_some()
    }

    /// Whether the process is stopping and has to announce that to the other proxies.
    pub fn should_announce_stop(&self, now: Instant) -> bool {
        self.is_stopping() && self.leave_at.is_none_or(|at| at <= now)
    }

    /// Whether calls with a safe method may run more than once, by the policy of their route.
    /// False if there is no route.
    pub fn is_repeatable(&self, host: &str, path: &str) -> bool {
        let rule = self.table.as_ref().and_then(|table| table.find(host, path));
        rule.is_some_and(|rule| rule.is_repeatable(true))
    }

    /// Whether no call is in flight and, if the process is stopping, none will be accepted.
    pub fn is_idle(&self) -> bool {
        let is_notice_over = !self.is_stopping() || self.is_refusing;
        is_notice_over && self.calls.is_empty()
    }

    /// Number of calls in flight, including forwarded ones.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Calls in flight by progress, including forwarded ones.
    pub fn stage_counts(&self) -> StageCounts {
        let mut counts = StageCounts::default();
        self.calls.values().for_each(|call| counts.count(&call.stage));
        counts
    }

    /// Counters for the metrics endpoint. The run time is proportional to the number of
    /// targets.
    pub fn metrics(&self) -> RoutingMetrics {
        let mut services: Vec<_> =
            self.services.values().map(|s| (s.name.clone(), s.counts)).collect();
        services.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        let mut targets: Vec<_> = self.targets.values().map(target_metrics).collect();
        targets.sort_unstable_by(|a, b| a.target.cmp(&b.target));
        let in_flight = self.calls.len() as u32;
        RoutingMetrics { in_flight, services, refusals: self.refusals.all(), targets }
    }
}

fn target_metrics(target: &target::Target) -> TargetMetrics {
    let admission = target.admission.as_ref();
    TargetMetrics {
        target: target.record.target.clone(),
        in_flight: admission.map_or(target.in_flight, |admission| admission.in_flight()),
        queued: admission.map_or(0, |admission| admission.queued()),
        latency_us: target.latency.mean_us(),
        is_ejected: target.health.is_ejected(),
        usable_slots: admission
            .and_then(|admission| admission.capacity_report(CallClass::default()))
            .map(|report| report.usable_slots),
        speed_percent: target.reported_speed().map(|speed| (speed * 100.0).round() as u32),
    }
}
