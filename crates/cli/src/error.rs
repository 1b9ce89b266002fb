//! Errors of commands and their exit statuses.

use fireflylug_core::api::{ApiError, ErrorCode};

/// Exit status of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// Refused: the change is not applied and will not be. Also: `check` found errors.
    Refused = 1,
    /// Wrong arguments or input.
    Usage = 2,
    /// The outcome is unknown: resend with the same idempotency key.
    Unknown = 3,
    /// No resource API was reachable; nothing was sent.
    Unreachable = 4,
    /// Accepted, but not in force on every proxy within the timeout of `--wait`.
    NotInForce = 5,
}

/// Why a command failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CliError {
    /// Wrong arguments.
    #[error("{0}; see fireflylug --help")]
    Usage(String),
    /// The input file is malformed or unreadable.
    #[error("{0}")]
    Input(String),
    /// The resource API refused the request.
    #[error("{}", with_findings(.0))]
    Refused(ApiError),
    /// The outcome of a change is unknown.
    #[error("the outcome is unknown: {reason}; {}", resend_advice(.key.as_deref()))]
    Unknown {
        /// Description of the failed attempts.
        reason: String,
        /// The idempotency key for a resend, or none if the request needs no key.
        key: Option<String>,
    },
    /// No resource API was reachable.
    #[error("no resource API is reachable: {0}; give an address with --api ADDRESS")]
    Unreachable(String),
    /// Accepted, but not in force on every proxy within the timeout.
    #[error("version {version} is accepted, but not in force on every proxy after {limit_s} s")]
    NotInForce {
        /// The accepted version.
        version: u64,
        /// The timeout, in seconds.
        limit_s: u64,
    },
    /// `check` found errors, which it has printed.
    #[error("the check found {errors} errors")]
    CheckFailed {
        /// Number of errors.
        errors: usize,
    },
    /// The reader of the output, such as `head`, closed it.
    #[error("the output was closed")]
    OutputClosed,
    /// Any other local failure.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// Returns the exit status for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::Input(_) => ExitStatus::Usage,
            Self::Refused(error) if error.code == ErrorCode::OutcomeUnknown => ExitStatus::Unknown,
            Self::Refused(_) | Self::Failed(_) | Self::CheckFailed { .. } => ExitStatus::Refused,
            Self::Unknown { .. } => ExitStatus::Unknown,
            Self::OutputClosed => ExitStatus::Done,
            Self::Unreachable(_) => ExitStatus::Unreachable,
            Self::NotInForce { .. } => ExitStatus::NotInForce,
        }
    }
}

fn resend_advice(key: Option<&str>) -> String {
    key.map_or_else(
        || "send the request again".to_owned(),
        |key| format!("resend with --key {key}"),
    )
}

/// Formats an error of the resource API with one line per finding.
fn with_findings(error: &ApiError) -> String {
    let mut text = error.to_string();
    for finding in &error.findings {
        text.push_str(&format!("\n  {}: {}", finding.place, finding.message));
    }
    text
}
