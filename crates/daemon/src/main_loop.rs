//! The whole of `fireflylugd`, so that its binary stays thin.

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
/// Exit status where the limit of a graceful stop cut off what was in flight.
pub const EXIT_CUT_OFF: u8 = 3;

/// Runs the daemon with the arguments of the program.
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
            Ok(_) => print(&format!("settings file {} is in order", file.display())),
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
    let served = log::set_up(settings.host.as_str(), settings.log_level, settings.log_format)
        .and_then(|()| Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?))
        .and_then(|runtime| runtime.block_on(serve(settings, file)));
    match served {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_CUT_OFF),
        Err(error) => fail(&error, 1),
    }
}

async fn serve(settings: Settings, file: Option<&Path>) -> eyre::Result<bool> {
    serve_until_signal(Daemon::start(settings), file).await
}

/// Serves until a signal, then stops. Returns whether everything in flight was
/// finished. The settings file is read again on SIGHUP and whenever it changed.
pub async fn serve_until_signal(
    start: impl Future<Output = eyre::Result<Daemon>>,
    file: Option<&Path>,
) -> eyre::Result<bool> {
    // Listening for signals first: one that comes during the start must not be lost.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let daemon = start.await?;
    let at = daemon.addresses();
    note(&format!("listening: peers {}, forward {}", at.peers, at.forward));
    note(&format!("listening: resource API {}, calls {}", at.api, at.calls));
    let mut modified = file.and_then(modified_at);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&daemon, file),
            () = changed(file, &mut modified) => reload(&daemon, file),
            () = daemon.exited() => eyre::bail!("a part of the process failed; see the log above"),
        }
    }
    note("stopping gracefully");
    let finished = daemon.stop().await;
    note(if finished { "stopped" } else { "stopped; the limit cut off what was in flight" });
    Ok(finished)
}

/// Reads the settings file again. A file with mistakes changes nothing.
fn reload(daemon: &Daemon, file: Option<&Path>) {
    let Some(file) = file else { return note("there is no settings file to read again") };
    match Settings::from_file(file) {
        Ok(settings) => {
            daemon.reload(&settings);
            note("settings read again; seeds count now, the rest from the next start");
        }
        Err(error) => log::write(LogLevel::Warn, LogPart::Daemon, &error.to_string()),
    }
}

/// Time between looks at the settings file.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Waits until the settings file is another one than at `modified`.
async fn changed(file: Option<&Path>, modified: &mut Option<SystemTime>) {
    let Some(file) = file else { return std::future::pending().await };
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
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

fn note(text: &str) {
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
