//! The report of a run, and the promises that it checks.

use std::fmt;

use crate::load::{Calls, Told};
use crate::mesh::Mesh;

/// Longest time from acceptance to in force, in milliseconds.
const CONVERGENCE_LIMIT_MS: u64 = 10_000;
/// Examples of a broken promise that are shown.
const MAX_EXAMPLES: usize = 5;

/// Bytes between processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlBytes {
    /// Sent by every process.
    total: u64,
    /// Of these, sent to processes of another region.
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

    /// What was sent since `before`.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            total: self.total.saturating_sub(before.total),
            across_regions: self.across_regions.saturating_sub(before.across_regions),
        }
    }
}

/// What a run showed.
#[derive(Default)]
pub struct Report {
    /// Time from acceptance to in force of the first change, in milliseconds.
    pub first_change_ms: u64,
    /// The same for each change under load.
    pub convergence_ms: Vec<u64>,
    /// Traffic between processes while the configuration was changed.
    pub control_bytes: ControlBytes,
    /// What callers saw.
    pub calls: Calls,
    /// Bookings that ran more than once.
    pub doubled: Vec<String>,
    /// Bookings that ran although their caller was told that they did not.
    pub falsely_not_run: Vec<String>,
    /// Bookings that were confirmed and did not run.
    pub falsely_confirmed: Vec<String>,
    /// Calls that a departing target was given too late.
    pub target_late_runs: u64,
    /// Whether the proxy that was stopped cut off nothing.
    pub proxy_stopped_cleanly: bool,
    /// The last version.
    pub version: u64,
    /// Whether a proxy moved back to an older version.
    pub versions_went_back: bool,
}

impl Report {
    /// Compares what callers were told of bookings with what targets ran.
    pub fn check_bookings(&mut self, mesh: &Mesh) {
        for (id, told) in &self.calls.bookings {
            let runs = mesh.runs_of(id);
            if runs > 1 {
                self.doubled.push(id.clone());
            }
            match told {
                Told::NotRun if runs > 0 => self.falsely_not_run.push(id.clone()),
                Told::Confirmed if runs == 0 => self.falsely_confirmed.push(id.clone()),
                _ => {}
            }
        }
    }

    /// The promises that were broken.
    pub fn broken(&self) -> Vec<String> {
        let slowest_ms = self.convergence_ms.iter().copied().max().unwrap_or(0);
        let checks = [
            (self.calls.ran == 0, "no call was answered".to_owned()),
            (
                self.calls.cut > 0,
                format!(
                    "{} answers were cut, such as {:?}",
                    self.calls.cut,
                    &self.calls.cut_examples[..self.calls.cut_examples.len().min(MAX_EXAMPLES)]
                ),
            ),
            (!self.doubled.is_empty(), format!("bookings ran twice: {:?}", self.doubled)),
            (
                !self.falsely_not_run.is_empty(),
                format!("reported as not run, but ran: {:?}", self.falsely_not_run),
            ),
            (
                !self.falsely_confirmed.is_empty(),
                format!("confirmed, but did not run: {:?}", self.falsely_confirmed),
            ),
            (
                self.target_late_runs > 0,
                format!("a departed target was given {} calls", self.target_late_runs),
            ),
            (!self.proxy_stopped_cleanly, "the graceful stop cut off a call".to_owned()),
            (self.versions_went_back, "a proxy moved back to an older version".to_owned()),
            (
                slowest_ms > CONVERGENCE_LIMIT_MS,
                format!("a change took {slowest_ms} ms to be in force"),
            ),
        ];
        checks.into_iter().filter(|(broken, _)| *broken).map(|(_, text)| text).collect()
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
        writeln!(f, "answers cut       {}", calls.cut)?;
        writeln!(
            f,
            "answers doubled   {} of {} bookings",
            self.doubled.len(),
            calls.bookings.len()
        )?;
        let broken = self.broken();
        if broken.is_empty() {
            return writeln!(f, "promises          kept");
        }
        broken.iter().try_for_each(|text| writeln!(f, "BROKEN            {text}"))
    }
}
