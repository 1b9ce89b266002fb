//! Checks a raw file into [`Settings`].

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use fireflylug_core::context::Addresses;
use fireflylug_core::ids::{Locality, Name};
use strum::VariantNames;

use crate::raw::RawSettings;
use crate::reader::{Reader, Value, parse_address};
use crate::{
    Advertise, ControlSection, DEFAULT_STOP_LIMIT_MS, LogLevel, Settings, SettingsFinding,
    default_listen,
};

/// Most voters of the replicated log.
const MAX_VOTERS: usize = 7;
/// Longest limit of a graceful stop, in milliseconds.
const MAX_STOP_LIMIT_MS: u64 = 3_600_000;

/// What a process is, where the settings say it.
#[derive(Clone, Copy, PartialEq, strum::EnumString, strum::VariantNames)]
#[strum(serialize_all = "lowercase")]
enum Role {
    Proxy,
    Control,
}

/// Checks a raw file. Relative paths start at `folder`.
pub fn check(raw: RawSettings, folder: &Path) -> Result<Settings, Vec<SettingsFinding>> {
    let mut reader = Reader::new(raw);
    let host = reader.required_name("host", "name");
    let region = reader.required_name("host", "region");
    let availability_zone = reader.required_name("host", "availability_zone");
    let key_file = path(&reader, "security", "key_file", folder);
    let listen = listen(&mut reader, key_file.is_some());
    let advertise = advertise(&mut reader);
    let seeds = reader.list("join", "seeds", parse_address);
    let control = control(&mut reader, host.as_ref(), folder);
    let translate = translate(&mut reader);
    let log_level = log_level(&mut reader);
    let stop_limit_ms = stop_limit_ms(&mut reader);
    let addresses_file = path(&reader, "listen", "addresses_file", folder);

    let findings = reader.into_findings();
    match (host, region, availability_zone) {
        (Some(host), Some(region), Some(availability_zone)) if findings.is_empty() => {
            Ok(Settings {
                host,
                locality: Locality { region, availability_zone },
                listen,
                advertise,
                seeds,
                control,
                key_file,
                addresses_file,
                translate,
                log_level,
                stop_limit_ms,
            })
        }
        _ => Err(findings),
    }
}

fn listen(reader: &mut Reader, has_key: bool) -> Addresses {
    let defaults = default_listen();
    let mut taken: Vec<(SocketAddr, &str)> = Vec::new();
    let mut at = |key: &'static str, default: SocketAddr| {
        let given = reader.address("listen", key);
        let address = given.as_ref().map_or(default, |(address, _)| *address);
        if let Some((_, value)) = &given {
            check_key(reader, value, address, has_key);
        }
        if let Some((_, other)) = taken.iter().find(|(a, _)| a.port() != 0 && *a == address) {
            let line = given.as_ref().map(|(_, value)| value.line);
            let message = format!("{address} is the address of {other} already; use another port");
            reader.find(line, &format!("[listen] {key}"), message);
        }
        taken.push((address, key));
        address
    };
    Addresses {
        peers: at("peers", defaults.peers),
        forward: at("forward", defaults.forward),
        api: at("api", defaults.api),
        calls: at("calls", defaults.calls),
    }
}

fn check_key(reader: &mut Reader, value: &Value, address: SocketAddr, has_key: bool) {
    if !address.ip().is_loopback() && !has_key {
        let message = "an address that other hosts reach needs a shared key; \
                       set key_file under [security]";
        reader.find_at(value, message.to_owned());
    }
}

fn advertise(reader: &mut Reader) -> Advertise {
    let mut at = |key| {
        let (address, value) = reader.address("advertise", key)?;
        if address.port() == 0 || address.ip().is_unspecified() {
            let message = format!("others cannot connect to {address}; name an address and port");
            reader.find_at(&value, message);
        }
        Some(address)
    };
    Advertise { peers: at("peers"), forward: at("forward"), api: at("api"), calls: at("calls") }
}

fn control(reader: &mut Reader, host: Option<&Name>, folder: &Path) -> Option<ControlSection> {
    let section = reader.section("control");
    check_role(reader, section);
    let line = section?;
    let data_dir = path(reader, "control", "data_dir", folder);
    if data_dir.is_none() {
        let message = "missing; add `data_dir = FOLDER`, a folder on a disk of this host";
        reader.find(Some(line), "[control] data_dir", message.to_owned());
    }
    let mut initial_voters = reader.list("control", "initial_voters", |text| Name::new(text));
    if initial_voters.is_empty() {
        initial_voters.extend(host.cloned());
    }
    check_voters(reader, host, &initial_voters, line);
    Some(ControlSection { data_dir: data_dir?, initial_voters })
}

fn check_role(reader: &mut Reader, control: Option<usize>) {
    let Some(value) = reader.optional("host", "role") else {
        return;
    };
    let role = reader
        .parsed(&value, |text| text.parse::<Role>().map_err(|_| one_of(text, Role::VARIANTS)));
    let clash = match (role, control) {
        (Some(Role::Proxy), Some(line)) => {
            format!("a proxy holds no log, but [control] stands on line {line}; remove one")
        }
        (Some(Role::Control), None) => {
            "a control replica needs a [control] section with data_dir".to_owned()
        }
        _ => return,
    };
    reader.find_at(&value, clash);
}

fn check_voters(reader: &mut Reader, host: Option<&Name>, voters: &[Name], line: usize) {
    let line = reader.optional("control", "initial_voters").map_or(line, |value| value.line);
    let mut find = |message: String| reader.find(Some(line), "[control] initial_voters", message);
    if voters.len() > MAX_VOTERS {
        find(format!("{} voters; use 3, 5 or 7 (1 for a trial)", voters.len()));
    }
    if let Some(twice) = voters.iter().enumerate().find(|(i, name)| voters[..*i].contains(name)) {
        find(format!("{} is named twice", twice.1));
    }
    if let Some(host) = host.filter(|host| !voters.contains(host)) {
        find(format!("this host, {host}, is not among them; add it or remove [control]"));
    }
}

fn translate(reader: &mut Reader) -> Vec<(SocketAddr, SocketAddr)> {
    let values = reader.all("translate");
    values.iter().filter_map(|value| reader.parsed(value, parse_translation)).collect()
}

fn parse_translation(text: &str) -> Result<(SocketAddr, SocketAddr), String> {
    let Some((announced, replacement)) = text.split_once("->") else {
        return Err(format!("{text:?} is no pair; write ANNOUNCED -> REPLACEMENT"));
    };
    Ok((parse_address(announced.trim())?, parse_address(replacement.trim())?))
}

fn log_level(reader: &mut Reader) -> LogLevel {
    let value = reader.optional("log", "level");
    let level = value.and_then(|value| {
        reader.parsed(&value, |text| text.parse().map_err(|_| one_of(text, LogLevel::VARIANTS)))
    });
    level.unwrap_or(LogLevel::Info)
}

fn stop_limit_ms(reader: &mut Reader) -> u64 {
    let value = reader.optional("stop", "limit_ms");
    let limit_ms = value.and_then(|value| {
        reader.parsed(&value, |text| match text.parse() {
            Ok(limit_ms) if (1..=MAX_STOP_LIMIT_MS).contains(&limit_ms) => Ok(limit_ms),
            _ => Err(format!("{text:?}: write 1 to {MAX_STOP_LIMIT_MS} milliseconds")),
        })
    });
    limit_ms.unwrap_or(DEFAULT_STOP_LIMIT_MS)
}

fn path(reader: &Reader, section: &str, key: &str, folder: &Path) -> Option<PathBuf> {
    reader.optional(section, key).map(|value| folder.join(value.text))
}

fn one_of(text: &str, known: &[&str]) -> String {
    format!("{text:?} is not known; use {}", known.join(", "))
}
