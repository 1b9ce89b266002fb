//! The report of a run, and the guarantees that it checks.

use std::fmt;

use crate::load::{Calls, ReportedOutcome};
use crate::mesh::Mesh;

/// Maximum time from acceptance to in force, in milliseconds.
const CONVERGENCE_LIMIT_MS: u64 = 10_000;
/// Maximum number of examples printed for truncated responses.
const MAX_EXAMPLES: usize = 5;

/// Bytes sent between processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlBytes {
    /// Bytes sent by every process.
    total: u64,
    /// Those of them that were sent to processes of another region.
    across_regions: u64,
}

impl ControlBytes {
    /// Adds the sent bytes of one daemon in `region`, from its metrics.
    pub fn add(&mut self, metrics: &str, region: &str) {
        let own = format!("region=\"{region}\"");
        let sent = metrics.lines().filter(|line| line.starts_with("fireflylug_peer_sent_bytes"));
        for line in sent {
            let bytes: f64 =
                line.rsplit(' ').next().and_then(|value| value.parse().ok()).unwrap_or(0.0);
            self.total += bytes as u64;
            if !line.contains(&own) {
                self.across_regions += bytes as u64;
            }
        }
    }

    /// Returns the bytes sent since `before`.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            total: self.total.saturating_sub(before.total),
            across_regions: self.across_regions.saturating_sub(before.across_regions),
        }
    }
}

/// Results of a run.
#[derive(Default)]
pub struct Report {
    /// Time from acceptance to in force of the first change, in milliseconds.
    pub first_change_ms: u64,
    /// Time from acceptance to in force of each change under load, in milliseconds.
    pub convergence_ms: Vec<u64>,
    /// Traffic between processes while the configuration was changed.
    pub control_bytes: ControlBytes,
    /// Results of the calls.
    pub calls: Calls,
    /// Bookings that ran more than once.
    pub run_twice: Vec<String>,
    /// Bookings that ran although they were reported as not run.
    pub ran_but_reported_not_run: Vec<String>,
    /// Bookings that were confirmed but did not run.
    pub confirmed_but_not_run: Vec<String>,
    /// Number of calls that a draining target received after the departure limit.
    pub runs_after_departure: u64,
    /// Whether all work of the stopped proxy finished in time.
    pub proxy_stopped_cleanly: bool,
    /// The final version.
    pub version: u64,
    /// Whether a proxy returned to an older version.
    pub version_regressed: bool,
}

impl Report {
    /// Compares the reported outcome of each booking with the runs that the targets counted.
    pub fn check_bookings(&mut self, mesh: &Mesh) {
        for (id, reported) in &self.calls.bookings {
            let runs = mesh.runs_of(id);
            if runs > 1 {
                self.run_twice.push(id.clone());
            }
            match reported {
                ReportedOutcome::NotRun if runs > 0 => {
                    self.ran_but_reported_not_run.push(id.clone())
                }
                ReportedOutcome::Confirmed if runs == 0 => {
                    self.confirmed_but_not_run.push(id.clone())
                }
                _ => {}
            }
        }
    }

    /// Returns a description of each violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let slowest_ms = self.convergence_ms.iter().copied().max().unwrap_or(0);
        let checks = [
            (self.calls.ran == 0, "no call was answered".to_owned()),
            (
                self.calls.truncated > 0,
                format!(
                    "{} answers were cut, such as {:?}",
                    self.calls.truncated,
                    &self.calls.truncated_examples
                        [..self.calls.truncated_examples.len().min(MAX_EXAMPLES)]
                ),
            ),
            (!self.run_twice.is_empty(), format!("bookings ran twice: {:?}", self.run_twice)),
            (
                !self.ran_but_reported_not_run.is_empty(),
                format!("reported as not run, but ran: {:?}", self.ran_but_reported_not_run),
            ),
            (
                !self.confirmed_but_not_run.is_empty(),
                format!("confirmed, but did not run: {:?}", self.confirmed_but_not_run),
            ),
            (
                self.runs_after_departure > 0,
                format!("a departed target was given {} calls", self.runs_after_departure),
            ),
            (!self.proxy_stopped_cleanly, "the graceful stop cut off a call".to_owned()),
            (self.version_regressed, "a proxy moved back to an older version".to_owned()),
            (
                slowest_ms > CONVERGENCE_LIMIT_MS,
                format!("a change took {slowest_ms} ms to be in force"),
            ),
        ];
        checks.into_iter().filter(|(is_violated, _)| *is_violated).map(|(_, text)| text).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.convergence_ms.clone();
        sorted.sort_unstable();
        let median_ms = sorted.get(sorted.len() / 2).copied().unwrap_or(0);
        let changes = sorted.len() as u64;
        let bytes = &self.control_bytes;
        let calls = &self.calls;
        writeln!(f)?;
        writeln!(f, "version           {} in force on every proxy", self.version)?;
        writeln!(
            f,
            "convergence       first change {} ms; {changes} changes under load: median {median_ms} ms, slowest {} ms",
            self.first_change_ms,
            sorted.last().copied().unwrap_or(0)
        )?;
        writeln!(
            f,
            "control bytes     {} while the changes ran, all control traffic; {} of them across regions",
            bytes.total, bytes.across_regions
        )?;
        writeln!(
            f,
            "calls             {} ran, {} not run, {} unknown; {} connections refused by the stopped proxy",
            calls.ran, calls.not_run, calls.unknown, calls.refused_connections
        )?;
        for (code, count) in &calls.error_codes {
            writeln!(f, "                  {count} times: {code}")?;
        }
        writeln!(f, "answers cut       {}", calls.truncated)?;
        writeln!(
            f,
            "answers doubled   {} of {} bookings",
            self.run_twice.len(),
            calls.bookings.len()
        )?;
        let violations = self.violations();
        if violations.is_empty() {
            return writeln!(f, "promises          kept");
        }
        violations.iter().try_for_each(|text| writeln!(f, "BROKEN            {text}"))
    }
}
