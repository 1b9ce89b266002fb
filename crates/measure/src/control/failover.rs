//! Time to accept a change after losing the leader.

use std::time::{Duration, Instant};

use eyre::eyre;

use super::mesh::{CONTROL_REPLICAS, Layout, Mesh};
use crate::{Bound, Figure, Options, Report};

/// Number of leaders killed, one after the other.
const LEADER_KILLS: usize = 7;

/// Maximum time until a change is accepted again.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let mut mesh = Mesh::start(Layout::malabar()).await?;
    let mut samples = Vec::new();
    let mut missing = 0_u32;
    for _ in 0..LEADER_KILLS {
        let leader = mesh.wait_leader().await?;
        let accepted = mesh.change(leader).await?;
        mesh.kill(leader);
        let killed_at = Instant::now();
        let survivor = (leader + 1) % CONTROL_REPLICAS;
        let next = mesh.change_until_accepted(survivor, ACCEPT_TIMEOUT).await?;
        samples.push(killed_at.elapsed().as_secs_f64() * 1_000.0);
        missing += u32::from(next <= accepted);
        mesh.start_down().await?;
        mesh.wait_in_force(next).await?;
    }
    let worst = samples
        .iter()
        .copied()
        .max_by(f64::total_cmp)
        .ok_or_else(|| eyre!("no leader was killed"))?;
    let report = Report::new(options)
        .with_figure(Figure::new("leader killed to next change accepted, median", "ms", &samples))
        .with_figure(
            Figure::new("leader killed to next change accepted, worst", "ms", &[worst])
                .with_bound(Bound::AtMost(3_000.0)),
        )
        .with_figure(
            Figure::new("accepted changes missing afterwards", "changes", &[missing.into()])
                .with_bound(Bound::AtMost(0.0)),
        );
    Ok(report.with_note("Malabar's places; the leader is killed right after it accepted a change."))
}
