//! Settings of the daemon, read from INI files and checked into [`Settings`].
//!
//! [`Settings::from_file`] first reads the file raw, line by line, then checks
//! every value. Each mistake becomes a [`SettingsFinding`] with its line, and
//! all of them are reported together. [`Settings::to_ini`] is the way back.

mod check;
mod error;
mod raw;
mod reader;
mod write;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use fireflylug_core::context::Addresses;
use fireflylug_core::ids::{Locality, Name};

pub use error::{SettingsError, SettingsFinding};

/// Port for messages between processes, where the settings name none.
pub const DEFAULT_PEERS_PORT: u16 = 7310;
/// Port for calls forwarded by other proxies, where the settings name none.
pub const DEFAULT_FORWARD_PORT: u16 = 7311;
/// Port of the resource API, where the settings name none.
pub const DEFAULT_API_PORT: u16 = 7312;
/// Port for calls from callers, where the settings name none.
pub const DEFAULT_CALLS_PORT: u16 = 7313;

/// Longest time that a graceful stop waits, in milliseconds, where the settings say nothing.
pub const DEFAULT_STOP_LIMIT_MS: u64 = 30_000;

/// Time for which a stopping process still takes calls, in milliseconds, where
/// the settings say nothing.
pub const DEFAULT_STOP_NOTICE_MS: u64 = 1_000;

/// Rate below which large answers are kept from filling the link, in megabits a second.
const SLOW_LINK_MBPS: f64 = 100.0;
/// Time that a small answer may wait for large ones on the link, in seconds.
const MAX_LINK_WAIT_S: f64 = 0.1;
/// Bytes of one connection that may be under way at once.
const WINDOW_BYTES: f64 = 65_536.0;

/// Data folder of a process that is started without settings.
pub const DEFAULT_DATA_DIR: &str = "fireflylug-data";

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: Name,
    /// Region and availability zone of the host.
    pub locality: Locality,
    /// Addresses to listen at. Port 0 lets the system choose.
    pub listen: Addresses,
    /// Addresses announced to others where they differ from `listen`.
    pub advertise: Advertise,
    /// Addresses of other processes to join through (their `peers` address).
    pub seeds: Vec<SocketAddr>,
    /// Present where the process is a control replica.
    pub control: Option<ControlSection>,
    /// How the voters come about where they are not named.
    pub voters: VoterRules,
    /// Service of the callers of this host, which targets are told.
    pub caller_service: Option<Name>,
    /// Whether addresses that other hosts reach need no shared key, because
    /// nobody else can reach them.
    pub trusted_network: bool,
    /// Rate of the link of this host, in megabits a second; not known where absent.
    pub link_mbps: Option<f64>,
    /// File that holds the shared key; none is allowed on loopback only.
    pub key_file: Option<PathBuf>,
    /// File to which the daemon writes the addresses that it listens at, as
    /// JSON, once it is up.
    pub addresses_file: Option<PathBuf>,
    /// Pairs of an announced address and the one to connect to instead.
    pub translate: Vec<(SocketAddr, SocketAddr)>,
    /// Least level of log lines: debug, info, warn or error.
    pub log_level: LogLevel,
    /// Form of log lines.
    pub log_format: LogFormat,
    /// Longest time that a graceful stop waits for what is in flight, in milliseconds.
    pub stop_limit_ms: u64,
    /// Time for which a stopping process still takes calls, in milliseconds.
    pub stop_notice_ms: u64,
}

/// Places for large answers on the link of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkLanes {
    /// Large answers that are carried at once.
    pub lanes: usize,
    /// Rate of the whole link, in bytes a second.
    pub link_bytes_per_s: u64,
}

/// How the voters of the replicated log come about.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VoterRules {
    /// Whether the first voters are the control replicas at the seeds.
    pub from_seeds: bool,
    /// Whether this replica never forms the first set: it joins one.
    pub joins_only: bool,
    /// Voters that may be lost at once. Where given, the leader keeps enough
    /// voters for it and replaces those that fall silent.
    pub tolerated_losses: Option<usize>,
}

/// Addresses announced to others, each where it differs from the one listened at.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Advertise {
    /// Messages between processes.
    pub peers: Option<SocketAddr>,
    /// Calls forwarded by other proxies.
    pub forward: Option<SocketAddr>,
    /// Resource API.
    pub api: Option<SocketAddr>,
    /// Calls from callers.
    pub calls: Option<SocketAddr>,
}

/// Settings of a control replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSection {
    /// Folder of the replica's files.
    pub data_dir: PathBuf,
    /// Hosts of the first voters, this one included. Counts for an empty folder only.
    pub initial_voters: Vec<Name>,
}

/// Form of log lines.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumString, strum::VariantNames,
)]
#[strum(serialize_all = "lowercase")]
pub enum LogFormat {
    /// Text on the standard error.
    Text,
    /// JSON on the standard output, one object a line.
    Json,
}

/// Least level of log lines.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumString, strum::VariantNames,
)]
#[strum(serialize_all = "lowercase")]
pub enum LogLevel {
    /// Detail for developers.
    Debug,
    /// Normal operation.
    Info,
    /// Something an operator may need to look at.
    Warn,
    /// Something an operator must look at.
    Error,
}

impl Settings {
    /// Makes the settings of a proxy on loopback whose ports the system chooses.
    pub fn loopback(host: Name, locality: Locality) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            host,
            locality,
            listen: Addresses { peers: any, forward: any, api: any, calls: any },
            advertise: Advertise::default(),
            seeds: Vec::new(),
            control: None,
            voters: VoterRules::default(),
            caller_service: None,
            trusted_network: false,
            link_mbps: None,
            key_file: None,
            addresses_file: None,
            translate: Vec::new(),
            log_level: LogLevel::Info,
            log_format: LogFormat::Text,
            stop_limit_ms: DEFAULT_STOP_LIMIT_MS,
            stop_notice_ms: DEFAULT_STOP_NOTICE_MS,
        }
    }

    /// Makes the settings of a mesh of one: a control replica on loopback with
    /// the default ports and its data in `./fireflylug-data`.
    pub fn mesh_of_one() -> Self {
        let name = |text: &str| Name::new(text).expect("the default names are in form");
        let host = name("localhost");
        let locality = Locality { region: name("local"), availability_zone: name("local-a") };
        let control = ControlSection {
            data_dir: PathBuf::from(DEFAULT_DATA_DIR),
            initial_voters: vec![host.clone()],
        };
        let mut settings = Self::loopback(host, locality).with_control(control);
        settings.listen = default_listen();
        settings
    }

    /// Reads and checks a file. Relative paths in it start at its folder.
    ///
    /// Reports every finding together.
    pub fn from_file(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|error| {
            let finding = SettingsFinding::new(None, "file", format!("cannot be read: {error}"));
            SettingsError::new(file, vec![finding])
        })?;
        let folder = file.parent().unwrap_or(Path::new(""));
        Self::from_ini(&text, folder).map_err(|findings| SettingsError::new(file, findings))
    }

    /// Checks the text of a settings file. Relative paths in it start at `folder`.
    pub fn from_ini(text: &str, folder: &Path) -> Result<Self, Vec<SettingsFinding>> {
        check::check(raw::read(text), folder)
    }

    /// The text of a settings file that holds these settings.
    pub fn to_ini(&self) -> String {
        write::to_ini(self)
    }

    /// Large answers that the link of this host carries at once without making
    /// small ones wait for long. None where that is no matter.
    pub fn bulk_lanes(&self) -> Option<LinkLanes> {
        let bytes_a_second = self.link_mbps.filter(|mbps| *mbps < SLOW_LINK_MBPS)? * 125_000.0;
        let lanes = ((bytes_a_second * MAX_LINK_WAIT_S / WINDOW_BYTES) as usize).max(1);
        Some(LinkLanes { lanes, link_bytes_per_s: bytes_a_second as u64 })
    }

    /// Whether a few large answers at once fill the link of this host.
    pub fn is_link_slow(&self) -> bool {
        self.bulk_lanes().is_some()
    }

    /// Sets the addresses to join through.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Makes the process a control replica.
    pub fn with_control(mut self, control: ControlSection) -> Self {
        self.control = Some(control);
        self
    }

    /// The addresses to announce, where the process listens at `listening`.
    pub fn advertised(&self, listening: Addresses) -> Addresses {
        Addresses {
            peers: self.advertise.peers.unwrap_or(listening.peers),
            forward: self.advertise.forward.unwrap_or(listening.forward),
            api: self.advertise.api.unwrap_or(listening.api),
            calls: self.advertise.calls.unwrap_or(listening.calls),
        }
    }
}

/// The default ports on loopback.
fn default_listen() -> Addresses {
    let at = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Addresses {
        peers: at(DEFAULT_PEERS_PORT),
        forward: at(DEFAULT_FORWARD_PORT),
        api: at(DEFAULT_API_PORT),
        calls: at(DEFAULT_CALLS_PORT),
    }
}
