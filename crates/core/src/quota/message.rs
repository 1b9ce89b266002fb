//! Messages that account for the calls of organisations.

use serde::{Deserialize, Serialize};

/// Key of an organisation in messages: 32 bits of a hash of its name. Two organisations with the
/// same key share one account, which is limited by the quota of one of them.
pub type OrganisationKey = u32;

/// Messages that account for the calls of organisations.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Usage of one proxy, to the relay of its availability zone.
    #[serde(rename = "r")]
    Report(Counters),
    /// Response of a relay to a report, also sent when a fraction falls.
    #[serde(rename = "a")]
    Fractions {
        /// Which reports the relay has received.
        #[serde(rename = "a")]
        acknowledgement: Acknowledgement,
        /// Whether the relay has counted for long enough. Otherwise `fractions` is empty and the
        /// receiver continues as before.
        #[serde(rename = "r")]
        is_ready: bool,
        /// Admission fractions that are below 1. Every other organisation has 1.
        #[serde(rename = "f")]
        fractions: Vec<(OrganisationKey, Fraction)>,
    },
    /// Usage of the proxies that report to one relay, to another relay.
    #[serde(rename = "t")]
    Totals {
        /// Number of proxies from which the sender receives reports.
        #[serde(rename = "p")]
        proxies: u32,
        /// Their usage.
        #[serde(rename = "c")]
        counters: Counters,
        /// Organisations that have used more than their quota, and by how many calls. A relay that
        /// has just started takes these over.
        #[serde(rename = "d")]
        debts: Vec<(OrganisationKey, u32)>,
        /// Which totals of the receiver the sender has received.
        #[serde(rename = "a")]
        acknowledgement: Acknowledgement,
    },
    /// Asks a relay that did not answer for a while whether it does now.
    #[serde(rename = "p")]
    Probe,
    /// Answer to a probe.
    #[serde(rename = "q")]
    ProbeAnswer,
}

/// Cumulative counters of one sender.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Incarnation of the sender. The counters of an incarnation start from zero.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of the message among those of this sender to this receiver.
    #[serde(rename = "s")]
    pub sequence: u32,
    /// Time of sending on the clock of the sender, in milliseconds.
    #[serde(rename = "m")]
    pub sent_at_ms: u64,
    /// Whether every counter that is not zero is listed. Otherwise those are listed that changed
    /// since the last message that the receiver acknowledged.
    #[serde(rename = "f")]
    pub is_full: bool,
    /// Counters by organisation.
    #[serde(rename = "r")]
    pub rows: Vec<CounterRow>,
}

/// Counters of one organisation: key, admitted calls and demanded calls.
pub type CounterRow = (OrganisationKey, u32, u32);

/// Acknowledges counters.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Number of the last message that was received, 0 if none.
    #[serde(rename = "s")]
    pub sequence: u32,
    /// Whether the receiver lacks earlier counters, so that the next message has to be full.
    #[serde(rename = "n")]
    pub needs_full: bool,
}

/// Share of the calls of an organisation that is admitted, in units of 1 / 65,535.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fraction(u16);

impl Fraction {
    /// Every call is admitted.
    pub const ALL: Self = Self(u16::MAX);

    /// The closest fraction to a share.
    pub fn of(share: f64) -> Self {
        // The cast saturates.
        Self((share * f64::from(u16::MAX)).round() as u16)
    }

    /// The share, from 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.0) / f64::from(u16::MAX)
    }
}
