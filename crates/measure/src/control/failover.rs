//! Time to accept a change after losing the leader.

use crate::{Options, Report};

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    eyre::bail!("{} is not built yet", options.measurement)
}
