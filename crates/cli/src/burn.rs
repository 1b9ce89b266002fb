//! `burn`: the service-level burn report as a table, JSON or a chart.

use std::path::Path;

use fireflylug_core::slo::{BurnReport, BurnRow};
use plotters::coord::Shift;
use plotters::prelude::*;
use tabled::Tabled;

use crate::args::Output;
use crate::client::Client;
use crate::{CliError, output, read};

/// Burn rate above which an operator must act now.
const PAGE_BURN: f64 = 14.4;
/// Burn rate above which an operator must act today.
const TICKET_BURN: f64 = 6.0;
/// Size of the chart, in pixels.
const CHART_SIZE: (u32, u32) = (960, 480);
/// Width of the bars of one objective, as a fraction of its slot on the x axis.
const GROUP_WIDTH: f64 = 0.8;
/// Windows of a row with the colours of their bars.
const WINDOWS: [(&str, RGBColor); 4] = [
    ("5 min", RGBColor(31, 119, 180)),
    ("30 min", RGBColor(108, 172, 216)),
    ("1 h", RGBColor(214, 110, 39)),
    ("6 h", RGBColor(240, 178, 122)),
];

#[derive(Tabled)]
struct Row {
    service: String,
    policy: String,
    objective: String,
    target: String,
    counted: u64,
    bad: u64,
    refused: u64,
    cancelled: u64,
    #[tabled(rename = "5 min")]
    five_minutes: String,
    #[tabled(rename = "30 min")]
    thirty_minutes: String,
    #[tabled(rename = "1 h")]
    one_hour: String,
    #[tabled(rename = "6 h")]
    six_hours: String,
    budget_left: String,
    urgency: String,
    worst_zone: String,
}

/// Prints the burn report and writes it as a chart if a file is given.
pub async fn burn(client: &mut Client, svg: Option<&Path>, format: Output) -> Result<(), CliError> {
    let response = client.read("/v1/burn").await?;
    let report: BurnReport = read::decode(response.clone())?;
    match format {
        Output::Json => output::json(&response)?,
        Output::Table => output::table(&report.rows.iter().map(row).collect::<Vec<_>>())?,
    }
    if let Some(file) = svg {
        let svg_text = chart(&report)?;
        std::fs::write(file, svg_text).map_err(|error| {
            CliError::Failed(format!("--svg {}: cannot be written: {error}", file.display()))
        })?;
    }
    Ok(())
}

fn row(row: &BurnRow) -> Row {
    let latency = row.latency_ms.map(|ms| format!(" within {ms} ms")).unwrap_or_default();
    Row {
        service: row.service.to_string(),
        policy: row.policy.to_string(),
        objective: row.objective.to_string(),
        target: format!("{:.3} %{latency}", f64::from(row.target_ppm) / 10_000.0),
        counted: row.counted,
        bad: row.bad,
        refused: row.refused,
        cancelled: row.cancelled,
        five_minutes: burn_rate(row.burn.five_minutes_permille),
        thirty_minutes: burn_rate(row.burn.thirty_minutes_permille),
        one_hour: burn_rate(row.burn.one_hour_permille),
        six_hours: burn_rate(row.burn.six_hours_permille),
        budget_left: format!("{:.1} %", row.budget_left_permille as f64 / 10.0),
        urgency: row.urgency.to_string(),
        worst_zone: row.worst.as_ref().map(|w| w.availability_zone.to_string()).unwrap_or_default(),
    }
}

fn burn_rate(permille: u64) -> String {
    format!("{:.1}", permille as f64 / 1_000.0)
}

/// Draws the burn rates of each objective by window as SVG.
pub fn chart(report: &BurnReport) -> Result<String, CliError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
    let drawn = draw(&area, report).and_then(|()| area.present().map_err(|e| e.to_string()));
    drop(area);
    drawn.map_err(|error| CliError::Failed(format!("cannot draw the chart: {error}")))?;
    Ok(svg)
}

fn draw(area: &DrawingArea<SVGBackend<'_>, Shift>, report: &BurnReport) -> Result<(), String> {
    let error_text =
        |error: DrawingAreaErrorKind<_>| -> String { DrawingAreaErrorKind::to_string(&error) };
    area.fill(&WHITE).map_err(error_text)?;
    let slot_count = report.rows.len().max(1) as f64;
    let y_max = highest_burn(report).max(PAGE_BURN) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption("Service-level burn (1 spends the budget in 30 days)", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..slot_count, 0.0..y_max)
        .map_err(error_text)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(report.rows.len().max(1) * 2 + 1)
        .x_label_formatter(&|x| axis_label(report, *x))
        .y_desc("burn")
        .draw()
        .map_err(error_text)?;
    for (index, (name, colour)) in WINDOWS.into_iter().enumerate() {
        let bars = report.rows.iter().enumerate().map(|(slot, row)| bar(slot, index, row));
        let bars = bars.map(|corners| Rectangle::new(corners, colour.filled()));
        let series = chart.draw_series(bars).map_err(error_text)?;
        series
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    for (name, burn, colour) in [("act now", PAGE_BURN, RED), ("act today", TICKET_BURN, MAGENTA)] {
        let line = LineSeries::new([(0.0, burn), (slot_count, burn)], colour);
        let series = chart.draw_series(line).map_err(error_text)?;
        series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 10, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(error_text)
}

fn bar(slot: usize, window: usize, row: &BurnRow) -> [(f64, f64); 2] {
    let width = GROUP_WIDTH / WINDOWS.len() as f64;
    let left = slot as f64 + (1.0 - GROUP_WIDTH) / 2.0 + window as f64 * width;
    [(left, 0.0), (left + width, burn_of(row, window))]
}

/// Returns the burn rate of the window at this index of [`WINDOWS`].
fn burn_of(row: &BurnRow, window: usize) -> f64 {
    let burn = &row.burn;
    let permille = match window {
        0 => burn.five_minutes_permille,
        1 => burn.thirty_minutes_permille,
        2 => burn.one_hour_permille,
        _ => burn.six_hours_permille,
    };
    permille as f64 / 1_000.0
}

fn highest_burn(report: &BurnReport) -> f64 {
    let burns = report.rows.iter().flat_map(|row| (0..WINDOWS.len()).map(|w| burn_of(row, w)));
    burns.fold(0.0, f64::max)
}

/// Returns the label of a row at the middle of its slot, and an empty text elsewhere.
fn axis_label(report: &BurnReport, x: f64) -> String {
    if (x.fract() - 0.5).abs() > 0.01 {
        return String::new();
    }
    let row = report.rows.get(x as usize);
    row.map(|row| format!("{} {}", row.service, row.objective)).unwrap_or_default()
}
