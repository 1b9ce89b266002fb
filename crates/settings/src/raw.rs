//! Reads a file into sections, keys and values with their lines.
//!
//! rust-ini keeps no line numbers and stops at the first mistake, so it is
//! given one line at a time: a faulty line then hides none of those after it.

use compact_str::CompactString;
use ini::{Ini, ParseOption};

use crate::SettingsFinding;

/// A file as it was read.
#[derive(Debug, Default)]
pub struct RawSettings {
    /// Section headers, in order.
    pub sections: Vec<RawSection>,
    /// Keys with their values, in order.
    pub entries: Vec<RawEntry>,
    /// Lines that are not INI.
    pub findings: Vec<SettingsFinding>,
}

/// A section header.
#[derive(Debug)]
pub struct RawSection {
    /// Name of the section.
    pub name: CompactString,
    /// Line of the header.
    pub line: usize,
}

/// A key with its value.
#[derive(Debug)]
pub struct RawEntry {
    /// Section that the key stands in; empty before the first header.
    pub section: CompactString,
    /// Key.
    pub key: CompactString,
    /// Value without the white space around it.
    pub value: String,
    /// Line.
    pub line: usize,
}

/// Reads a file.
pub fn read(text: &str) -> RawSettings {
    let mut raw = RawSettings::default();
    let mut section = CompactString::default();
    for (index, text) in text.lines().enumerate() {
        let line = index + 1;
        match Ini::load_from_str_opt(text.trim(), options()) {
            Ok(ini) => take_line(&mut raw, &mut section, &ini, line),
            Err(error) => raw.findings.push(SettingsFinding::new(
                Some(line),
                "syntax",
                format!("{}; write [section], key = value, or a comment after ;", error.msg),
            )),
        }
    }
    raw
}

/// Backslashes and quotes in paths mean themselves.
fn options() -> ParseOption {
    ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() }
}

fn take_line(raw: &mut RawSettings, section: &mut CompactString, ini: &Ini, line: usize) {
    for (name, properties) in ini {
        if let Some(name) = name {
            *section = name.trim().into();
            raw.sections.push(RawSection { name: section.clone(), line });
        }
        raw.entries.extend(properties.iter().map(|(key, value)| RawEntry {
            section: section.clone(),
            key: key.trim().into(),
            value: value.trim().to_owned(),
            line,
        }));
    }
}
