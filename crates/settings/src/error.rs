//! Mistakes in settings, each with its line.

use std::fmt;
use std::path::{Path, PathBuf};

use compact_str::CompactString;

/// One mistake in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFinding {
    /// Line, from 1; none where something is missing from the whole file.
    pub line: Option<usize>,
    /// Section and key, such as `[listen] api`.
    pub place: CompactString,
    /// What is wrong, and the remedy.
    pub message: String,
}

impl SettingsFinding {
    /// Makes a finding.
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

/// Every mistake in one settings file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// The mistakes, by line.
    pub findings: Vec<SettingsFinding>,
}

impl SettingsError {
    /// Makes an error.
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
