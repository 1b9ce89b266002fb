//! Serializes settings as the text of a settings file.

use std::net::SocketAddr;
use std::path::Path;

use ini::{EscapePolicy, Ini};

use crate::Settings;

/// Returns the text of a settings file with `settings`.
pub fn to_ini(settings: &Settings) -> String {
    let mut ini = Ini::new();
    let mut set = |section: &str, key: &str, value: String| {
        ini.set_to(Some(section), key.to_owned(), value);
    };
    let locality = &settings.locality;
    set("host", "name", settings.host.to_string());
    set("host", "region", locality.region.to_string());
    set("host", "availability_zone", locality.availability_zone.to_string());
    set("listen", "peers", settings.listen.peers.to_string());
    set("listen", "forward", settings.listen.forward.to_string());
    set("listen", "api", settings.listen.api.to_string());
    set("listen", "calls", settings.listen.calls.to_string());
    if let Some(file) = &settings.addresses_file {
        set("listen", "addresses_file", path_text(file));
    }
    if let Some(mbps) = settings.link_mbps {
        set("listen", "link_mbps", mbps.to_string());
    }
    let advertise = &settings.advertise;
    let advertised = [
        ("peers", advertise.peers),
        ("forward", advertise.forward),
        ("api", advertise.api),
        ("calls", advertise.calls),
    ];
    for (key, address) in advertised {
        if let Some(address) = address {
            set("advertise", key, address.to_string());
        }
    }
    if !settings.seeds.is_empty() {
        set("join", "seeds", comma_separated(&settings.seeds));
    }
    if let Some(control) = &settings.control {
        set("control", "data_dir", path_text(&control.data_dir));
        set("control", "initial_voters", comma_separated(&control.initial_voters));
        let voters = &settings.voters;
        set("control", "voters_from_seeds", boolean_text(voters.from_seeds));
        set("control", "forms_first_set", boolean_text(!voters.joins_only));
        if let Some(losses) = voters.tolerated_losses {
            set("control", "tolerated_losses", losses.to_string());
        }
    }
    if let Some(service) = &settings.caller_service {
        set("callers", "service", service.to_string());
    }
    set("security", "trusted_network", boolean_text(settings.trusted_network));
    if let Some(file) = &settings.key_file {
        set("security", "key_file", path_text(file));
    }
    set("log", "level", settings.log_level.to_string());
    set("log", "format", settings.log_format.to_string());
    for (index, pair) in settings.translate.iter().enumerate() {
        set("translate", &format!("pair_{index}"), translation_text(pair));
    }
    set("stop", "limit_ms", settings.stop_limit_ms.to_string());
    set("stop", "notice_ms", settings.stop_notice_ms.to_string());
    ini_text(&ini)
}

fn boolean_text(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn ini_text(ini: &Ini) -> String {
    let mut bytes = Vec::new();
    ini.write_to_policy(&mut bytes, EscapePolicy::Nothing)
        .expect("writing to a vector does not fail");
    String::from_utf8_lossy(&bytes).into_owned()
}

fn translation_text((announced, replacement): &(SocketAddr, SocketAddr)) -> String {
    format!("{announced} -> {replacement}")
}

fn comma_separated<T: ToString>(items: &[T]) -> String {
    let items: Vec<String> = items.iter().map(T::to_string).collect();
    items.join(", ")
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}
