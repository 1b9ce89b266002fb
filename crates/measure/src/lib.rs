//! Measurements of the performance bounds that the project sets itself.
//!
//! `fireflylug-measure NAME [--json] [--seed N]` runs one measurement on
//! loopback and prints each figure with its baseline from the same run and its
//! bound. The exit status is 1 if a figure violates its bound. Each measurement is
//! a module with `pub async fn run(&Options) -> eyre::Result<Report>`.

pub mod args;
pub mod calls;
pub mod control;
pub mod report;

use std::process::ExitCode;

use fireflylug_settings::{LogFormat, LogLevel};
use gumdrop::Options as _;

pub use args::{Measurement, Options};
pub use report::{Bound, Figure, Report};

/// Runs the tool with the command-line arguments of the process.
pub fn main() -> ExitCode {
    let raw = args::RawArgs::parse_args_default_or_exit();
    match measure(raw) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("fireflylug-measure: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs the measurement that the arguments name. Returns whether every bound holds.
fn measure(raw: args::RawArgs) -> eyre::Result<bool> {
    let options = Options::from_raw(&raw)?;
    fireflylug_daemon::log::set_up("measure", LogLevel::Error, LogFormat::Text)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run(&options))?;
    // Daemons that a measurement leaves running end with the process.
    runtime.shutdown_background();
    report.print(options.json)?;
    Ok(report.holds())
}

/// Runs one measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    match options.measurement {
        Measurement::Convergence => control::convergence::run(options).await,
        Measurement::Bytes => control::bytes::run(options).await,
        Measurement::Idle => control::idle::run(options).await,
        Measurement::Storm => control::storm::run(options).await,
        Measurement::Catchup => control::catchup::run(options).await,
        Measurement::Failover => control::failover::run(options).await,
        Measurement::AddedLatency => calls::added_latency::run(options).await,
        Measurement::Overload => calls::overload::run(options).await,
        Measurement::Stall => calls::stall::run(options).await,
        Measurement::Chain => calls::chain::run(options).await,
        Measurement::Rolling => calls::rolling::run(options).await,
        Measurement::Payments => calls::payments::run(options).await,
        Measurement::Selection => calls::selection::run(options).await,
    }
}
