//! Findings: what is wrong with a change set or a request, and where.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::StoredResource;

/// What kind of mistake a finding is.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FindingCode {
    /// The text is not JSON, or has an unknown or missing field.
    Malformed,
    /// A name, address or number is out of form or range.
    OutOfRange,
    /// Something refers to a resource that does not exist.
    Dangling,
    /// A resource is named twice in a change set.
    Duplicate,
    /// A resource that must exist does not.
    Missing,
    /// A resource is not at the version that the operator expected.
    VersionMismatch,
}

/// One mistake with its place.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// What kind of mistake it is.
    pub code: FindingCode,
    /// Where it is, such as `operations[2].resource.service`.
    pub place: CompactString,
    /// What is wrong, and the remedy.
    pub message: CompactString,
    /// What the resource is now, where it is not at the expected version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<StoredResource>,
}

impl Finding {
    /// Makes a finding.
    pub fn new(
        code: FindingCode,
        place: impl Into<CompactString>,
        message: impl Into<CompactString>,
    ) -> Self {
        Self { code, place: place.into(), message: message.into(), current: None }
    }

    /// Adds what the resource is now.
    pub fn with_current(mut self, current: Option<StoredResource>) -> Self {
        self.current = current;
        self
    }
}
