//! Validates a parsed file into [`Settings`].

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use fireflylug_core::context::Addresses;
use fireflylug_core::ids::{Locality, Name};
use strum::VariantNames;

use crate::raw::RawSettings;
use crate::reader::{Reader, Value, parse_address};
use crate::{
    Advertise, ControlSection, DEFAULT_STOP_LIMIT_MS, DEFAULT_STOP_NOTICE_MS, LogFormat, LogLevel,
    Settings, SettingsFinding, VoterRules, default_listen,
};

/// Maximum number of voters of the replicated log.
const MAX_VOTERS: usize = 7;
/// Largest accepted time of the `stop` section, in milliseconds.
const MAX_STOP_LIMIT_MS: u64 = 3_600_000;

/// Role of a process, if the settings declare it.
#[derive(Clone, Copy, PartialEq, strum::EnumString, strum::VariantNames)]
#[strum(serialize_all = "lowercase")]
enum Role {
    Proxy,
    Control,
}

/// Validates a parsed file. Relative paths are resolved against `folder`.
pub fn check(raw: RawSettings, folder: &Path) -> Result<Settings, Vec<SettingsFinding>> {
    let mut reader = Reader::new(raw);
    let host = reader.required_name("host", "name");
    let region = reader.required_name("host", "region");
    let availability_zone = reader.required_name("host", "availability_zone");
    let key_file = path(&reader, "security", "key_file", folder);
    let trusted_network = reader.boolean("security", "trusted_network").unwrap_or(false);
    let listen = listen(&mut reader, key_file.is_some() || trusted_network);
    let advertise = advertise(&mut reader);
    let seeds = seeds(&mut reader);
    let voters = voter_rules(&mut reader);
    let control = control(&mut reader, host.as_ref(), folder, voters);
    let caller_service = reader.optional_name("callers", "service");
    let link_mbps = link_mbps(&mut reader);
    let translate = translate(&mut reader);
    let log_level = log_level(&mut reader);
    let log_format = log_format(&mut reader);
    let stop_limit_ms = duration_ms(&mut reader, "stop", "limit_ms", DEFAULT_STOP_LIMIT_MS);
    let stop_notice_ms = duration_ms(&mut reader, "stop", "notice_ms", DEFAULT_STOP_NOTICE_MS);
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
                voters,
                caller_service,
                trusted_network,
                link_mbps,
                key_file,
                addresses_file,
                translate,
                log_level,
                log_format,
                stop_limit_ms,
                stop_notice_ms,
            })
        }
        _ => Err(findings),
    }
}

fn listen(reader: &mut Reader, is_protected: bool) -> Addresses {
    let defaults = default_addresses(reader);
    let mut used: Vec<(SocketAddr, &str)> = Vec::new();
    let mut address_of = |key: &'static str, default: SocketAddr| {
        let given = reader.address("listen", key);
        let address = given.as_ref().map_or(default, |(address, _)| *address);
        if let Some((_, value)) = &given {
            check_protection(reader, value, address, is_protected);
        }
        if let Some((_, other)) = used.iter().find(|(a, _)| a.port() != 0 && *a == address) {
            let line = given.as_ref().map(|(_, value)| value.line);
            let message = format!("{address} is the address of {other} already; use another port");
            reader.add_finding(line, &format!("[listen] {key}"), message);
        }
        used.push((address, key));
        address
    };
    Addresses {
        peers: address_of("peers", defaults.peers),
        forward: address_of("forward", defaults.forward),
        api: address_of("api", defaults.api),
        calls: address_of("calls", defaults.calls),
    }
}

/// Returns the listen addresses given by `address` and `first_port`, with
/// consecutive ports.
fn default_addresses(reader: &mut Reader) -> Addresses {
    let defaults = default_listen();
    let address = reader.optional("listen", "address").and_then(|value| {
        reader.parse_value(&value, |text| {
            text.parse::<IpAddr>().map_err(|_| format!("{text:?} is not an IP address"))
        })
    });
    let first_port = port(reader, "listen", "first_port");
    let ip = address.unwrap_or(defaults.peers.ip());
    let first_port = first_port.unwrap_or(defaults.peers.port());
    let at = |offset: u16| SocketAddr::new(ip, first_port.saturating_add(offset));
    Addresses { peers: at(0), forward: at(1), api: at(2), calls: at(3) }
}

fn link_mbps(reader: &mut Reader) -> Option<f64> {
    let value = reader.optional("listen", "link_mbps")?;
    reader.parse_value(&value, |text| match text.parse::<f64>() {
        Ok(mbps) if mbps > 0.0 && mbps.is_finite() => Ok(mbps),
        _ => Err(format!("{text:?}: write megabits per second, such as 100")),
    })
}

fn port(reader: &mut Reader, section: &str, key: &str) -> Option<u16> {
    let value = reader.optional(section, key)?;
    reader.parse_value(&value, |text| match text.parse() {
        Ok(port) if port > 0 => Ok(port),
        _ => Err(format!("{text:?} is not a port; write 1 to 65535")),
    })
}

/// Returns the seeds with their port replaced by `seed_port` if it is set. The
/// seeds may be given as addresses of another listener of the same processes.
fn seeds(reader: &mut Reader) -> Vec<SocketAddr> {
    let seeds = reader.list("join", "seeds", parse_address);
    match port(reader, "join", "seed_port") {
        Some(port) => seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect(),
        None => seeds,
    }
}

fn voter_rules(reader: &mut Reader) -> VoterRules {
    let from_seeds = reader.boolean("control", "voters_from_seeds").unwrap_or(false);
    let forms_first_set = reader.boolean("control", "forms_first_set").unwrap_or(true);
    let tolerated_losses = reader.optional("control", "tolerated_losses").and_then(|value| {
        reader.parse_value(&value, |text| match text.parse() {
            Ok(losses) if losses <= MAX_VOTERS / 2 => Ok(losses),
            _ => Err(format!("{text:?}: write 0 to {}", MAX_VOTERS / 2)),
        })
    });
    VoterRules { from_seeds, joins_only: !forms_first_set, tolerated_losses }
}

fn check_protection(reader: &mut Reader, value: &Value, address: SocketAddr, is_protected: bool) {
    if !address.ip().is_loopback() && !is_protected {
        let message = "an address that other hosts reach needs a shared key; \
                       set key_file under [security], or trusted_network if the network is \
                       closed to third parties";
        reader.add_finding_at(value, message.to_owned());
    }
}

fn advertise(reader: &mut Reader) -> Advertise {
    let mut address_of = |key| {
        let (address, value) = reader.address("advertise", key)?;
        if address.port() == 0 || address.ip().is_unspecified() {
            let message = format!(
                "other processes cannot connect to {address}; give a specific address and port"
            );
            reader.add_finding_at(&value, message);
        }
        Some(address)
    };
    Advertise {
        peers: address_of("peers"),
        forward: address_of("forward"),
        api: address_of("api"),
        calls: address_of("calls"),
    }
}

fn control(
    reader: &mut Reader,
    host: Option<&Name>,
    folder: &Path,
    voters: VoterRules,
) -> Option<ControlSection> {
    let control_line = reader.section_line("control");
    check_role(reader, control_line);
    let line = control_line?;
    let data_dir = path(reader, "control", "data_dir", folder);
    if data_dir.is_none() {
        let message = "missing; add `data_dir = FOLDER`, a folder on a local disk";
        reader.add_finding(Some(line), "[control] data_dir", message.to_owned());
    }
    let mut initial_voters = reader.list("control", "initial_voters", |text| Name::new(text));
    if voters.from_seeds || voters.joins_only {
        return Some(ControlSection { data_dir: data_dir?, initial_voters });
    }
    if initial_voters.is_empty() {
        initial_voters.extend(host.cloned());
    }
    check_voters(reader, host, &initial_voters, line);
    Some(ControlSection { data_dir: data_dir?, initial_voters })
}

fn check_role(reader: &mut Reader, control_line: Option<usize>) {
    let Some(value) = reader.optional("host", "role") else {
        return;
    };
    let role = reader.parse_value(&value, |text| {
        text.parse::<Role>().map_err(|_| unsupported_value(text, Role::VARIANTS))
    });
    let message = match (role, control_line) {
        (Some(Role::Proxy), Some(line)) => {
            format!(
                "a proxy holds no log, but line {line} starts a [control] section; remove one of them"
            )
        }
        (Some(Role::Control), None) => {
            "a control replica needs a [control] section with data_dir".to_owned()
        }
        _ => return,
    };
    reader.add_finding_at(&value, message);
}

fn check_voters(reader: &mut Reader, host: Option<&Name>, voters: &[Name], line: usize) {
    let line = reader.optional("control", "initial_voters").map_or(line, |value| value.line);
    let mut add_finding =
        |message: String| reader.add_finding(Some(line), "[control] initial_voters", message);
    if voters.len() > MAX_VOTERS {
        add_finding(format!("{} voters; use 3, 5 or 7 (1 for a test setup)", voters.len()));
    }
    if let Some(duplicate) = voters.iter().enumerate().find(|(i, name)| voters[..*i].contains(name))
    {
        add_finding(format!("{} is listed twice", duplicate.1));
    }
    if let Some(host) = host.filter(|host| !voters.contains(host)) {
        add_finding(format!("this host, {host}, is not among them; add it or remove [control]"));
    }
}

fn translate(reader: &mut Reader) -> Vec<(SocketAddr, SocketAddr)> {
    let values = reader.values("translate");
    values.iter().filter_map(|value| reader.parse_value(value, parse_translation)).collect()
}

fn parse_translation(text: &str) -> Result<(SocketAddr, SocketAddr), String> {
    let Some((announced, replacement)) = text.split_once("->") else {
        return Err(format!("{text:?} is not a pair; write ANNOUNCED -> REPLACEMENT"));
    };
    Ok((parse_address(announced.trim())?, parse_address(replacement.trim())?))
}

fn log_level(reader: &mut Reader) -> LogLevel {
    let value = reader.optional("log", "level");
    let level = value.and_then(|value| {
        reader.parse_value(&value, |text| {
            text.parse().map_err(|_| unsupported_value(text, LogLevel::VARIANTS))
        })
    });
    level.unwrap_or(LogLevel::Info)
}

fn log_format(reader: &mut Reader) -> LogFormat {
    let value = reader.optional("log", "format");
    let format = value.and_then(|value| {
        reader.parse_value(&value, |text| {
            text.parse().map_err(|_| unsupported_value(text, LogFormat::VARIANTS))
        })
    });
    format.unwrap_or(LogFormat::Text)
}

fn duration_ms(reader: &mut Reader, section: &str, key: &str, default_ms: u64) -> u64 {
    let value = reader.optional(section, key);
    let value_ms = value.and_then(|value| {
        reader.parse_value(&value, |text| match text.parse() {
            Ok(value_ms) if (1..=MAX_STOP_LIMIT_MS).contains(&value_ms) => Ok(value_ms),
            _ => Err(format!("{text:?}: write 1 to {MAX_STOP_LIMIT_MS} milliseconds")),
        })
    });
    value_ms.unwrap_or(default_ms)
}

fn path(reader: &Reader, section: &str, key: &str, folder: &Path) -> Option<PathBuf> {
    reader.optional(section, key).map(|value| folder.join(value.text))
}

fn unsupported_value(text: &str, known: &[&str]) -> String {
    format!("{text:?} is not supported; use {}", known.join(", "))
}
