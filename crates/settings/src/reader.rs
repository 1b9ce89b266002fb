//! Takes values out of a raw file and gathers findings.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use fireflylug_core::ids::Name;

use crate::SettingsFinding;
use crate::raw::{RawEntry, RawSettings};

/// Sections and keys that exist. The keys of `translate` are chosen freely.
const KNOWN: [(&str, &[&str]); 10] = [
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

/// A value with its place.
pub struct Value {
    /// The text.
    pub text: String,
    /// Line.
    pub line: usize,
    /// Section and key.
    pub place: CompactString,
}

/// Takes values out of a raw file and gathers findings.
pub struct Reader {
    sections: BTreeMap<CompactString, usize>,
    entries: BTreeMap<(CompactString, CompactString), RawEntry>,
    findings: Vec<SettingsFinding>,
}

impl Reader {
    /// Takes a raw file in, and notes unknown and repeated sections and keys.
    pub fn new(raw: RawSettings) -> Self {
        let mut reader =
            Self { sections: BTreeMap::new(), entries: BTreeMap::new(), findings: raw.findings };
        for section in raw.sections {
            let place = format_compact!("[{}]", section.name);
            if !KNOWN.iter().any(|(name, _)| *name == section.name) {
                let known: Vec<&str> = KNOWN.iter().map(|(name, _)| *name).collect();
                let message = format!("unknown section; known are {}", known.join(", "));
                reader.find(Some(section.line), &place, message);
            } else if let Some(first) = reader.sections.get(&section.name) {
                let message = format!("the section stands on line {first} already; join the two");
                reader.find(Some(section.line), &place, message);
            }
            reader.sections.entry(section.name).or_insert(section.line);
        }
        for entry in raw.entries {
            reader.add(entry);
        }
        reader
    }

    /// The line of a section's header, where the file has the section.
    pub fn section(&self, name: &str) -> Option<usize> {
        self.sections.get(name).copied()
    }

    /// A value that may be left out. An empty one counts as left out.
    pub fn optional(&self, section: &str, key: &str) -> Option<Value> {
        let entry = self.entries.get(&(section.into(), key.into()))?;
        (!entry.value.is_empty()).then(|| value(entry))
    }

    /// Every value of a section whose keys are chosen freely.
    pub fn all(&self, section: &str) -> Vec<Value> {
        self.entries.values().filter(|entry| entry.section == section).map(value).collect()
    }

    /// A name that must be given.
    pub fn required_name(&mut self, section: &str, key: &str) -> Option<Name> {
        let Some(value) = self.optional(section, key) else {
            let place = format_compact!("[{section}] {key}");
            let line = self.section(section);
            self.find(line, &place, format!("missing; add `{key} = NAME` under [{section}]"));
            return None;
        };
        self.parsed(&value, |text| Name::new(text))
    }

    /// An address, where it is given.
    pub fn address(&mut self, section: &str, key: &str) -> Option<(SocketAddr, Value)> {
        let value = self.optional(section, key)?;
        let address = self.parsed(&value, parse_address)?;
        Some((address, value))
    }

    /// A name, where it is given.
    pub fn optional_name(&mut self, section: &str, key: &str) -> Option<Name> {
        let value = self.optional(section, key)?;
        self.parsed(&value, |text| Name::new(text))
    }

    /// A switch, where it is given.
    pub fn switch(&mut self, section: &str, key: &str) -> Option<bool> {
        let value = self.optional(section, key)?;
        self.parsed(&value, |text| match text {
            "yes" | "true" => Ok(true),
            "no" | "false" => Ok(false),
            _ => Err(format!("{text:?}: write yes or no")),
        })
    }

    /// A list whose items are separated by commas. Empty where it is not given.
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
                Err(error) => self.find_at(&value, error.to_string()),
            }
        }
        items
    }

    /// Parses a value; notes a finding where it is out of form.
    pub fn parsed<T, E: Display>(
        &mut self,
        value: &Value,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        match parse(&value.text) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.find_at(value, error.to_string());
                None
            }
        }
    }

    /// Notes a finding at a value.
    pub fn find_at(&mut self, value: &Value, message: String) {
        self.find(Some(value.line), &value.place, message);
    }

    /// Notes a finding.
    pub fn find(&mut self, line: Option<usize>, place: &str, message: String) {
        self.findings.push(SettingsFinding::new(line, place, message));
    }

    /// The findings, by line; those without a line last.
    pub fn into_findings(mut self) -> Vec<SettingsFinding> {
        self.findings.sort_by_key(|finding| finding.line.unwrap_or(usize::MAX));
        self.findings
    }

    fn add(&mut self, entry: RawEntry) {
        let known = KNOWN.iter().find(|(name, _)| *name == entry.section);
        let place = place(&entry);
        if entry.section.is_empty() {
            let message = "the key stands before the first [section]; move it under one";
            return self.find(Some(entry.line), &place, message.to_owned());
        }
        // An unknown section is one finding, whatever stands in it.
        let Some((section, keys)) = known else {
            return;
        };
        if !keys.is_empty() && !keys.contains(&entry.key.as_str()) {
            return self.find(Some(entry.line), &place, unknown_key(section, &entry.key, keys));
        }
        let slot = (entry.section.clone(), entry.key.clone());
        if let Some(first) = self.entries.get(&slot) {
            let message = format!("the key stands on line {} already; keep one", first.line);
            return self.find(Some(entry.line), &place, message);
        }
        self.entries.insert(slot, entry);
    }
}

/// Reads an address with its port.
pub fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| {
        format!("{text:?} is not an address; write IP:PORT, such as 127.0.0.1:7310 or [::1]:7310")
    })
}

fn unknown_key(section: &str, key: &str, keys: &[&str]) -> String {
    if key == "data_dir" {
        return "a data folder is for control replicas only; move it under [control]".to_owned();
    }
    format!("unknown key; known in [{section}] are {}", keys.join(", "))
}

fn value(entry: &RawEntry) -> Value {
    Value { text: entry.value.clone(), line: entry.line, place: place(entry) }
}

fn place(entry: &RawEntry) -> CompactString {
    format_compact!("[{}] {}", entry.section, entry.key)
}
