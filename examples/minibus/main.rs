//! The Malabar deployment on loopback inside one process.
//!
//! Four availability zones, fourteen hosts, each with a proxy and a target
//! stand-in, three of them control replicas: the real settings, messages,
//! resource API and call path. It applies the resources of
//! `examples/malabar`, makes calls, changes the configuration under load,
//! stops a target and a proxy gracefully, and prints a report. Exits with 1 if a
//! guarantee was violated.
//!
//! - [`mesh`]: the hosts, and the actions of an operator on them
//! - [`load`]: the callers and their checks
//! - [`verdict`]: the report and the guarantees

mod load;
mod mesh;
mod verdict;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use load::Load;
use mesh::Mesh;
use verdict::Report;

/// Number of concurrent callers.
const CALLERS: usize = 24;
/// Number of configuration changes while calls run.
const CHANGES: usize = 10;
/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Host whose target is stopped while calls run.
const DRAINED_HOST: &str = "aluva-2";
/// Host whose proxy is stopped while calls run.
const STOPPED_HOST: &str = "feroke-2";
/// Time limit of the complete run.
const RUN_LIMIT: Duration = Duration::from_secs(19);

fn main() -> ExitCode {
    let started = Instant::now();
    let run = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(eyre::Report::from)
        .and_then(|runtime| {
            runtime.block_on(async {
                tokio::time::timeout(RUN_LIMIT, run())
                    .await
                    .unwrap_or_else(|_| Err(eyre::eyre!("the run exceeded its time limit")))
            })
        });
    match run {
        Ok(report) => {
            print!("{report}");
            println!("took              {:.1} s", started.elapsed().as_secs_f64());
            if report.violations().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("minibus: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> eyre::Result<Report> {
    let folder = tempfile::tempdir()?;
    let format = fireflylug_settings::LogFormat::Text;
    fireflylug_daemon::log::set_up("minibus", fireflylug_settings::LogLevel::Error, format)?;
    let mut report = Report::default();

    println!("starting 14 daemons and 14 targets in 4 availability zones");
    let mut mesh = Mesh::start(folder.path()).await?;
    report.first_change_ms = mesh.apply_resources().await?;
    mesh.wait_until_ready().await?;

    println!("calling, and changing the configuration under load");
    let load = Load::start(mesh.call_addresses(), CALLERS);
    let before = mesh.control_bytes().await?;
    for change in 0..CHANGES {
        report.convergence_ms.push(mesh.change_policy(change).await?);
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    report.control_bytes = mesh.control_bytes().await?.since(&before);

    println!("stopping the target on {DRAINED_HOST} and the proxy on {STOPPED_HOST}");
    report.runs_after_departure = mesh.drain_target(DRAINED_HOST).await?;
    report.proxy_stopped_cleanly = mesh.stop_proxy(STOPPED_HOST).await?;
    report.convergence_ms.push(mesh.change_policy(CHANGES).await?);

    report.calls = load.stop().await;
    report.check_bookings(&mesh);
    report.version = mesh.version().await?;
    report.version_regressed = mesh.version_regressed();
    mesh.stop().await;
    Ok(report)
}
