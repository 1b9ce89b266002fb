//! Log lines: short sentences with a fixed prefix for each part.

use fireflylug_core::event::{LogLevel, LogPart};

/// Writes a log line.
pub fn write(level: LogLevel, part: LogPart, text: &str) {
    match level {
        LogLevel::Debug => spdlog::debug!("{part}: {text}"),
        LogLevel::Info => spdlog::info!("{part}: {text}"),
        LogLevel::Warn => spdlog::warn!("{part}: {text}"),
        LogLevel::Error => spdlog::error!("{part}: {text}"),
    }
}
