//! The burn report.

use serde::{Deserialize, Serialize};

use super::counts::Counts;
use super::series::Series;
use crate::ids::Name;
use crate::resource::Objective;
use crate::time::Instant;

/// Burn of a pair of windows above which an operator must act now, in thousandths.
const PAGE_PERMILLE: u64 = 14_400;
/// Burn of a pair of windows above which an operator must act today, in thousandths.
const TICKET_PERMILLE: u64 = 6_000;
/// One million parts, one thousand thousandths.
const MILLION: u64 = 1_000_000;

/// The burn report: two rows for each service and policy with an objective.
///
/// Only control replicas hold one, each by itself, since its own start.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Rows, by service, policy and kind of objective.
    pub rows: Vec<BurnRow>,
}

/// Kind of an objective.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ObjectiveKind {
    /// Share of calls that are answered well.
    Availability,
    /// Share of calls that are answered well in time.
    Latency,
}

/// Burn of one objective of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Service.
    pub service: Name,
    /// Policy that holds the objective.
    pub policy: Name,
    /// Kind of the objective.
    pub objective: ObjectiveKind,
    /// Share of calls that must be good, in parts per million.
    pub target_ppm: u32,
    /// Time within which a call counts as fast, in milliseconds; for latency only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_ms: Option<u32>,
    /// Calls that count, over 30 days or since the replica started.
    pub counted: u64,
    /// Of these, calls that were not good.
    pub bad: u64,
    /// Of these, calls that the mesh refused.
    pub refused: u64,
    /// Calls that their caller cancelled. Not among those that count.
    pub cancelled: u64,
    /// Share of the 30 days' budget that is left, in thousandths; below 0 when overspent.
    pub budget_left_permille: i64,
    /// Burn by window.
    pub burn: BurnWindows,
    /// What the burn asks of an operator.
    pub urgency: Urgency,
    /// The availability zone of callers with the highest burn over one hour.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worst: Option<ZoneBurn>,
}

/// Burn by window, in thousandths: 1,000 spends the budget exactly over 30 days.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BurnWindows {
    /// Last 5 minutes.
    pub five_minutes_permille: u64,
    /// Last hour.
    pub one_hour_permille: u64,
    /// Last 30 minutes.
    pub thirty_minutes_permille: u64,
    /// Last 6 hours.
    pub six_hours_permille: u64,
}

/// Burn of one availability zone over one hour.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneBurn {
    /// Availability zone of the proxies that took the calls.
    pub availability_zone: Name,
    /// Burn over one hour, in thousandths.
    pub one_hour_permille: u64,
}

/// What a burn asks of an operator. Both windows of a pair must burn, so that
/// neither a short peak nor one that is over asks for anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Urgency {
    /// Nothing.
    None,
    /// Act today: 30 minutes and 6 hours burn at 6 or more.
    Ticket,
    /// Act now: 5 minutes and 1 hour burn at 14.4 or more.
    Page,
}

impl ObjectiveKind {
    fn target_ppm(self, objective: &Objective) -> u32 {
        match self {
            Self::Availability => objective.availability_ppm,
            Self::Latency => objective.latency_ppm,
        }
    }

    fn bad(self, counts: &Counts) -> u32 {
        match self {
            Self::Availability => counts.failed,
            Self::Latency => counts.slow,
        }
    }

    /// Share of the allowed bad calls that were bad, in thousandths.
    fn burn_permille(self, objective: &Objective, counts: &Counts) -> u64 {
        let allowed_ppm = MILLION.saturating_sub(u64::from(self.target_ppm(objective))).max(1);
        let bad = u64::from(self.bad(counts));
        // Bad and counted calls fit in 32 bits each: no product overflows.
        bad * MILLION / u64::from(counts.counted.max(1)) * 1_000 / allowed_ppm
    }
}

impl BurnRow {
    /// Makes the row of one objective from the series of each availability zone.
    pub(super) fn new(
        (service, policy): (&Name, &Name),
        kind: ObjectiveKind,
        objective: &Objective,
        zones: &[(&Name, &Series)],
        now: Instant,
    ) -> Self {
        let burn = |counts: Counts| kind.burn_permille(objective, &counts);
        let window = |minutes| burn(sum(zones, |series| series.last_minutes(now, minutes)));
        let windows = BurnWindows {
            five_minutes_permille: window(5),
            one_hour_permille: window(60),
            thirty_minutes_permille: window(30),
            six_hours_permille: window(360),
        };
        let worst = zones.iter().map(|(zone, series)| (burn(series.last_minutes(now, 60)), *zone));
        let month = sum(zones, |series| series.last_month(now));
        Self {
            service: service.clone(),
            policy: policy.clone(),
            objective: kind,
            target_ppm: kind.target_ppm(objective),
            latency_ms: (kind == ObjectiveKind::Latency).then_some(objective.latency_ms),
            counted: month.counted.into(),
            bad: kind.bad(&month).into(),
            refused: month.refused.into(),
            cancelled: month.cancelled.into(),
            budget_left_permille: 1_000 - burn(month) as i64,
            burn: windows,
            urgency: windows.urgency(),
            worst: worst.max().filter(|(burn, _)| *burn > 0).map(|(burn, zone)| ZoneBurn {
                availability_zone: zone.clone(),
                one_hour_permille: burn,
            }),
        }
    }
}

fn sum(zones: &[(&Name, &Series)], of: impl Fn(&Series) -> Counts) -> Counts {
    let mut all = Counts::default();
    zones.iter().for_each(|(_, series)| all.add(&of(series)));
    all
}

impl BurnWindows {
    fn urgency(&self) -> Urgency {
        if self.five_minutes_permille.min(self.one_hour_permille) >= PAGE_PERMILLE {
            Urgency::Page
        } else if self.thirty_minutes_permille.min(self.six_hours_permille) >= TICKET_PERMILLE {
            Urgency::Ticket
        } else {
            Urgency::None
        }
    }
}
