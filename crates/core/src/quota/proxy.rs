//! Admission at a proxy, and its reports to the relay of its availability zone.

use std::collections::BTreeMap;

use rand::Rng;

use super::link::Outbox;
use super::message::{Acknowledgement, CounterRow, Counters, Fraction, OrganisationKey};
use super::peers::Peers;
use super::relay::PROXY_SILENT_MS;
use super::{QuotaExceeded, QuotaLimit, QuotaMessage};
use crate::collections::HashMap;
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::membership::hash::stable_hash;
use crate::time::Instant;

/// Interval of reports while counters change, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 200;
/// Interval of reports while more calls arrive than lately, in milliseconds.
const SURGE_REPORT_INTERVAL_MS: u64 = 80;
/// Multiple of the recent rate from which more calls arrive than lately.
const SURGE_FACTOR: f64 = 2.0;
/// Interval of reports while no counter changes, in milliseconds. Two fit in the time after which
/// a proxy counts as silent.
const IDLE_REPORT_INTERVAL_MS: u64 = 400;
/// Shortest interval between two reports, in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 20;
/// Time without an answer after which a proxy reports to the next candidate, in milliseconds.
const RELAY_TIMEOUT_MS: u64 = 400;
/// Time without an answer after which a proxy admits no more than before, in milliseconds. The
/// relay may have stopped at the start of a burst, of which its fractions say nothing.
const RELAY_LATE_MS: u64 = 250;
/// Rate that a host may admit while its relay is late, as a multiple of its recent rate, and of its
/// share of the quota.
const LATE_RECENT_FACTOR: f64 = 1.25;
const LATE_SHARE_FACTOR: f64 = 1.5;
/// Interval at which a proxy that reports to another candidate probes the first, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time without a tick after which this process counts as stopped in between, in milliseconds.
const STOPPED_MS: u64 = 600;
/// Time over which the recent rate of a host is averaged, in milliseconds.
const RECENT_MS: f64 = 1_000.0;
/// Calls that may always be admitted before the relay acknowledges them.
const MIN_UNACKNOWLEDGED: f64 = 4.0;
/// Bounds of `Retry-After`, in milliseconds.
const RETRY_AFTER_MS: (f64, f64) = (200.0, 3_000.0);
/// `Retry-After` of calls that are refused until the relay acknowledges others, in milliseconds.
const RETRY_UNACKNOWLEDGED_MS: u32 = 200;

/// Admission of the calls of one organisation.
#[derive(Debug)]
pub(super) struct Organisation {
    pub key: OrganisationKey,
    pub limit: QuotaLimit,
    /// Calls that were admitted and not returned. Wraps around.
    admitted: u32,
    /// Calls that were admitted and not returned, or refused by the quota. Wraps around.
    demanded: u32,
    /// `admitted` in the last report, and in the last acknowledged one.
    reported: u32,
    acknowledged: u32,
    /// `admitted` in the last report that a ready relay has acknowledged.
    settled: u32,
    /// Calls per second that were admitted lately.
    recent_per_s: f64,
    /// Fraction that the relay distributes.
    pub fraction: f64,
    /// Error diffusion: a call is admitted when the sum of the fractions reaches 1.
    diffusion: f64,
    /// Calls that may be admitted while no relay answers.
    credit: f64,
    credit_at: Instant,
    pub admitted_calls: u64,
    pub refused_calls: u64,
}

impl Organisation {
    fn new(key: OrganisationKey, limit: QuotaLimit, me: NodeId, now: Instant) -> Self {
        // The sums of the hosts start spread out. If they all started at 1, a small quota would be
        // exceeded by one call for each host.
        let start = stable_hash((me, key)) as f64 / u64::MAX as f64;
        Self {
            key,
            limit,
            admitted: 0,
            demanded: 0,
            reported: 0,
            acknowledged: 0,
            settled: 0,
            recent_per_s: 0.0,
            fraction: 1.0,
            diffusion: start,
            // When all hosts have restarted, a quarter of them may admit a call at once.
            credit: 2.0 * start - 1.0,
            credit_at: now,
            admitted_calls: 0,
            refused_calls: 0,
        }
    }

    /// Most calls that may be admitted without an acknowledgement.
    fn max_unacknowledged(&self) -> f64 {
        let QuotaLimit { rate_per_s, burst } = self.limit;
        MIN_UNACKNOWLEDGED.max(rate_per_s * 0.1).max(burst * 0.25)
    }

    fn fill_credit(&mut self, now: Instant, members: u32) {
        let members = f64::from(members.max(1));
        let elapsed_s = now.since_us(self.credit_at) as f64 / 1e6;
        self.credit_at = now;
        let max = (self.limit.burst / members).max(1.0);
        self.credit = (self.credit + elapsed_s * self.limit.rate_per_s / members).min(max);
    }

    /// Records that a ready relay has acknowledged all that `acknowledged` holds.
    fn settle(&mut self, elapsed_ms: Option<u64>) {
        let calls = f64::from(self.acknowledged.wrapping_sub(self.settled) as i32);
        self.settled = self.acknowledged;
        if let Some(elapsed_ms) = elapsed_ms {
            let weight = 1.0 - (-(elapsed_ms as f64) / RECENT_MS).exp();
            let rate_per_s = calls * 1_000.0 / elapsed_ms as f64;
            self.recent_per_s += weight * (rate_per_s - self.recent_per_s);
        }
    }

    /// Decides a call by the share of this host alone.
    fn take_credit(&mut self, now: Instant, members: u32) -> Result<(), QuotaExceeded> {
        self.fill_credit(now, members);
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return Ok(());
        }
        let rate_per_s = self.limit.rate_per_s / f64::from(members.max(1));
        Err(QuotaExceeded::after_ms((1.0 - self.credit) / rate_per_s * 1_000.0))
    }

    /// Decides a call by the fraction of the relay. `late_s` is the time since the last report that
    /// a ready relay has acknowledged, if the relay is late.
    fn take_fraction(&mut self, members: u32, late_s: Option<f64>) -> Result<(), QuotaExceeded> {
        if let Some(late_s) = late_s {
            let share_per_s = self.limit.rate_per_s / f64::from(members.max(1));
            let rate_per_s = LATE_RECENT_FACTOR * self.recent_per_s;
            let rate_per_s = rate_per_s.max(LATE_SHARE_FACTOR * share_per_s);
            let unsettled = self.admitted.wrapping_sub(self.settled) as i32;
            if f64::from(unsettled) >= 1.0 + rate_per_s * late_s {
                return Err(QuotaExceeded { retry_after_ms: RETRY_UNACKNOWLEDGED_MS });
            }
        }
        let unacknowledged = self.admitted.wrapping_sub(self.acknowledged) as i32;
        if f64::from(unacknowledged) >= self.max_unacknowledged() {
            return Err(QuotaExceeded { retry_after_ms: RETRY_UNACKNOWLEDGED_MS });
        }
        self.diffusion += self.fraction;
        if self.diffusion >= 1.0 {
            self.diffusion -= 1.0;
            return Ok(());
        }
        Err(self.exceeded())
    }

    /// The refusal of a call by the fraction: the quota serves in the stated time the calls that
    /// exceed it within a second.
    fn exceeded(&self) -> QuotaExceeded {
        QuotaExceeded::after_ms((1.0 / self.fraction.max(0.01) - 1.0) * 1_000.0)
    }
}

impl QuotaExceeded {
    fn after_ms(wait_ms: f64) -> Self {
        Self { retry_after_ms: wait_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1) as u32 }
    }
}

/// Admission at this proxy.
#[derive(Default)]
pub(super) struct Proxy {
    pub organisations: BTreeMap<Name, Organisation>,
    /// The relay to which this proxy reports, and its position among the candidates.
    relay: Option<NodeId>,
    position: usize,
    outbox: Outbox,
    report_at: Instant,
    probe_at: Instant,
    ticked_at: Instant,
    /// When the newest report was sent that a relay has acknowledged.
    answered_at: Option<Instant>,
    /// The same for a relay that was ready.
    settled_at: Option<Instant>,
    /// Whether the relay that answered last had counted for long enough.
    is_relay_ready: bool,
    /// Number of processes that share the quotas.
    members: u32,
}

impl Proxy {
    /// Replaces the limits. The counters of organisations that stay continue.
    pub fn configure(
        &mut self,
        cx: &mut Context<'_>,
        limits: &BTreeMap<Name, (OrganisationKey, QuotaLimit)>,
    ) {
        if self.organisations.is_empty() {
            // A random first delay keeps proxies that start together from reporting together.
            self.report_at = cx.now.plus_ms(cx.rng.random_range(0..REPORT_INTERVAL_MS / 2));
            self.ticked_at = cx.now;
        }
        self.organisations.retain(|name, _| limits.contains_key(name));
        for (name, (key, limit)) in limits {
            let new = || Organisation::new(*key, *limit, cx.me.id, cx.now);
            let organisation = self.organisations.entry(name.clone()).or_insert_with(new);
            organisation.limit = *limit;
        }
    }

    /// When [`Proxy::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let waiting_since = self.outbox.waiting_since();
        let timeout_at = waiting_since.map_or(Instant::NEVER, |at| at.plus_ms(RELAY_TIMEOUT_MS));
        let probe_at = if self.position > 0 { self.probe_at } else { Instant::NEVER };
        self.report_at.min(timeout_at).min(probe_at)
    }

    /// Decides whether a call of an organisation is admitted.
    pub fn try_take(
        &mut self,
        now: Instant,
        name: &Name,
        is_late: bool,
    ) -> Result<(), QuotaExceeded> {
        let is_answered = self.is_answered(now);
        let late_s = self.late_s(now);
        let Some(organisation) = self.organisations.get_mut(name) else { return Ok(()) };
        if is_late && is_answered && organisation.fraction < 1.0 {
            // Not part of the demand: the fraction is for calls that can be served in time.
            organisation.refused_calls += 1;
            return Err(organisation.exceeded());
        }
        let taken = match is_answered {
            true => organisation.take_fraction(self.members, late_s),
            false => organisation.take_credit(now, self.members),
        };
        organisation.demanded = organisation.demanded.wrapping_add(1);
        match taken {
            Ok(()) => {
                organisation.admitted = organisation.admitted.wrapping_add(1);
                organisation.admitted_calls += 1;
            }
            Err(_) => organisation.refused_calls += 1,
        }
        let unreported = organisation.admitted.wrapping_sub(organisation.reported) as i32;
        let is_early = f64::from(unreported) >= organisation.limit.early_report_calls();
        let since_report_s = now.since_us(self.outbox.last_sent_at) as f64 / 1e6;
        let usual = SURGE_FACTOR * organisation.recent_per_s * since_report_s;
        let is_surge = f64::from(unreported) > usual.max(1.0);
        let interval_ms = match is_early {
            true => MIN_REPORT_INTERVAL_MS,
            false if is_surge => SURGE_REPORT_INTERVAL_MS,
            false => REPORT_INTERVAL_MS,
        };
        self.report_at = self.report_at.min(self.outbox.last_sent_at.plus_ms(interval_ms));
        taken
    }

    /// Returns the credit of a call that did not run.
    pub fn give_back(&mut self, now: Instant, name: &Name) {
        let is_answered = self.is_answered(now);
        let Some(organisation) = self.organisations.get_mut(name) else { return };
        organisation.admitted = organisation.admitted.wrapping_sub(1);
        organisation.demanded = organisation.demanded.wrapping_sub(1);
        if !is_answered {
            organisation.credit += 1.0;
        }
    }

    /// Whether the fractions of a relay are recent enough.
    fn is_answered(&self, now: Instant) -> bool {
        self.answered_at.is_some_and(|at| now.since_ms(at) <= PROXY_SILENT_MS)
    }

    fn late_s(&self, now: Instant) -> Option<f64> {
        let waiting_since = self.outbox.waiting_since();
        let is_waiting = waiting_since.is_some_and(|at| now.since_ms(at) > RELAY_LATE_MS);
        let settled_at = self.settled_at?;
        let is_late = is_waiting || !self.is_relay_ready;
        is_late.then(|| now.since_us(settled_at) as f64 / 1e6)
    }

    /// Selects the relay and returns it with the next report, if one is due.
    pub fn tick(&mut self, cx: &mut Context<'_>, peers: &Peers) -> Option<(NodeId, Counters)> {
        // While no relay answers, members that are forgotten may run, cut off from this process.
        let is_answered = self.is_answered(cx.now);
        self.members = if is_answered { peers.members } else { self.members.max(peers.members) };
        if cx.now.since_ms(self.ticked_at) > STOPPED_MS {
            self.outbox.clear_pending();
        }
        self.ticked_at = cx.now;
        self.select_relay(cx, peers);
        if cx.now < self.report_at {
            return None;
        }
        self.report_at = cx.now.plus_ms(IDLE_REPORT_INTERVAL_MS);
        let relay = self.relay?;
        let counters = self.outbox.next(cx, rows(&self.organisations));
        for organisation in self.organisations.values_mut() {
            organisation.reported = organisation.admitted;
        }
        Some((relay, counters))
    }

    fn select_relay(&mut self, cx: &mut Context<'_>, peers: &Peers) {
        let is_overdue = |at: Instant| cx.now.since_ms(at) >= RELAY_TIMEOUT_MS;
        if self.outbox.waiting_since().is_some_and(is_overdue) {
            self.position += 1;
            self.probe_at = cx.now.plus_ms(PROBE_INTERVAL_MS);
            self.outbox.clear_pending();
        }
        if self.position >= peers.candidates.len() {
            self.position = 0;
        }
        let relay = peers.candidates.get(self.position).copied();
        if relay != self.relay {
            self.relay = relay;
            self.outbox = Outbox::default();
            self.report_at = cx.now;
        }
        if self.position > 0 && cx.now >= self.probe_at {
            self.probe_at = cx.now.plus_ms(PROBE_INTERVAL_MS);
            cx.send(peers.candidates[0], QuotaMessage::Probe);
        }
    }

    /// Handles the answer of the first candidate to a probe.
    pub fn handle_probe_answer(&mut self, cx: &Context<'_>, from: NodeId, peers: &Peers) {
        if peers.candidates.first() == Some(&from) && self.position > 0 {
            self.position = 0;
            self.report_at = cx.now;
        }
    }

    /// Handles the fractions that a relay distributes.
    pub fn handle_fractions(
        &mut self,
        cx: &Context<'_>,
        from: NodeId,
        (acknowledgement, is_ready): (Acknowledgement, bool),
        fractions: &[(OrganisationKey, Fraction)],
    ) {
        if self.relay != Some(from) {
            return;
        }
        if let Some((sent_at, acknowledged)) = self.outbox.acknowledge(acknowledgement) {
            // A relay without enough counts prolongs the fractions of its predecessor, but allows
            // nothing to a process that has none.
            if is_ready || self.is_answered(cx.now) {
                self.answered_at = self.answered_at.max(Some(sent_at));
            }
            self.is_relay_ready = is_ready;
            let elapsed_ms = self.settled_at.map(|at| sent_at.since_ms(at).max(1));
            if is_ready {
                self.settled_at = self.settled_at.max(Some(sent_at));
            }
            let acknowledged: HashMap<OrganisationKey, _> = acknowledged.into_iter().collect();
            for organisation in self.organisations.values_mut() {
                if let Some(usage) = acknowledged.get(&organisation.key) {
                    organisation.acknowledged = usage.admitted;
                }
                if is_ready {
                    organisation.settle(elapsed_ms);
                }
            }
        }
        if acknowledgement.needs_full {
            let at = self.outbox.last_sent_at.plus_ms(MIN_REPORT_INTERVAL_MS);
            self.report_at = self.report_at.min(at);
        }
        // Fractions that waited in a stalled connection are outdated.
        if !is_ready || !self.is_answered(cx.now) {
            return;
        }
        let fractions: HashMap<OrganisationKey, Fraction> = fractions.iter().copied().collect();
        for organisation in self.organisations.values_mut() {
            let fraction = fractions.get(&organisation.key);
            organisation.fraction = fraction.map_or(1.0, |fraction| fraction.share());
            if fraction.is_some() {
                // The burst is spent, wherever that was.
                organisation.credit = 0.0;
                organisation.credit_at = cx.now;
            }
        }
    }
}

fn rows(
    organisations: &BTreeMap<Name, Organisation>,
) -> impl Iterator<Item = CounterRow> + use<'_> {
    organisations.values().map(|o| (o.key, o.admitted, o.demanded))
}
