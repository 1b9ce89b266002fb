//! Time from acceptance to in force everywhere.

use crate::{Options, Report};

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    eyre::bail!("{} is not built yet", options.measurement)
}
