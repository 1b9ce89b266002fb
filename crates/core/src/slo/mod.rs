//! Service-level burn: counts of calls against the objectives of their policies.
//!
//! Every proxy counts the calls that it takes as ingress. Each interval it
//! sends what it counted to one proxy of its availability zone (the alive one
//! with the lowest key), which adds the counts of its zone up and sends the
//! sums to every control replica. A replica keeps them in bounded buckets and
//! makes the [`BurnReport`] of them.

mod counts;
mod report;
mod series;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

pub use counts::{CountKey, Counts};
pub use report::{BurnReport, BurnRow, BurnWindows, ObjectiveKind, Urgency, ZoneBurn};

use crate::collections::HashMap;
use crate::config::Configuration;
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::membership::{Member, MemberStatus, Membership};
use crate::resource::Policy;
use crate::time::Instant;
use counts::{CountMap, Outbox};
use series::Series;

/// Time between two sendings of counts, in milliseconds.
const SEND_INTERVAL_MS: u64 = 15_000;
/// Most objectives whose counts are kept, over all availability zones.
const MAX_SERIES: usize = 2_048;

/// Messages that add counts up over proxies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SloMessage {
    /// What was counted since the last acknowledged message.
    Counts {
        /// Whom the counts are for.
        leg: Leg,
        /// Incarnation of the sender.
        incarnation: u64,
        /// Number of the message within the incarnation. Sent again under the
        /// same number until it is acknowledged.
        sequence: u64,
        /// The counts.
        rows: Vec<(CountKey, Counts)>,
    },
    /// Counts were taken in.
    Acknowledged {
        /// Whom the counts were for.
        leg: Leg,
        /// Number of the message.
        sequence: u64,
    },
}

/// Whom counts are for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Leg {
    /// The proxy that adds the counts of its availability zone up.
    Zone,
    /// A control replica.
    Replica,
}

/// How a call of this ingress ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A target answered.
    Answered {
        /// Whether the answer was whole and no server error.
        is_good: bool,
        /// Time from the call's arrival to the end of the answer, in microseconds.
        took_us: u64,
    },
    /// The mesh answered itself.
    Refused,
    /// The caller hung up.
    Cancelled,
}

/// Counts at this process and what it heard of others.
#[derive(Default)]
pub struct Slo {
    configuration: Arc<Configuration>,
    /// Calls of this proxy since the last sending, by service and policy.
    own: HashMap<(Name, Name), Counts>,
    /// To the proxy that adds this zone's counts up.
    to_zone: Outbox,
    /// Counts of this zone, where this proxy is the one that adds them up.
    zone: CountMap,
    /// To each control replica, from the proxy that adds up.
    to_replicas: BTreeMap<NodeId, Outbox>,
    /// Last incarnation and sequence taken from each sender.
    taken: HashMap<(NodeId, Leg), (u64, u64)>,
    /// Counts over time. Control replicas only.
    series: BTreeMap<CountKey, Series>,
    next_send_at: Instant,
    is_timed: bool,
}

impl Slo {
    /// Makes empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// A version came into force at this process.
    pub fn configure(&mut self, cx: &mut Context<'_>, configuration: Arc<Configuration>) {
        self.configuration = configuration;
        if !self.is_timed {
            // Proxies that start together do not all send together.
            let wait_ms = cx.rng.random_range(0..SEND_INTERVAL_MS);
            self.next_send_at = cx.now.plus_ms(wait_ms);
            self.is_timed = true;
        }
    }

    /// Counts a call that ended, if its policy has an objective.
    pub fn count(&mut self, service: &Name, policy: &Policy, result: CallResult) {
        let Some(objective) = &policy.objective else { return };
        // Cloned names are short and held inline.
        let key = (service.clone(), policy.name.clone());
        self.own.entry(key).or_default().add_call(objective, result);
    }

    /// A message from another process.
    pub fn step(&mut self, cx: &mut Context<'_>, from: NodeId, message: SloMessage) {
        match message {
            SloMessage::Counts { leg, incarnation, sequence, rows } => {
                cx.send(from, SloMessage::Acknowledged { leg, sequence });
                let number = (incarnation, sequence);
                if self.taken.insert((from, leg), number) != Some(number) {
                    self.take_in(cx.now, leg, rows);
                }
            }
            SloMessage::Acknowledged { leg: Leg::Zone, sequence } => {
                self.to_zone.acknowledged(sequence);
            }
            SloMessage::Acknowledged { leg: Leg::Replica, sequence } => {
                if let Some(outbox) = self.to_replicas.get_mut(&from) {
                    outbox.acknowledged(sequence);
                }
            }
        }
    }

    fn take_in(
        &mut self,
        now: Instant,
        leg: Leg,
        rows: impl IntoIterator<Item = (CountKey, Counts)>,
    ) {
        for (key, counts) in rows {
            match leg {
                Leg::Zone => self.zone.entry(key).or_default().add(&counts),
                Leg::Replica if self.series.len() < MAX_SERIES => {
                    self.series.entry(key).or_default().add(now, &counts);
                }
                Leg::Replica => {
                    if let Some(series) = self.series.get_mut(&key) {
                        series.add(now, &counts);
                    }
                }
            }
        }
    }

    /// When [`Slo::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        if self.is_timed { self.next_send_at } else { Instant::NEVER }
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if !self.is_timed || cx.now < self.next_send_at {
            return;
        }
        self.next_send_at = cx.now.plus_ms(SEND_INTERVAL_MS);
        self.taken.retain(|(sender, _), _| membership.member(*sender).is_some());
        self.send_own(cx, membership);
        self.send_zone(cx, membership);
    }

    fn send_own(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        for ((service, policy), counts) in self.own.drain() {
            let availability_zone = cx.me.locality.availability_zone.clone();
            self.to_zone.add(&CountKey { service, policy, availability_zone }, &counts);
        }
        match adder(cx, membership) {
            Some(adder) if adder != cx.me.id => self.to_zone.send(cx, Leg::Zone, adder),
            _ => {
                let own = self.to_zone.take();
                self.take_in(cx.now, Leg::Zone, own);
            }
        }
    }

    fn send_zone(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let replicas: Vec<NodeId> = membership.control_replicas().map(|member| member.id).collect();
        self.to_replicas.retain(|replica, _| replicas.contains(replica));
        if replicas.is_empty() {
            return;
        }
        let sums = std::mem::take(&mut self.zone);
        for replica in replicas {
            let outbox = self.to_replicas.entry(replica).or_default();
            sums.iter().for_each(|(key, counts)| outbox.add(key, counts));
            if replica != cx.me.id {
                outbox.send(cx, Leg::Replica, replica);
                continue;
            }
            let own = outbox.take();
            self.take_in(cx.now, Leg::Replica, own);
        }
    }

    /// The burn report as this control replica knows it, up to
    /// twice the sending interval ago. Empty at any other proxy.
    pub fn report(&self, now: Instant) -> BurnReport {
        let mut objectives: BTreeMap<(&Name, &Name), Vec<(&Name, &Series)>> = BTreeMap::new();
        for (key, series) in &self.series {
            let zones = objectives.entry((&key.service, &key.policy)).or_default();
            zones.push((&key.availability_zone, series));
        }
        let mut rows = Vec::new();
        for ((service, policy), zones) in objectives {
            let declared = self.configuration.policy(policy);
            let Some(objective) = declared.and_then(|policy| policy.objective) else { continue };
            for kind in ObjectiveKind::iter() {
                rows.push(BurnRow::new((service, policy), kind, &objective, &zones, now));
            }
        }
        BurnReport { rows }
    }
}

/// The proxy that adds the counts of this availability zone up.
fn adder(cx: &Context<'_>, membership: &Membership) -> Option<NodeId> {
    let zone = &cx.me.locality.availability_zone;
    let in_zone = |member: &&Member| {
        member.status == MemberStatus::Alive && member.locality.availability_zone == *zone
    };
    membership.members().filter(in_zone).map(|member| member.id).min()
}
