//! Quotas of organisations over all hosts: asynchronous accounting without a central counter.
//!
//! Each proxy counts the calls of each organisation that it admits and reports the counters to the
//! relay of its availability zone. The relays exchange the totals of their zones. Each relay
//! computes, from the usage of all zones, which fraction of an organisation's calls its proxies
//! admit. No call waits for a message.
//!
//! Processes that do not report have their share of each quota reserved; processes that receive no
//! fractions admit only their share.

mod account;
mod link;
mod message;
mod peers;
mod proxy;
mod relay;

use std::collections::BTreeMap;

pub use message::{Acknowledgement, CounterRow, Counters, Fraction, OrganisationKey, QuotaMessage};

use crate::collections::HashMap;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{Name, NodeId};
use crate::membership::Membership;
use crate::membership::hash::stable_hash;
use crate::time::Instant;
use peers::Peers;
use proxy::Proxy;
use relay::Relay;

/// Calls of an organisation that a proxy reports at once, at least.
const MIN_EARLY_REPORT_CALLS: f64 = 2.0;
/// The same in seconds of the organisation's rate.
const EARLY_REPORT_S: f64 = 0.025;
/// Most organisations in the metrics.
const MAX_METRICS: usize = 32;
/// Time for which an organisation must be below its quota before that is logged, in milliseconds.
const UNLIMITED_AFTER_MS: u64 = 2_000;

/// Quota of one organisation, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Calls per second. Positive and finite.
    pub rate_per_s: f64,
    /// Calls above the rate that may be admitted at once after a time of low usage.
    pub burst: f64,
}

impl QuotaLimit {
    fn early_report_calls(self) -> f64 {
        MIN_EARLY_REPORT_CALLS.max(EARLY_REPORT_S * self.rate_per_s)
    }
}

/// A call is above the quota of its organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the organisation exceeds its quota; credit is expected in {retry_after_ms} ms")]
pub struct QuotaExceeded {
    /// Time after which credit is expected, in milliseconds.
    pub retry_after_ms: u32,
}

/// Metrics of one limited organisation at one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaMetrics {
    /// The organisation.
    pub organisation: Name,
    /// Calls that were admitted since the organisation has a quota.
    pub admitted: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Share of the calls that is admitted at the moment.
    pub fraction: f64,
}

/// Quotas at one process. Without an organisation that has a quota it needs no timer and sends
/// nothing.
#[derive(Default)]
pub struct Quotas {
    limits: BTreeMap<OrganisationKey, QuotaLimit>,
    names: HashMap<OrganisationKey, Name>,
    peers: Peers,
    proxy: Proxy,
    /// Present if this process acts as a relay.
    relay: Option<Relay>,
    /// Organisations that this relay has logged as limited, and when they last were.
    limited: BTreeMap<OrganisationKey, Instant>,
}

impl Quotas {
    /// Creates quotas without an organisation.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the limits. Organisations without a positive rate have no limit.
    pub fn configure(
        &mut self,
        cx: &mut Context<'_>,
        limits: impl IntoIterator<Item = (Name, QuotaLimit)>,
    ) {
        let is_limit = |(_, limit): &(Name, QuotaLimit)| {
            limit.rate_per_s.is_finite() && limit.rate_per_s > 0.0
        };
        let limits: BTreeMap<Name, QuotaLimit> = limits.into_iter().filter(is_limit).collect();
        self.limits.clear();
        self.names.clear();
        let mut by_name = BTreeMap::new();
        for (name, limit) in limits {
            let mut key = stable_hash(&name) as OrganisationKey;
            // All processes with the same configuration resolve a collision alike.
            while self.limits.contains_key(&key) {
                key = key.wrapping_add(1);
            }
            self.limits.insert(key, limit);
            self.names.insert(key, name.clone());
            by_name.insert(name, (key, limit));
        }
        self.proxy.configure(cx, &by_name);
        match &mut self.relay {
            _ if self.limits.is_empty() => self.relay = None,
            Some(relay) => relay.configure(&self.limits),
            None => {}
        }
        self.limited.retain(|key, _| self.limits.contains_key(key));
    }

    /// Takes the credit for a call of an organisation.
    ///
    /// A call that is late (`is_late`) gets no credit while its organisation exceeds its quota.
    pub fn try_take(
        &mut self,
        now: Instant,
        organisation: &Name,
        is_late: bool,
    ) -> Result<(), QuotaExceeded> {
        self.proxy.try_take(now, organisation, is_late)
    }

    /// Returns the credit for a call that did not run.
    pub fn give_back(&mut self, now: Instant, organisation: &Name) {
        self.proxy.give_back(now, organisation);
    }

    /// When [`Quotas::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        if self.limits.is_empty() {
            return Instant::NEVER;
        }
        let relay = self.relay.as_ref().map_or(Instant::NEVER, Relay::next_deadline);
        self.proxy.next_deadline().min(relay)
    }

    /// Sends what is due and computes fractions at a relay.
    pub fn tick(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if self.limits.is_empty() || cx.now < self.next_deadline() {
            return;
        }
        self.peers.update(cx, membership);
        let is_relay = self.peers.candidates.first() == Some(&cx.me.id);
        if is_relay && self.relay.is_none() {
            self.relay = Some(Relay::new(cx.now));
        }
        if let Some((relay, report)) = self.proxy.tick(cx, &self.peers) {
            match relay == cx.me.id {
                true => self.handle_own_report(cx, &report),
                false => cx.send(relay, QuotaMessage::Report(report)),
            }
        }
        let Some(relay) = &mut self.relay else { return };
        if !is_relay && relay.is_unused(cx.now) {
            self.relay = None;
            self.limited.clear();
            return;
        }
        relay.run(cx, &self.peers, membership);
        self.log_limited(cx);
    }

    /// Handles a message from another process.
    pub fn step(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        message: QuotaMessage,
    ) {
        if self.limits.is_empty() {
            return;
        }
        self.peers.update(cx, membership);
        match message {
            QuotaMessage::Report(counters) => {
                let relay = self.relay.get_or_insert_with(|| Relay::new(cx.now));
                let answer = relay.receive_report(cx, &self.limits, from, &counters);
                cx.send(from, answer);
            }
            QuotaMessage::Fractions { acknowledgement, is_ready, fractions } => {
                self.proxy.handle_fractions(cx, from, (acknowledgement, is_ready), &fractions);
            }
            QuotaMessage::Totals { proxies, counters, debts, acknowledgement } => {
                let Some(member) = membership.member(from) else { return };
                let Some(relay) = &mut self.relay else { return };
                let zone = member.locality.availability_zone.clone();
                let totals = (proxies, &counters, acknowledgement);
                relay.adopt_debts(cx, &self.limits, &debts);
                relay.receive_totals(cx, &self.limits, (from, zone), totals);
            }
            QuotaMessage::Probe => {
                if self.relay.as_ref().is_some_and(|relay| relay.is_ready(cx.now)) {
                    cx.send(from, QuotaMessage::ProbeAnswer);
                }
            }
            QuotaMessage::ProbeAnswer => self.proxy.handle_probe_answer(cx, from, &self.peers),
        }
    }

    fn handle_own_report(&mut self, cx: &Context<'_>, report: &Counters) {
        let relay = self.relay.get_or_insert_with(|| Relay::new(cx.now));
        let answer = relay.receive_report(cx, &self.limits, cx.me.id, report);
        if let QuotaMessage::Fractions { acknowledgement, is_ready, fractions } = answer {
            self.proxy.handle_fractions(cx, cx.me.id, (acknowledgement, is_ready), &fractions);
        }
    }

    fn log_limited(&mut self, cx: &mut Context<'_>) {
        let Some(relay) = &self.relay else { return };
        for (key, _) in relay.limited() {
            let Some(name) = self.names.get(&key) else { continue };
            if self.limited.insert(key, cx.now).is_none() {
                let QuotaLimit { rate_per_s, .. } = self.limits[&key];
                let text = format!(
                    "Organisation {name} exceeds its quota of {rate_per_s} calls per second and is limited."
                );
                cx.log(LogLevel::Info, LogPart::Calls, text);
            }
        }
        let (now, names) = (cx.now, &self.names);
        let is_over = |at: &Instant| now.since_ms(*at) >= UNLIMITED_AFTER_MS;
        let over: Vec<OrganisationKey> =
            self.limited.iter().filter(|(_, at)| is_over(at)).map(|(key, _)| *key).collect();
        for key in over {
            self.limited.remove(&key);
            let Some(name) = names.get(&key) else { continue };
            let text = format!("Organisation {name} is no longer limited.");
            cx.log(LogLevel::Info, LogPart::Calls, text);
        }
    }

    /// Metrics of the organisations of which most calls were refused.
    pub fn metrics(&self) -> Vec<QuotaMetrics> {
        let limited = self.proxy.organisations.iter();
        let limited = limited.filter(|(_, o)| o.refused_calls > 0 || o.fraction < 1.0);
        let mut rows: Vec<QuotaMetrics> = limited
            .map(|(name, organisation)| QuotaMetrics {
                organisation: name.clone(),
                admitted: organisation.admitted_calls,
                refused: organisation.refused_calls,
                fraction: organisation.fraction,
            })
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.refused));
        rows.truncate(MAX_METRICS);
        rows
    }
}
