//! Parses a file into sections, keys and values with their line numbers.
//!
//! rust-ini keeps no line numbers and stops at the first syntax error. It is
//! therefore called once per line, so that an invalid line hides no later one.

use compact_str::CompactString;
use ini::{Ini, ParseOption};

use crate::SettingsFinding;

/// A parsed file whose values are not validated yet.
#[derive(Debug, Default)]
pub struct RawSettings {
    /// Section headers, in file order.
    pub sections: Vec<RawSection>,
    /// Keys with their values, in file order.
    pub entries: Vec<RawEntry>,
    /// Findings for lines that are not valid INI.
    pub findings: Vec<SettingsFinding>,
}

/// A section header.
#[derive(Debug)]
pub struct RawSection {
    /// Name of the section.
    pub name: CompactString,
    /// Line number of the header.
    pub line: usize,
}

/// A key with its value.
#[derive(Debug)]
pub struct RawEntry {
    /// Section of the key. Empty before the first header.
    pub section: CompactString,
    /// Name of the key.
    pub key: CompactString,
    /// Value without surrounding white space.
    pub value: String,
    /// Line number.
    pub line: usize,
}

/// Parses the text of a file.
pub fn parse(text: &str) -> RawSettings {
    let mut raw = RawSettings::default();
    let mut section = CompactString::default();
    for (index, text) in text.lines().enumerate() {
        let line = index + 1;
        match Ini::load_from_str_opt(text.trim(), parse_options()) {
            Ok(ini) => add_line(&mut raw, &mut section, &ini, line),
            Err(error) => raw.findings.push(SettingsFinding::new(
                Some(line),
                "syntax",
                format!("{}; write [section], key = value, or a comment after ;", error.msg),
            )),
        }
    }
    raw
}

/// Disables quotes and escapes, because both are literal characters in paths.
fn parse_options() -> ParseOption {
    ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() }
}

fn add_line(raw: &mut RawSettings, section: &mut CompactString, ini: &Ini, line: usize) {
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
