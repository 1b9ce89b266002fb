//! Time to catch up after many missed changes.

use std::time::Instant;

use fireflylug_fault::Mode;

use super::mesh::{Layout, Mesh};
use crate::{Bound, Figure, Options, Report};

/// Number of changes that a region misses.
const MISSED_CHANGES: u32 = 500;

/// Number of times that the region is cut off.
const ROUNDS: usize = 3;

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let mut mesh = Mesh::start(Layout::malabar()).await?;
    let mut samples = Vec::new();
    let mut region_bytes = Vec::new();
    for _ in 0..ROUNDS {
        mesh.links.region.set_mode(Mode::Cut);
        let mut version = mesh.change_until_accepted(0, super::mesh::CONDITION_TIMEOUT).await?;
        for _ in 1..MISSED_CHANGES {
            version = mesh.change_until_accepted(0, super::mesh::CONDITION_TIMEOUT).await?;
        }
        let bytes_before = mesh.links.region.total_bytes();
        mesh.links.region.set_mode(Mode::Pass);
        let healed_at = Instant::now();
        let current_at = mesh.wait_in_force(version).await?;
        samples.push((current_at - healed_at).as_secs_f64() * 1_000.0);
        region_bytes.push((mesh.links.region.total_bytes() - bytes_before) as f64 / 1_000.0);
    }
    let report = Report::new(options)
        .with_figure(
            Figure::new("link healed to every proxy current", "ms", &samples)
                .with_bound(Bound::AtMost(3_000.0)),
        )
        .with_figure(Figure::new("bytes across the region link meanwhile", "KB", &region_bytes));
    Ok(report.with_note(format!(
        "Malabar's places; the link between regions is cut for {MISSED_CHANGES} changes. The time \
         includes the reconnects."
    )))
}
