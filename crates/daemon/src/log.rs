//! Log lines: short sentences with a fixed prefix for each part.
//!
//! spdlog-rs writes them through one logger for the whole program. The daemon
//! calls [`set_up`] once; a program that runs several daemons may do the same.
//! Lines are text on standard error or JSON on standard output. A separate thread
//! writes JSON lines; if it does not keep up, lines are dropped so that logging
//! never blocks.

use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_core::routing::Step;
use fireflylug_settings::{LogFormat, LogLevel as SettingsLevel};
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Maximum number of queued lines for the thread that writes JSON.
const MAX_QUEUED_LINES: usize = 2_048;

/// Writes a log line.
pub fn write(level: LogLevel, part: LogPart, text: &str) {
    match level {
        LogLevel::Debug => spdlog::debug!("{part}: {text}"),
        LogLevel::Info => spdlog::info!("{part}: {text}"),
        LogLevel::Warn => spdlog::warn!("{part}: {text}"),
        LogLevel::Error => spdlog::error!("{part}: {text}"),
    }
}

/// Sets up the logger of the whole program: lines of level `min_level` and above are
/// written in `format` with the name of the host.
pub fn set_up(host: &str, min_level: SettingsLevel, format: LogFormat) -> eyre::Result<()> {
    let sink: Arc<dyn Sink> = match format {
        LogFormat::Text => StdStreamSink::builder().stderr().build_arc()?,
        LogFormat::Json => json_sink().wrap_err("cannot create the log sink")?,
    };
    let logger = Logger::builder()
        .name(host)
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(spdlog_level(min_level)))
        .flush_level_filter(LevelFilter::All)
        .build_arc()
        .wrap_err("cannot create the logger")?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn json_sink() -> eyre::Result<Arc<dyn Sink>> {
    let output = StdStreamSink::builder().stdout().formatter(JsonFormatter::new()).build_arc()?;
    let capacity = NonZeroUsize::new(MAX_QUEUED_LINES).expect("the capacity is above 0");
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    Ok(sink)
}

fn spdlog_level(min_level: SettingsLevel) -> Level {
    match min_level {
        SettingsLevel::Debug => Level::Debug,
        SettingsLevel::Info => Level::Info,
        SettingsLevel::Warn => Level::Warn,
        SettingsLevel::Error => Level::Error,
    }
}

/// Maximum number of lines about decisions that are not routine in each interval.
const MAX_OTHER_LINES: u32 = 60;
/// Maximum number of lines about routine decisions in each interval.
const MAX_ROUTINE_LINES: u32 = 5;
/// Length of a rate-limit interval.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// Rate limit for log lines about decisions on calls.
#[derive(Debug, Default)]
pub struct DecisionLog {
    budget: Mutex<LineBudget>,
}

#[derive(Debug, Default)]
struct LineBudget {
    began_at: Option<Instant>,
    routine_lines: u32,
    other_lines: u32,
    left_out: u64,
}

impl LineBudget {
    /// Returns whether another line may be written now and, at the start of an interval,
    /// the number of lines omitted in the previous one.
    fn try_spend(&mut self, is_routine: bool) -> (bool, u64) {
        let now = Instant::now();
        let mut left_out = 0;
        if self.began_at.is_none_or(|began_at| now.duration_since(began_at) >= RATE_INTERVAL) {
            left_out = self.left_out;
            *self = Self { began_at: Some(now), ..Self::default() };
        }
        let (used, max_lines) = if is_routine {
            (&mut self.routine_lines, MAX_ROUTINE_LINES)
        } else {
            (&mut self.other_lines, MAX_OTHER_LINES)
        };
        let may_write = *used < max_lines;
        *used += u32::from(may_write);
        self.left_out += u64::from(!may_write);
        (may_write, left_out)
    }
}

impl DecisionLog {
    /// Whether a decision may be logged within the rate limit. Omitted lines are counted,
    /// and the count is logged.
    pub fn should_log(&self, step: &Step) -> bool {
        let (may_write, left_out) = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.try_spend(step.is_routine())
        };
        if left_out > 0 {
            spdlog::info!("calls: decisions were left out", kv: { left_out });
        }
        may_write
    }
}

/// Logs one decision about the call with this request id.
pub fn write_step(request: &str, step: &Step) {
    let name: &'static str = step.into();
    match step {
        Step::Chosen { attempt, target, load, load_age_ms, waits, version } => {
            let target = target.to_string();
            let load_age_ms = load_age_ms.map_or(-1, |age_ms| age_ms as i64);
            spdlog::info!("calls: {name}", kv: {
                request, attempt = *attempt, target = target.as_str(), load = *load,
                load_age_ms, waits = *waits, version = version.0
            });
        }
        Step::Queued { target, queued, remaining_ms } => {
            let target = target.to_string();
            spdlog::info!("calls: {name}", kv: {
                request, target = target.as_str(), queued = *queued, remaining_ms = *remaining_ms
            });
        }
        Step::AttemptFailed { attempt, code, outcome, is_retried } => {
            let (code, outcome): (&str, &str) = (code.into(), outcome.into());
            spdlog::info!("calls: {name}", kv: {
                request, attempt = *attempt, code, outcome, is_retried = *is_retried
            });
        }
        Step::Refused { code, outcome, attempts, after_ms, retry_after_ms } => {
            let (code, outcome): (&str, &str) = (code.into(), outcome.into());
            let retry_after_ms = retry_after_ms.map_or(-1, i64::from);
            spdlog::info!("calls: {name}", kv: {
                request, code, outcome, attempts = *attempts, after_ms = *after_ms, retry_after_ms
            });
        }
        Step::ServerError { attempt, target, status, after_ms } => {
            let target = target.to_string();
            spdlog::info!("calls: {name}", kv: {
                request, attempt = *attempt, target = target.as_str(), status = *status,
                after_ms = *after_ms
            });
        }
        Step::Late { attempt, began_ms, head_ms, after_ms } => {
            spdlog::info!("calls: {name}", kv: {
                request, attempt = *attempt, began_ms = *began_ms, head_ms = *head_ms,
                after_ms = *after_ms
            });
        }
        Step::CutOff { attempt, after_ms } => {
            spdlog::info!("calls: {name}", kv: {
                request, attempt = *attempt, after_ms = *after_ms
            });
        }
        Step::CallerGone { attempts, after_ms } => {
            spdlog::info!("calls: {name}", kv: {
                request, attempts = *attempts, after_ms = *after_ms
            });
        }
    }
}
