//! Settings of the daemon, read from INI files and checked into [`Settings`].

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use fireflylug_core::context::Addresses;
use fireflylug_core::ids::{Locality, Name};

/// Checked settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: Name,
    /// Region and availability zone of the host.
    pub locality: Locality,
    /// Addresses to listen at. Port 0 lets the system choose.
    pub listen: Addresses,
    /// Addresses of other processes to join through (their `peers` address).
    pub seeds: Vec<SocketAddr>,
    /// Present where the process is a control replica.
    pub control: Option<ControlSection>,
    /// File that holds the shared key; none is allowed on loopback only.
    pub key_file: Option<PathBuf>,
    /// File to which the daemon writes the addresses that it listens at, as
    /// JSON, once it is up.
    pub addresses_file: Option<PathBuf>,
    /// Pairs of an announced address and the one to connect to instead.
    pub translate: Vec<(SocketAddr, SocketAddr)>,
    /// Least level of log lines: debug, info, warn or error.
    pub log_level: LogLevel,
    /// Addresses announced to others where they differ from `listen`.
    pub advertise: Advertise,
    /// Longest time that a graceful stop waits for what is in flight, in milliseconds.
    pub stop_limit_ms: u64,
}

/// Longest time that a graceful stop waits, in milliseconds, where the settings say nothing.
pub const DEFAULT_STOP_LIMIT_MS: u64 = 30_000;

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
            seeds: Vec::new(),
            control: None,
            key_file: None,
            addresses_file: None,
            translate: Vec::new(),
            log_level: LogLevel::Info,
            advertise: Advertise::default(),
            stop_limit_ms: DEFAULT_STOP_LIMIT_MS,
        }
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
