//! Settings of the daemon, parsed from INI files and validated into [`Settings`].
//!
//! [`Settings::from_file`] first parses the file line by line, then validates
//! every value. Each mistake becomes a [`SettingsFinding`] with its line, and
//! all findings are reported together. [`Settings::to_ini`] writes settings back.

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

/// Default port for messages between processes.
pub const DEFAULT_PEERS_PORT: u16 = 7310;
/// Default port for calls forwarded by other proxies.
pub const DEFAULT_FORWARD_PORT: u16 = 7311;
/// Default port of the resource API.
pub const DEFAULT_API_PORT: u16 = 7312;
/// Default port for calls from callers.
pub const DEFAULT_CALLS_PORT: u16 = 7313;

/// Default timeout of a graceful stop, in milliseconds.
pub const DEFAULT_STOP_LIMIT_MS: u64 = 30_000;

/// Default time for which a stopping process still accepts calls, in milliseconds.
pub const DEFAULT_STOP_NOTICE_MS: u64 = 1_000;

/// Bandwidth below which concurrent large responses are limited so that they do
/// not fill the link, in megabits per second.
const SLOW_LINK_LIMIT_MBPS: f64 = 100.0;
/// Longest time that a small response may wait for large ones on the link, in seconds.
const MAX_LINK_WAIT_S: f64 = 0.1;
/// Bytes in flight per connection.
const CONNECTION_WINDOW_BYTES: f64 = 65_536.0;

/// Default data folder of a process that is started without settings.
pub const DEFAULT_DATA_DIR: &str = "fireflylug-data";

/// Validated settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: Name,
    /// Region and availability zone of the host.
    pub locality: Locality,
    /// Addresses to listen on. Port 0 lets the operating system choose a port.
    pub listen: Addresses,
    /// Addresses announced to other processes where they differ from `listen`.
    pub advertise: Advertise,
    /// Addresses of other processes to join through (their `peers` address).
    pub seeds: Vec<SocketAddr>,
    /// Present if the process is a control replica.
    pub control: Option<ControlSection>,
    /// How the voters are determined if they are not listed.
    pub voters: VoterRules,
    /// Service of the callers on this host, passed on to targets.
    pub caller_service: Option<Name>,
    /// Whether listeners that other hosts can reach need no shared key, because
    /// the network is closed to third parties.
    pub trusted_network: bool,
    /// Bandwidth of the link of this host, in megabits per second, if known.
    pub link_mbps: Option<f64>,
    /// File that holds the shared key. Without one, listeners must be on loopback
    /// or on a trusted network.
    pub key_file: Option<PathBuf>,
    /// File to which the daemon writes its listen addresses as JSON after its
    /// listeners are bound.
    pub addresses_file: Option<PathBuf>,
    /// Address translations: an announced address and its replacement for connecting.
    pub translate: Vec<(SocketAddr, SocketAddr)>,
    /// Minimum level of log lines: debug, info, warn or error.
    pub log_level: LogLevel,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Longest time that a graceful stop waits for requests in flight, in milliseconds.
    pub stop_limit_ms: u64,
    /// Time for which a stopping process still accepts calls, in milliseconds.
    pub stop_notice_ms: u64,
}

/// Limit of concurrent large responses on the link of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BulkLimit {
    /// Maximum number of concurrent large responses.
    pub max_concurrent: usize,
    /// Bandwidth of the link, in bytes per second.
    pub link_bytes_per_s: u64,
}

/// How the voters of the replicated log are determined.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VoterRules {
    /// Whether the initial voters are the control replicas at the seeds.
    pub from_seeds: bool,
    /// Whether this replica only joins a voter set and never forms the first one.
    pub joins_only: bool,
    /// Number of voters that may fail at the same time. If set, the leader keeps
    /// enough voters for it and replaces unresponsive ones.
    pub tolerated_losses: Option<usize>,
}

/// Addresses announced to other processes, each set if it differs from the
/// listen address.
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
    /// Folder that holds the replica's files.
    pub data_dir: PathBuf,
    /// Hosts of the initial voters, including this one. Used only if the data
    /// folder is empty.
    pub initial_voters: Vec<Name>,
}

/// Format of log lines.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumString, strum::VariantNames,
)]
#[strum(serialize_all = "lowercase")]
pub enum LogFormat {
    /// Text on standard error.
    Text,
    /// JSON on standard output, one object per line.
    Json,
}

/// Minimum level of log lines.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumString, strum::VariantNames,
)]
#[strum(serialize_all = "lowercase")]
pub enum LogLevel {
    /// Details for developers.
    Debug,
    /// Normal operation.
    Info,
    /// Events that an operator may have to examine.
    Warn,
    /// Events that an operator must examine.
    Error,
}

impl Settings {
    /// Returns settings of a proxy on loopback with ports chosen by the operating system.
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

    /// Returns settings of a single-process mesh: a control replica on loopback
    /// with the default ports and its data in `./fireflylug-data`.
    pub fn mesh_of_one() -> Self {
        let name = |text: &str| Name::new(text).expect("the default names are valid");
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

    /// Reads and validates a file. Relative paths in it are resolved against its folder.
    ///
    /// The error contains all findings.
    pub fn from_file(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|error| {
            let finding = SettingsFinding::new(None, "file", format!("cannot be read: {error}"));
            SettingsError::new(file, vec![finding])
        })?;
        let folder = file.parent().unwrap_or(Path::new(""));
        Self::from_ini(&text, folder).map_err(|findings| SettingsError::new(file, findings))
    }

    /// Validates the text of a settings file. Relative paths in it are resolved
    /// against `folder`.
    pub fn from_ini(text: &str, folder: &Path) -> Result<Self, Vec<SettingsFinding>> {
        check::check(raw::parse(text), folder)
    }

    /// Returns the text of a settings file with these settings.
    pub fn to_ini(&self) -> String {
        write::to_ini(self)
    }

    /// Returns the limit of concurrent large responses that keeps the wait of small
    /// ones short. None if the link is fast or its bandwidth is not known.
    pub fn bulk_limit(&self) -> Option<BulkLimit> {
        let bytes_per_s = self.link_mbps.filter(|mbps| *mbps < SLOW_LINK_LIMIT_MBPS)? * 125_000.0;
        let max_concurrent =
            ((bytes_per_s * MAX_LINK_WAIT_S / CONNECTION_WINDOW_BYTES) as usize).max(1);
        Some(BulkLimit { max_concurrent, link_bytes_per_s: bytes_per_s as u64 })
    }

    /// Whether a few concurrent large responses fill the link of this host.
    pub fn is_link_slow(&self) -> bool {
        self.bulk_limit().is_some()
    }

    /// Sets the seed addresses to join through.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Configures the process as a control replica.
    pub fn with_control(mut self, control: ControlSection) -> Self {
        self.control = Some(control);
        self
    }

    /// Returns the addresses to announce for a process that listens on `listening`.
    pub fn advertised(&self, listening: Addresses) -> Addresses {
        Addresses {
            peers: self.advertise.peers.unwrap_or(listening.peers),
            forward: self.advertise.forward.unwrap_or(listening.forward),
            api: self.advertise.api.unwrap_or(listening.api),
            calls: self.advertise.calls.unwrap_or(listening.calls),
        }
    }
}

/// Returns the default ports on loopback.
fn default_listen() -> Addresses {
    let at = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Addresses {
        peers: at(DEFAULT_PEERS_PORT),
        forward: at(DEFAULT_FORWARD_PORT),
        api: at(DEFAULT_API_PORT),
        calls: at(DEFAULT_CALLS_PORT),
    }
}
