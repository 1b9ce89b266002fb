//! The burn report: burn rates of error budgets over several time windows.

use serde::{Deserialize, Serialize};

use super::counts::Counts;
use super::series::Series;
use crate::ids::Name;
use crate::resource::Objective;
use crate::time::Instant;

/// Burn rate of both windows of a pair at which an operator must act now, in thousandths.
const PAGE_PERMILLE: u64 = 14_400;
/// Burn rate of both windows of a pair at which an operator must act today, in thousandths.
const TICKET_PERMILLE: u64 = 6_000;
/// Parts per million in 100 percent.
const MILLION: u64 = 1_000_000;

/// The burn report: two rows for each service and policy with an objective.
///
/// Each control replica builds its own report from the counts received since it started.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Rows, ordered by service, policy and kind of objective.
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
    /// Share of calls that succeed.
    Availability,
    /// Share of calls that succeed within the objective's latency.
    Latency,
}

/// Burn rate and error budget of one objective of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Service.
    pub service: Name,
    /// Policy that declares the objective.
    pub policy: Name,
    /// Kind of the objective.
    pub objective: ObjectiveKind,
    /// Share of calls that must meet the objective, in parts per million.
    pub target_ppm: u32,
    /// Latency within which a call meets the objective, in milliseconds; for latency only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_ms: Option<u32>,
    /// Calls that count, over the last 30 days or since the replica started.
    pub counted: u64,
    /// Of these, calls that missed the objective.
    pub bad: u64,
    /// Of these, calls refused by the mesh.
    pub refused: u64,
    /// Calls cancelled by their caller. Not included in `counted`.
    pub cancelled: u64,
    /// Share of the 30-day error budget that is left, in thousandths; negative when it is
    /// overspent.
    pub budget_left_permille: i64,
    /// Burn rate in each time window.
    pub burn: BurnWindows,
    /// Urgency of the burn rate.
    pub urgency: Urgency,
    /// The availability zone of ingress proxies with the highest burn rate over one hour.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worst: Option<ZoneBurn>,
}

/// Burn rate in each time window, in thousandths: at 1,000 the error budget is spent in
/// exactly 30 days.
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

/// Burn rate of one availability zone over one hour.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneBurn {
    /// Availability zone of the ingress proxies of the calls.
    pub availability_zone: Name,
    /// Burn rate over one hour, in thousandths.
    pub one_hour_permille: u64,
}

/// Action that a burn rate requires of an operator. Both windows of a pair must reach
/// the threshold, so that neither a short peak nor one that has ended raises an alert.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Urgency {
    /// No action.
    None,
    /// Act today: the burn rates over 30 minutes and 6 hours are 6 or more.
    Ticket,
    /// Act now: the burn rates over 5 minutes and 1 hour are 14.4 or more.
    Page,
}

impl ObjectiveKind {
    fn target_ppm(self, objective: &Objective) -> u32 {
        match self {
            Self::Availability => objective.availability_ppm,
            Self::Latency => objective.latency_ppm,
        }
    }

    fn bad_calls(self, counts: &Counts) -> u32 {
        match self {
            Self::Availability => counts.failed,
            Self::Latency => counts.slow,
        }
    }

    /// Ratio of the bad calls to the allowed bad calls, in thousandths.
    fn burn_permille(self, objective: &Objective, counts: &Counts) -> u64 {
        let allowed_ppm = MILLION.saturating_sub(u64::from(self.target_ppm(objective))).max(1);
        let bad = u64::from(self.bad_calls(counts));
        // The numbers of bad and counted calls fit in 32 bits each: no product overflows.
        bad * MILLION / u64::from(counts.counted.max(1)) * 1_000 / allowed_ppm
    }
}

impl BurnRow {
    /// Creates the row of one objective from the series of each availability zone.
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
            bad: kind.bad_calls(&month).into(),
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
    let mut total = Counts::default();
    zones.iter().for_each(|(_, series)| total.add(&of(series)));
    total
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
