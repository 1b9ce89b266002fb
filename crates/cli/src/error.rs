//! What may go wrong, and the exit status that says it.

use fireflylug_core::api::{ApiError, ErrorCode};

/// Exit status of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// Refused: not done, and it will not be.
    Refused = 1,
    /// Wrong arguments or input.
    Usage = 2,
    /// The outcome is unknown: resend under the same key.
    Unknown = 3,
    /// No resource API could be reached; nothing was sent.
    Unreachable = 4,
    /// Accepted, but not in force everywhere within the limit of `--wait`.
    NotInForce = 5,
}

/// Why a command failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CliError {
    /// Wrong arguments.
    #[error("{0}; see fireflylug --help")]
    Usage(String),
    /// The input file is not in form.
    #[error("{0}")]
    Input(String),
    /// The resource API refused.
    #[error("{}", shown(.0))]
    Refused(ApiError),
    /// The outcome of a change is unknown.
    #[error("the outcome is unknown: {reason}; {}", resend(.key.as_deref()))]
    Unknown {
        /// What happened.
        reason: String,
        /// The idempotency key to resend with; none where a resend needs none.
        key: Option<String>,
    },
    /// No resource API could be reached.
    #[error("no resource API could be reached: {0}; name one with --api ADDRESS")]
    Unreachable(String),
    /// Accepted, but not in force within the limit.
    #[error("version {version} is accepted, but not in force everywhere after {limit_s} s")]
    NotInForce {
        /// The version.
        version: u64,
        /// The limit, in seconds.
        limit_s: u64,
    },
    /// Whoever read the output wants no more of it, such as `head`.
    #[error("the output was closed")]
    OutputClosed,
    /// Something else failed on this side.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// The exit status that says it.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::Input(_) => ExitStatus::Usage,
            Self::Refused(error) if error.code == ErrorCode::OutcomeUnknown => ExitStatus::Unknown,
            Self::Refused(_) | Self::Failed(_) => ExitStatus::Refused,
            Self::Unknown { .. } => ExitStatus::Unknown,
            Self::OutputClosed => ExitStatus::Done,
            Self::Unreachable(_) => ExitStatus::Unreachable,
            Self::NotInForce { .. } => ExitStatus::NotInForce,
        }
    }
}

fn resend(key: Option<&str>) -> String {
    key.map_or_else(|| "send it again".to_owned(), |key| format!("resend with --key {key}"))
}

/// An error of the resource API with a line for each finding.
fn shown(error: &ApiError) -> String {
    let mut text = error.to_string();
    for finding in &error.findings {
        text.push_str(&format!("\n  {}: {}", finding.place, finding.message));
    }
    text
}
