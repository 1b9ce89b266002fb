//! The relay of an availability zone: sums the usage of the proxies that report to it, exchanges
//! totals with other relays and computes the admission fractions.

use std::collections::{BTreeMap, BTreeSet};

use super::account::{Account, Surroundings};
use super::link::{Inbox, Outbox, Received};
use super::message::{Acknowledgement, CounterRow, Counters, Fraction, OrganisationKey};
use super::peers::Peers;
use super::{QuotaLimit, QuotaMessage};
use crate::collections::HashMap;
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::membership::Membership;
use crate::time::Instant;

/// Interval at which fractions are computed, in milliseconds.
const RUN_INTERVAL_MS: u64 = 100;
/// Shortest interval between two computations, if usage rises fast, in milliseconds.
const MIN_RUN_INTERVAL_MS: u64 = 40;
/// Interval at which totals are sent, in milliseconds.
const TOTALS_INTERVAL_MS: u64 = 200;
/// Interval at which totals are sent to the candidates of a silent zone, in milliseconds.
const SILENT_TOTALS_INTERVAL_MS: u64 = 500;
/// Time without totals after which a relay counts as silent, in milliseconds: three intervals and
/// the latency between regions.
const RELAY_SILENT_MS: u64 = 700;
/// Time without totals after which the part of the burst of a relay's proxies is no longer
/// used, in milliseconds: two intervals and the latency between regions.
const RELAY_DOUBTFUL_MS: u64 = 450;
/// Time without reports after which the share of a proxy is reserved, in milliseconds. Proxies
/// use no fraction that is older.
pub(super) const PROXY_SILENT_MS: u64 = 1_000;
/// Time without reports of other proxies after which a process that is not the relay of its zone
/// stops acting as one, in milliseconds.
const RETIRE_MS: u64 = 2_000;
/// Time for which a relay counts before it distributes fractions, in milliseconds.
const READY_AFTER_MS: u64 = 400;
/// Time after its start for which a relay takes over debts from others, in milliseconds.
const ADOPT_DEBTS_MS: u64 = 2_000;
/// Time without a run after which this process counts as stopped in between, in milliseconds.
const STOPPED_MS: u64 = 600;
/// A fraction that falls below this part of the last sent one is sent at once.
const PUSH_BELOW: f64 = 0.85;

/// Another relay.
struct Other {
    zone: Name,
    inbox: Inbox,
    /// Number of proxies that report to it.
    proxies: u32,
}

/// The state of a relay.
pub(super) struct Relay {
    /// When it began to count, or resumed after a stop.
    started_at: Instant,
    run_at: Instant,
    last_run_at: Instant,
    totals_at: Instant,
    silent_totals_at: Instant,
    reported_at: Instant,
    proxies: BTreeMap<NodeId, Inbox>,
    others: BTreeMap<NodeId, Other>,
    outboxes: BTreeMap<NodeId, Outbox>,
    accounts: BTreeMap<OrganisationKey, Account>,
    /// Fractions that the proxies have been sent.
    sent: HashMap<OrganisationKey, f64>,
}

impl Relay {
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            run_at: now.plus_ms(MIN_RUN_INTERVAL_MS),
            last_run_at: now,
            totals_at: now,
            silent_totals_at: now,
            reported_at: now,
            proxies: BTreeMap::new(),
            others: BTreeMap::new(),
            outboxes: BTreeMap::new(),
            accounts: BTreeMap::new(),
            sent: HashMap::default(),
        }
    }

    /// When [`Relay::run`] is due.
    pub fn next_deadline(&self) -> Instant {
        self.run_at
    }

    /// Whether no other proxy has reported for a while.
    pub fn is_unused(&self, now: Instant) -> bool {
        now.since_ms(self.reported_at) > RETIRE_MS
    }

    /// Applies changed limits.
    pub fn configure(&mut self, limits: &BTreeMap<OrganisationKey, QuotaLimit>) {
        self.accounts.retain(|key, _| limits.contains_key(key));
        self.sent.retain(|key, _| limits.contains_key(key));
        for (key, account) in &mut self.accounts {
            account.set_limit(limits[key]);
        }
    }

    /// Handles the report of a proxy and returns the answer.
    pub fn receive_report(
        &mut self,
        cx: &Context<'_>,
        limits: &BTreeMap<OrganisationKey, QuotaLimit>,
        from: NodeId,
        counters: &Counters,
    ) -> QuotaMessage {
        self.resume(cx.now);
        if from != cx.me.id {
            self.reported_at = cx.now;
        }
        let inbox = self.proxies.entry(from).or_default();
        let received = inbox.receive(cx.now, counters, PROXY_SILENT_MS);
        let acknowledgement = inbox.acknowledgement();
        if let Received::Changes { changes, .. } = received {
            for (key, change) in changes {
                let Some(account) = self.account(cx.now, limits, key) else { continue };
                account.add_own(change);
                if account.unsent >= account.early_totals_calls() {
                    self.hasten(cx.now);
                }
            }
        }
        self.fractions(cx.now, acknowledgement)
    }

    /// Takes over debts that were incurred before this relay started.
    pub fn adopt_debts(
        &mut self,
        cx: &Context<'_>,
        limits: &BTreeMap<OrganisationKey, QuotaLimit>,
        debts: &[(OrganisationKey, u32)],
    ) {
        self.resume(cx.now);
        if cx.now.since_ms(self.started_at) >= ADOPT_DEBTS_MS {
            return;
        }
        for (key, calls) in debts {
            if let Some(account) = self.account(cx.now, limits, *key) {
                account.adopt_debt(*calls);
            }
        }
    }

    /// Handles the totals of another relay.
    pub fn receive_totals(
        &mut self,
        cx: &Context<'_>,
        limits: &BTreeMap<OrganisationKey, QuotaLimit>,
        (from, zone): (NodeId, Name),
        (proxies, counters, acknowledgement): (u32, &Counters, Acknowledgement),
    ) {
        self.resume(cx.now);
        self.outboxes.entry(from).or_default().acknowledge(acknowledgement);
        let other = Other { zone, inbox: Inbox::default(), proxies };
        let other = self.others.entry(from).or_insert(other);
        let was_current = other.inbox.is_current(cx.now, RELAY_SILENT_MS);
        let received = other.inbox.receive(cx.now, counters, RELAY_SILENT_MS);
        if matches!(received, Received::Ignored) {
            return;
        }
        other.proxies = proxies;
        if !was_current {
            // The other relay may have no counters of this one.
            self.totals_at = self.totals_at.min(cx.now);
            self.hasten(cx.now);
        }
        let Received::Changes { elapsed_ms, changes } = received else { return };
        for (key, _) in &changes {
            self.account(cx.now, limits, *key);
        }
        let changes: HashMap<OrganisationKey, _> = changes.into_iter().collect();
        let mut is_fast = false;
        for (key, account) in &mut self.accounts {
            let change = changes.get(key).copied().unwrap_or_default();
            account.add_other(from, cx.now, change, elapsed_ms);
            is_fast |= change.admitted >= account.early_totals_calls();
        }
        if is_fast {
            self.hasten(cx.now);
        }
    }

    /// Computes the fractions, sends those that fell and sends totals that are due.
    pub fn run(&mut self, cx: &mut Context<'_>, peers: &Peers, membership: &Membership) {
        if cx.now < self.run_at {
            return;
        }
        self.resume(cx.now);
        self.last_run_at = cx.now;
        self.run_at = cx.now.plus_ms(RUN_INTERVAL_MS);
        self.proxies.retain(|id, _| membership.member(*id).is_some());
        self.others.retain(|id, _| membership.member(*id).is_some());
        self.update_accounts(cx, peers);
        self.push_fractions(cx);
        let is_fast =
            self.accounts.values().any(|account| account.unsent >= account.early_totals_calls());
        if is_fast || cx.now >= self.totals_at {
            self.send_totals(cx, peers);
        }
    }

    fn update_accounts(&mut self, cx: &Context<'_>, peers: &Peers) {
        let now = cx.now;
        let own = &cx.me.locality.availability_zone;
        let reporting = |max_gap_ms| {
            let mut sum = 0;
            for (name, zone) in &peers.zones {
                let others = self.others.values();
                let others =
                    others.filter(|o| o.zone == *name && o.inbox.is_current(now, max_gap_ms));
                let mut count: u32 = others.map(|other| other.proxies).sum();
                if name == own {
                    count += self.reporting_proxies(now);
                }
                sum += count.min(zone.members);
            }
            f64::from(sum) / f64::from(peers.members.max(1))
        };
        let is_current = |source: NodeId| {
            let other = self.others.get(&source);
            source == cx.me.id
                || other.is_some_and(|other| other.inbox.is_current(now, RELAY_SILENT_MS))
        };
        let is_alone = !self.others.values().any(|o| o.inbox.is_current(now, RELAY_SILENT_MS));
        let reserved = 1.0 - reporting(RELAY_SILENT_MS);
        let around = Surroundings {
            now,
            reserved,
            doubtful: 1.0 - reporting(RELAY_DOUBTFUL_MS),
            alone: is_alone.then_some(1.0 - reserved),
            is_current: &is_current,
        };
        for account in self.accounts.values_mut() {
            account.sample_own(cx.me.id, now);
            account.update(&around);
        }
    }

    fn push_fractions(&mut self, cx: &mut Context<'_>) {
        let mut has_fallen = false;
        for (key, account) in &self.accounts {
            let sent = self.sent.entry(*key).or_insert(1.0);
            has_fallen |= account.fraction < PUSH_BELOW * *sent;
            *sent = sent.max(account.fraction);
        }
        if !has_fallen {
            return;
        }
        self.sent = self.accounts.iter().map(|(key, a)| (*key, a.fraction)).collect();
        for (id, inbox) in &self.proxies {
            if *id != cx.me.id && inbox.is_current(cx.now, PROXY_SILENT_MS) {
                cx.send(*id, self.fractions(cx.now, inbox.acknowledgement()));
            }
        }
    }

    fn send_totals(&mut self, cx: &mut Context<'_>, peers: &Peers) {
        self.totals_at = cx.now.plus_ms(TOTALS_INTERVAL_MS);
        let retries_silent = cx.now >= self.silent_totals_at;
        if retries_silent {
            self.silent_totals_at = cx.now.plus_ms(SILENT_TOTALS_INTERVAL_MS);
        }
        let mut receivers: BTreeSet<NodeId> = BTreeSet::new();
        let current = |other: &&Other| other.inbox.is_current(cx.now, RELAY_SILENT_MS);
        receivers.extend(self.others.iter().filter(|(_, o)| current(o)).map(|(id, _)| *id));
        for (name, zone) in &peers.zones {
            let is_own = *name == cx.me.locality.availability_zone;
            let is_heard = self.others.values().filter(current).any(|other| other.zone == *name);
            if is_own || is_heard {
                receivers.extend(zone.candidates.first());
            }
            // The first candidate may be stopped while another one acts as the relay. In the own
            // zone, that may be a process that does not know of this one.
            if retries_silent && (is_own || !is_heard) {
                receivers.extend(&zone.candidates);
            }
        }
        receivers.remove(&cx.me.id);
        self.outboxes.retain(|id, _| receivers.contains(id) || self.others.contains_key(id));
        let proxies = self.reporting_proxies(cx.now);
        let debts = self.accounts.iter().map(|(key, account)| (*key, account.debt_calls()));
        let debts: Vec<(OrganisationKey, u32)> = debts.filter(|(_, calls)| *calls > 0).collect();
        for receiver in receivers {
            let outbox = self.outboxes.entry(receiver).or_default();
            let counters = outbox.next(cx, rows(&self.accounts));
            let inbox = self.others.get(&receiver).map(|other| other.inbox.acknowledgement());
            let acknowledgement =
                inbox.unwrap_or(Acknowledgement { sequence: 0, needs_full: true });
            let debts = debts.clone();
            cx.send(receiver, QuotaMessage::Totals { proxies, counters, debts, acknowledgement });
        }
        self.accounts.values_mut().for_each(|account| account.unsent = 0.0);
    }

    /// Organisations whose fraction is below 1.
    pub fn limited(&self) -> impl Iterator<Item = (OrganisationKey, f64)> {
        let limited = self.accounts.iter().filter(|(_, account)| account.fraction < 1.0);
        limited.map(|(key, account)| (*key, account.fraction))
    }

    fn fractions(&self, now: Instant, acknowledgement: Acknowledgement) -> QuotaMessage {
        let is_ready = self.is_ready(now);
        let limited = self.limited().filter(|_| is_ready);
        let fractions = limited.map(|(key, share)| (key, Fraction::of(share))).collect();
        QuotaMessage::Fractions { acknowledgement, is_ready, fractions }
    }

    fn reporting_proxies(&self, now: Instant) -> u32 {
        let is_current = |inbox: &&Inbox| inbox.is_current(now, PROXY_SILENT_MS);
        self.proxies.values().filter(is_current).count() as u32
    }

    /// Whether it has counted for long enough to distribute fractions.
    pub fn is_ready(&self, now: Instant) -> bool {
        now.since_ms(self.started_at.max(self.resumed_at(now))) >= READY_AFTER_MS
    }

    fn resumed_at(&self, now: Instant) -> Instant {
        if now.since_ms(self.last_run_at) > STOPPED_MS { now } else { self.started_at }
    }

    fn hasten(&mut self, now: Instant) {
        self.run_at = self.run_at.min(self.last_run_at.plus_ms(MIN_RUN_INTERVAL_MS).max(now));
    }

    /// Discards the counts of others if this process was stopped since the last run.
    fn resume(&mut self, now: Instant) {
        if now.since_ms(self.last_run_at) <= STOPPED_MS {
            return;
        }
        self.last_run_at = now;
        self.started_at = now;
        self.proxies.values_mut().for_each(Inbox::discard);
        self.others.values_mut().for_each(|other| other.inbox.discard());
        self.accounts.values_mut().for_each(|account| account.discard(now));
    }

    fn account(
        &mut self,
        now: Instant,
        limits: &BTreeMap<OrganisationKey, QuotaLimit>,
        key: OrganisationKey,
    ) -> Option<&mut Account> {
        let limit = *limits.get(&key)?;
        let known_s = now.since_ms(self.started_at) as f64 / 1_000.0;
        Some(self.accounts.entry(key).or_insert_with(|| Account::new(limit, now, known_s)))
    }
}

fn rows(
    accounts: &BTreeMap<OrganisationKey, Account>,
) -> impl Iterator<Item = CounterRow> + use<'_> {
    accounts.iter().map(|(key, account)| (*key, account.total.admitted, account.total.demanded))
}
