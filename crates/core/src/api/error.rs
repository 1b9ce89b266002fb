//! Errors of the resource API: codes, HTTP statuses and the body of an error response.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::Finding;

/// Kind of an error.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ErrorCode {
    /// The request is malformed (400).
    Malformed,
    /// The shared key is missing or wrong (401).
    Unauthorized,
    /// The resource does not exist (404).
    NotFound,
    /// The path does not support the method (405).
    MethodNotAllowed,
    /// The resource is not at the expected version (409).
    Conflict,
    /// The watch starts at a version whose events were compacted (410).
    Compacted,
    /// The request body is too large (413).
    TooLarge,
    /// This process does not serve the request; other processes do (421).
    Misdirected,
    /// The change set failed validation; the findings name each mistake (422).
    Invalid,
    /// The request was not carried out and will not be: no quorum, or not ready (503).
    Unavailable,
    /// The change may or may not have been committed; resend it with the same
    /// idempotency key (503).
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

/// Body of an error response of the resource API.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// Kind of the error.
    pub code: ErrorCode,
    /// What failed, on which resource or request, and the remedy.
    pub message: CompactString,
    /// Validation findings, each with its place.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// Resource API addresses of processes that serve the request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<SocketAddr>,
}

impl ApiError {
    /// Creates an error without findings and addresses.
    pub fn new(code: ErrorCode, message: impl Into<CompactString>) -> Self {
        Self { code, message: message.into(), findings: Vec::new(), addresses: Vec::new() }
    }

    /// Sets the findings.
    pub fn with_findings(mut self, findings: Vec<Finding>) -> Self {
        self.findings = findings;
        self
    }

    /// Sets the resource API addresses of processes that serve the request.
    pub fn with_addresses(mut self, addresses: Vec<SocketAddr>) -> Self {
        self.addresses = addresses;
        self
    }
}
