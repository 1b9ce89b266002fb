//! The chart of the burn report.

use fireflylug_cli::burn::chart;
use fireflylug_core::ids::Name;
use fireflylug_core::slo::{BurnReport, BurnRow, BurnWindows, ObjectiveKind, Urgency};
use rstest::rstest;

fn row(service: &str, one_hour_permille: u64) -> BurnRow {
    BurnRow {
        service: Name::new(service).unwrap(),
        policy: Name::new("lookup").unwrap(),
        objective: ObjectiveKind::Availability,
        target_ppm: 999_000,
        latency_ms: None,
        counted: 100,
        bad: 1,
        refused: 0,
        cancelled: 0,
        budget_left_permille: 900,
        burn: BurnWindows { one_hour_permille, ..BurnWindows::default() },
        urgency: Urgency::None,
        worst: None,
    }
}

#[rstest]
fn chart_names_each_service_and_the_thresholds() {
    let report = BurnReport { rows: vec![row("seatdesk", 2_000), row("bookbook", 30_000)] };

    let svg = chart(&report).unwrap();

    for text in ["seatdesk availability", "bookbook availability", "act now", "1 h", "30 min"] {
        assert!(svg.contains(text), "{text}");
    }
}

#[rstest]
fn chart_of_an_empty_report_is_drawn() {
    let svg = chart(&BurnReport::default()).unwrap();

    assert!(svg.starts_with("<svg"));
}
