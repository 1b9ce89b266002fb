//! Log lines: short sentences with a fixed prefix for each part.
//!
//! spdlog-rs writes them through one logger for the whole program. The daemon
//! calls [`set_up`] once; a program that runs several daemons may do so too.

use eyre::WrapErr;
use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_settings::LogLevel as LeastLevel;
use spdlog::sink::StdStreamSink;
use spdlog::{Level, LevelFilter, Logger};

/// Writes a log line.
pub fn write(level: LogLevel, part: LogPart, text: &str) {
    match level {
        LogLevel::Debug => spdlog::debug!("{part}: {text}"),
        LogLevel::Info => spdlog::info!("{part}: {text}"),
        LogLevel::Warn => spdlog::warn!("{part}: {text}"),
        LogLevel::Error => spdlog::error!("{part}: {text}"),
    }
}

/// Sends log lines of `least` and above to the standard error, with the name
/// of the host. Replaces the logger of the whole program.
pub fn set_up(host: &str, least: LeastLevel) -> eyre::Result<()> {
    let sink = StdStreamSink::builder().stderr().build_arc().wrap_err("cannot make a log sink")?;
    let logger = Logger::builder()
        .name(host)
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(spdlog_level(least)))
        .flush_level_filter(LevelFilter::All)
        .build_arc()
        .wrap_err("cannot make a logger")?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn spdlog_level(least: LeastLevel) -> Level {
    match least {
        LeastLevel::Debug => Level::Debug,
        LeastLevel::Info => Level::Info,
        LeastLevel::Warn => Level::Warn,
        LeastLevel::Error => Level::Error,
    }
}
