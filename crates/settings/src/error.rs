//! Errors in settings files, each finding with its line.

use std::fmt;
use std::path::{Path, PathBuf};

use compact_str::CompactString;

/// One mistake in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFinding {
    /// Line number, starting at 1. None if the finding concerns the whole file.
    pub line: Option<usize>,
    /// Section and key, such as `[listen] api`.
    pub place: CompactString,
    /// Description of the mistake, with the remedy.
    pub message: String,
}

impl SettingsFinding {
    /// Creates a finding.
    pub fn new(
        line: Option<usize>,
        place: impl Into<CompactString>,
        message: impl Into<String>,
    ) -> Self {
        Self { line, place: place.into(), message: message.into() }
    }
}

impl fmt::Display for SettingsFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All findings of one settings file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SettingsError {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Findings, sorted by line.
    pub findings: Vec<SettingsFinding>,
}

impl SettingsError {
    /// Creates an error.
    pub fn new(file: &Path, findings: Vec<SettingsFinding>) -> Self {
        Self { file: file.to_owned(), findings }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings file {} has {} findings", self.file.display(), self.findings.len())?;
        self.findings.iter().try_for_each(|finding| write!(f, "\n  {finding}"))
    }
}
