//! The one form of an error at the resource API.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::Finding;

/// What kind of error it is.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ErrorCode {
    /// The request is not in form (400).
    Malformed,
    /// No or a wrong shared key (401).
    Unauthorized,
    /// The resource does not exist (404).
    NotFound,
    /// The method is not known at this path (405).
    MethodNotAllowed,
    /// The resource is not at the expected version (409).
    Conflict,
    /// The watch asks for a version that was compacted (410).
    Compacted,
    /// The body is too long (413).
    TooLarge,
    /// Only other processes serve the request (421).
    Misdirected,
    /// The change set has findings (422).
    Invalid,
    /// Not done, and it will not be: no quorum, or not ready (503).
    Unavailable,
    /// May or may not have been done; resend with the same key (503).
    OutcomeUnknown,
}

impl ErrorCode {
    /// The HTTP status.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::Conflict => 409,
            Self::Compacted => 410,
            Self::TooLarge => 413,
            Self::Misdirected => 421,
            Self::Invalid => 422,
            Self::Unavailable | Self::OutcomeUnknown => 503,
        }
    }
}

/// An error at the resource API.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// What kind of error it is.
    pub code: ErrorCode,
    /// What happened, to what, and the remedy.
    pub message: CompactString,
    /// Each mistake with its place.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// Resource APIs to ask instead.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<SocketAddr>,
}

impl ApiError {
    /// Makes an error without findings.
    pub fn new(code: ErrorCode, message: impl Into<CompactString>) -> Self {
        Self { code, message: message.into(), findings: Vec::new(), addresses: Vec::new() }
    }

    /// Adds findings.
    pub fn with_findings(mut self, findings: Vec<Finding>) -> Self {
        self.findings = findings;
        self
    }

    /// Adds resource APIs to ask instead.
    pub fn with_addresses(mut self, addresses: Vec<SocketAddr>) -> Self {
        self.addresses = addresses;
        self
    }
}
