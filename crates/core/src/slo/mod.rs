//! Service-level burn: counts calls against the objectives of their policies and
//! reports the burn rate of the error budgets.
//!
//! Every proxy counts the calls for which it is the ingress. At each interval it
//! sends its counts to the aggregator of its availability zone: the alive proxy with
//! the lowest node id. The aggregator sums the counts of its zone and sends the sums
//! to every control replica. A control replica stores them in a bounded number of
//! buckets and computes the [`BurnReport`] from them.

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

/// Interval at which counts are sent, in milliseconds.
const SEND_INTERVAL_MS: u64 = 15_000;
/// Maximum number of series: one for each service, policy and availability zone.
const MAX_SERIES: usize = 2_048;

/// Messages that aggregate counts over proxies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SloMessage {
    /// Counts since the last acknowledged message.
    Counts {
        /// Receiver of the counts.
        leg: Leg,
        /// Incarnation of the sender.
        incarnation: u64,
        /// Sequence number of the message within the incarnation. The message is resent
        /// with the same number until it is acknowledged.
        sequence: u64,
        /// The counts.
        rows: Vec<(CountKey, Counts)>,
    },
    /// Acknowledges counts.
    Acknowledged {
        /// Receiver of the acknowledged counts.
        leg: Leg,
        /// Incarnation of the process that sent the counts. Sequence numbers begin anew with it.
        #[serde(default)]
        incarnation: u64,
        /// Sequence number of the acknowledged message.
        sequence: u64,
    },
}

/// Kind of receiver of counts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Leg {
    /// The aggregator of an availability zone.
    Zone,
    /// A control replica.
    Replica,
}

/// Result of a call, as seen by its ingress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A target responded.
    Answered {
        /// Whether the response was complete and not a server error.
        is_success: bool,
        /// Time from the arrival of the call to the end of the response, in microseconds.
        took_us: u64,
    },
    /// The mesh refused the call.
    Refused,
    /// The caller disconnected.
    Cancelled,
}

/// Counts of this process, and counts received from other processes.
#[derive(Default)]
pub struct Slo {
    configuration: Arc<Configuration>,
    /// Calls of this proxy since counts were last sent, by service and policy.
    own_counts: HashMap<(Name, Name), Counts>,
    /// Queue to the aggregator of this zone.
    to_zone: Outbox,
    /// Counts of this zone, if this proxy is its aggregator.
    zone_counts: CountMap,
    /// Queues to the control replicas, if this proxy is the aggregator of its zone.
    to_replicas: BTreeMap<NodeId, Outbox>,
    /// Incarnation and sequence number of the last message from each sender. A message
    /// with the same pair is a duplicate.
    last_received: HashMap<(NodeId, Leg), (u64, u64)>,
    /// Counts over time. Used on control replicas only.
    series: BTreeMap<CountKey, Series>,
    next_send_at: Instant,
    is_scheduled: bool,
}

impl Slo {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles a configuration version that came into force at this process.
    pub fn configure(&mut self, cx: &mut Context<'_>, configuration: Arc<Configuration>) {
        self.configuration = configuration;
        if !self.is_scheduled {
            // A random first delay keeps proxies that start together from sending together.
            let first_delay_ms = cx.rng.random_range(0..SEND_INTERVAL_MS);
            self.next_send_at = cx.now.plus_ms(first_delay_ms);
            self.is_scheduled = true;
        }
    }

    /// Counts a completed call, if its policy has an objective.
    pub fn count(&mut self, service: &Name, policy: &Policy, result: CallResult) {
        let Some(objective) = &policy.objective else { return };
        // Cloning is cheap: names are short and stored inline.
        let key = (service.clone(), policy.name.clone());
        self.own_counts.entry(key).or_default().add_call(objective, result);
    }

    /// Handles a message from another process.
    pub fn step(&mut self, cx: &mut Context<'_>, from: NodeId, message: SloMessage) {
        match message {
            SloMessage::Counts { leg, incarnation, sequence, rows } => {
                cx.send(from, SloMessage::Acknowledged { leg, incarnation, sequence });
                let message_number = (incarnation, sequence);
                if self.last_received.insert((from, leg), message_number) != Some(message_number) {
                    self.add_counts(cx.now, leg, rows);
                }
            }
            SloMessage::Acknowledged { incarnation, .. } if incarnation != cx.me.incarnation => {}
            SloMessage::Acknowledged { leg: Leg::Zone, sequence, .. } => {
                self.to_zone.acknowledged(sequence);
            }
            SloMessage::Acknowledged { leg: Leg::Replica, sequence, .. } => {
                if let Some(outbox) = self.to_replicas.get_mut(&from) {
                    outbox.acknowledged(sequence);
                }
            }
        }
    }

    fn add_counts(
        &mut self,
        now: Instant,
        leg: Leg,
        rows: impl IntoIterator<Item = (CountKey, Counts)>,
    ) {
        for (key, counts) in rows {
            match leg {
                Leg::Zone => self.zone_counts.entry(key).or_default().add(&counts),
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

    /// Time at which [`Slo::tick`] must be called.
    pub fn next_deadline(&self) -> Instant {
        if self.is_scheduled { self.next_send_at } else { Instant::NEVER }
    }

    /// Sends the counts, if the interval has passed.
    pub fn tick(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if !self.is_scheduled || cx.now < self.next_send_at {
            return;
        }
        self.next_send_at = cx.now.plus_ms(SEND_INTERVAL_MS);
        self.last_received.retain(|(sender, _), _| membership.member(*sender).is_some());
        self.send_own_counts(cx, membership);
        self.send_zone_counts(cx, membership);
    }

    fn send_own_counts(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        for ((service, policy), counts) in self.own_counts.drain() {
            let availability_zone = cx.me.locality.availability_zone.clone();
            self.to_zone.add(&CountKey { service, policy, availability_zone }, &counts);
        }
        match zone_aggregator(cx, membership) {
            Some(aggregator) if aggregator != cx.me.id => {
                self.to_zone.send(cx, Leg::Zone, aggregator)
            }
            _ => {
                let own = self.to_zone.drain();
                self.add_counts(cx.now, Leg::Zone, own);
            }
        }
    }

    fn send_zone_counts(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        let replicas: Vec<NodeId> = membership.control_replicas().map(|member| member.id).collect();
        self.to_replicas.retain(|replica, _| replicas.contains(replica));
        if replicas.is_empty() {
            return;
        }
        let sums = std::mem::take(&mut self.zone_counts);
        for replica in replicas {
            let outbox = self.to_replicas.entry(replica).or_default();
            sums.iter().for_each(|(key, counts)| outbox.add(key, counts));
            if replica != cx.me.id {
                outbox.send(cx, Leg::Replica, replica);
                continue;
            }
            let own = outbox.drain();
            self.add_counts(cx.now, Leg::Replica, own);
        }
    }

    /// Builds the burn report from the counts that this control replica has received.
    /// The counts may be up to two sending intervals old. The report is empty on a
    /// process that is not a control replica.
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

/// Returns the aggregator of this availability zone.
fn zone_aggregator(cx: &Context<'_>, membership: &Membership) -> Option<NodeId> {
    let zone = &cx.me.locality.availability_zone;
    let in_zone = |member: &&Member| {
        member.status == MemberStatus::Alive && member.locality.availability_zone == *zone
    };
    membership.members().filter(in_zone).map(|member| member.id).min()
}
