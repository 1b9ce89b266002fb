//! Extracts values from a parsed file and collects findings.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use fireflylug_core::ids::Name;

use crate::SettingsFinding;
use crate::raw::{RawEntry, RawSettings};

/// Known sections and their keys. An empty list allows any key, as in `translate`.
const KNOWN_SECTIONS: [(&str, &[&str]); 10] = [
    ("host", &["name", "region", "availability_zone", "role"]),
    (
        "listen",
        &[
            "address",
            "first_port",
            "peers",
            "forward",
            "api",
            "calls",
            "addresses_file",
            "link_mbps",
        ],
    ),
    ("advertise", &["peers", "forward", "api", "calls"]),
    ("join", &["seeds", "seed_port"]),
    ("callers", &["service"]),
    (
        "control",
        &["data_dir", "initial_voters", "voters_from_seeds", "forms_first_set", "tolerated_losses"],
    ),
    ("security", &["key_file", "trusted_network"]),
    ("log", &["level", "format"]),
    ("translate", &[]),
    ("stop", &["limit_ms", "notice_ms"]),
];

/// A value with its position in the file.
pub struct Value {
    /// Text of the value.
    pub text: String,
    /// Line number.
    pub line: usize,
    /// Section and key.
    pub place: CompactString,
}

/// Extracts values from a parsed file and collects findings.
pub struct Reader {
    sections: BTreeMap<CompactString, usize>,
    entries: BTreeMap<(CompactString, CompactString), RawEntry>,
    findings: Vec<SettingsFinding>,
}

impl Reader {
    /// Indexes a parsed file and records a finding for each unknown or repeated
    /// section or key.
    pub fn new(raw: RawSettings) -> Self {
        let mut reader =
            Self { sections: BTreeMap::new(), entries: BTreeMap::new(), findings: raw.findings };
        for section in raw.sections {
            let place = format_compact!("[{}]", section.name);
            if !KNOWN_SECTIONS.iter().any(|(name, _)| *name == section.name) {
                let known: Vec<&str> = KNOWN_SECTIONS.iter().map(|(name, _)| *name).collect();
                let message = format!("unknown section; known are {}", known.join(", "));
                reader.add_finding(Some(section.line), &place, message);
            } else if let Some(first) = reader.sections.get(&section.name) {
                let message = format!("the section already appears on line {first}; merge the two");
                reader.add_finding(Some(section.line), &place, message);
            }
            reader.sections.entry(section.name).or_insert(section.line);
        }
        for entry in raw.entries {
            reader.add_entry(entry);
        }
        reader
    }

    /// Returns the line number of a section's header, if the file has the section.
    pub fn section_line(&self, name: &str) -> Option<usize> {
        self.sections.get(name).copied()
    }

    /// Returns an optional value. An empty value counts as missing.
    pub fn optional(&self, section: &str, key: &str) -> Option<Value> {
        let entry = self.entries.get(&(section.into(), key.into()))?;
        (!entry.value.is_empty()).then(|| value(entry))
    }

    /// Returns all values of a section that allows any key.
    pub fn values(&self, section: &str) -> Vec<Value> {
        self.entries.values().filter(|entry| entry.section == section).map(value).collect()
    }

    /// Returns a required name.
    pub fn required_name(&mut self, section: &str, key: &str) -> Option<Name> {
        let Some(value) = self.optional(section, key) else {
            let place = format_compact!("[{section}] {key}");
            let line = self.section_line(section);
            self.add_finding(
                line,
                &place,
                format!("missing; add `{key} = NAME` under [{section}]"),
            );
            return None;
        };
        self.parse_value(&value, |text| Name::new(text))
    }

    /// Returns an optional address and its value.
    pub fn address(&mut self, section: &str, key: &str) -> Option<(SocketAddr, Value)> {
        let value = self.optional(section, key)?;
        let address = self.parse_value(&value, parse_address)?;
        Some((address, value))
    }

    /// Returns an optional name.
    pub fn optional_name(&mut self, section: &str, key: &str) -> Option<Name> {
        let value = self.optional(section, key)?;
        self.parse_value(&value, |text| Name::new(text))
    }

    /// Returns an optional boolean.
    pub fn boolean(&mut self, section: &str, key: &str) -> Option<bool> {
        let value = self.optional(section, key)?;
        self.parse_value(&value, |text| match text {
            "yes" | "true" => Ok(true),
            "no" | "false" => Ok(false),
            _ => Err(format!("{text:?}: write yes or no")),
        })
    }

    /// Returns the items of a comma-separated list, empty if the key is missing.
    pub fn list<T, E: Display>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Vec<T> {
        let Some(value) = self.optional(section, key) else {
            return Vec::new();
        };
        let mut items = Vec::new();
        for text in value.text.split(',').map(str::trim).filter(|text| !text.is_empty()) {
            match parse(text) {
                Ok(item) => items.push(item),
                Err(error) => self.add_finding_at(&value, error.to_string()),
            }
        }
        items
    }

    /// Parses a value and records a finding if it is invalid.
    pub fn parse_value<T, E: Display>(
        &mut self,
        value: &Value,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        match parse(&value.text) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.add_finding_at(value, error.to_string());
                None
            }
        }
    }

    /// Records a finding at a value.
    pub fn add_finding_at(&mut self, value: &Value, message: String) {
        self.add_finding(Some(value.line), &value.place, message);
    }

    /// Records a finding.
    pub fn add_finding(&mut self, line: Option<usize>, place: &str, message: String) {
        self.findings.push(SettingsFinding::new(line, place, message));
    }

    /// Returns the findings sorted by line. Findings without a line come last.
    pub fn into_findings(mut self) -> Vec<SettingsFinding> {
        self.findings.sort_by_key(|finding| finding.line.unwrap_or(usize::MAX));
        self.findings
    }

    fn add_entry(&mut self, entry: RawEntry) {
        let known = KNOWN_SECTIONS.iter().find(|(name, _)| *name == entry.section);
        let place = place(&entry);
        if entry.section.is_empty() {
            let message = "the key precedes the first [section]; move it under one";
            return self.add_finding(Some(entry.line), &place, message.to_owned());
        }
        // An unknown section yields a single finding, whatever keys it contains.
        let Some((section, keys)) = known else {
            return;
        };
        if !keys.is_empty() && !keys.contains(&entry.key.as_str()) {
            return self.add_finding(
                Some(entry.line),
                &place,
                unknown_key_message(section, &entry.key, keys),
            );
        }
        let section_and_key = (entry.section.clone(), entry.key.clone());
        if let Some(first) = self.entries.get(&section_and_key) {
            let message = format!("the key already appears on line {}; keep one", first.line);
            return self.add_finding(Some(entry.line), &place, message);
        }
        self.entries.insert(section_and_key, entry);
    }
}

/// Parses an IP address with a port.
pub fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| {
        format!("{text:?} is not an address; write IP:PORT, such as 127.0.0.1:7310 or [::1]:7310")
    })
}

fn unknown_key_message(section: &str, key: &str, keys: &[&str]) -> String {
    if key == "data_dir" {
        return "only control replicas have a data folder; move the key under [control]".to_owned();
    }
    format!("unknown key; known in [{section}] are {}", keys.join(", "))
}

fn value(entry: &RawEntry) -> Value {
    Value { text: entry.value.clone(), line: entry.line, place: place(entry) }
}

fn place(entry: &RawEntry) -> CompactString {
    format_compact!("[{}] {}", entry.section, entry.key)
}
