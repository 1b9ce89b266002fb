//! Validation findings: mistakes in a change set or a request, each with its place.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::StoredResource;

/// Kind of a finding.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FindingCode {
    /// The text is not valid JSON, or has an unknown or missing field.
    Malformed,
    /// A name, address or number is malformed or out of range.
    OutOfRange,
    /// A reference to a resource that does not exist.
    Dangling,
    /// A change set names a resource twice, or two routes have the same match.
    Duplicate,
    /// A resource that must exist does not exist.
    Missing,
    /// A resource is not at the version that the operator expected.
    VersionMismatch,
}

/// One mistake in a change set or a request, with its place.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// Kind of the finding.
    pub code: FindingCode,
    /// Path of the field, such as `operations[2].resource.service`.
    pub place: CompactString,
    /// The mistake and its remedy.
    pub message: CompactString,
    /// The current resource, if it is not at the expected version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<StoredResource>,
}

impl Finding {
    /// Creates a finding without a current resource.
    pub fn new(
        code: FindingCode,
        place: impl Into<CompactString>,
        message: impl Into<CompactString>,
    ) -> Self {
        Self { code, place: place.into(), message: message.into(), current: None }
    }

    /// Sets the current resource.
    pub fn with_current(mut self, current: Option<StoredResource>) -> Self {
        self.current = current;
        self
    }
}
