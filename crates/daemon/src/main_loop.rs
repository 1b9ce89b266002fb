//! Main function of `fireflylugd`, with signals and reload of the settings.

use std::future::Future;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use eyre::WrapErr;
use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

use crate::args::{self, Command};
use crate::{Daemon, SharedKey, log};

/// Exit status for wrong arguments or settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit status if the time limit of a graceful shutdown aborted requests in flight.
pub const EXIT_CUT_OFF: u8 = 3;

/// Runs the daemon with the arguments of the process.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command = match Command::from_args(&args) {
        Ok(command) => command,
        Err(error) => return fail(&error, EXIT_USAGE),
    };
    match command {
        Command::Help => print(&args::help()),
        Command::Version => print(concat!("fireflylugd ", env!("CARGO_PKG_VERSION"))),
        Command::CheckConfig(file) => match read_settings(Some(&file)) {
            Ok(_) => print(&format!("settings file {} is valid", file.display())),
            Err(error) => fail(&error, EXIT_USAGE),
        },
        Command::Run(file) => match read_settings(file.as_deref()) {
            Ok(settings) => run(settings, file.as_deref()),
            Err(error) => fail(&error, EXIT_USAGE),
        },
    }
}

fn read_settings(file: Option<&Path>) -> eyre::Result<Settings> {
    let Some(file) = file else {
        return Ok(Settings::mesh_of_one());
    };
    let settings = Settings::from_file(file)?;
    if let Some(key_file) = &settings.key_file {
        SharedKey::from_file(key_file)
            .wrap_err_with(|| format!("settings file {}: [security] key_file", file.display()))?;
    }
    Ok(settings)
}

fn run(settings: Settings, file: Option<&Path>) -> ExitCode {
    let result = log::set_up(settings.host.as_str(), settings.log_level, settings.log_format)
        .and_then(|()| Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?))
        .and_then(|runtime| runtime.block_on(serve(settings, file)));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_CUT_OFF),
        Err(error) => fail(&error, 1),
    }
}

async fn serve(settings: Settings, file: Option<&Path>) -> eyre::Result<bool> {
    serve_until_signal(Daemon::start(settings), file).await
}

/// Serves until a signal, then shuts down. Returns whether all requests in flight were
/// completed. The settings file is reloaded on SIGHUP and whenever it changes.
pub async fn serve_until_signal(
    start: impl Future<Output = eyre::Result<Daemon>>,
    file: Option<&Path>,
) -> eyre::Result<bool> {
    // Signal handlers come first, so that a signal during the start is not lost.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let daemon = start.await?;
    let addresses = daemon.addresses();
    log_info(&format!("listening: peers {}, forward {}", addresses.peers, addresses.forward));
    log_info(&format!("listening: resource API {}, calls {}", addresses.api, addresses.calls));
    let mut modified = file.and_then(modified_at);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&daemon, file),
            () = wait_for_change(file, &mut modified) => reload(&daemon, file),
            () = daemon.exited() => eyre::bail!("a component failed; see the previous log lines"),
        }
    }
    log_info("stopping gracefully");
    let is_finished = daemon.stop().await;
    log_info(if is_finished {
        "stopped"
    } else {
        "stopped; the time limit aborted requests in flight"
    });
    Ok(is_finished)
}

/// Reloads the settings file. An invalid file changes nothing.
fn reload(daemon: &Daemon, file: Option<&Path>) {
    let Some(file) = file else { return log_info("there is no settings file to reload") };
    match Settings::from_file(file) {
        Ok(settings) => {
            daemon.reload(&settings);
            log_info("settings reloaded; seeds apply now, all other settings at the next start");
        }
        Err(error) => log::write(LogLevel::Warn, LogPart::Daemon, &error.to_string()),
    }
}

/// Interval between checks of the settings file for changes.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Waits until the modification time of the settings file differs from `modified`.
async fn wait_for_change(file: Option<&Path>, modified: &mut Option<SystemTime>) {
    let Some(file) = file else { return std::future::pending().await };
    loop {
        tokio::time::sleep(FILE_CHECK_INTERVAL).await;
        let now = modified_at(file);
        if now != *modified {
            *modified = now;
            return;
        }
    }
}

fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}

fn log_info(text: &str) {
    log::write(LogLevel::Info, LogPart::Daemon, text);
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn fail(error: &eyre::Report, status: u8) -> ExitCode {
    eprintln!("fireflylugd: {error:#}");
    ExitCode::from(status)
}
