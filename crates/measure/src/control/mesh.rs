//! A mesh of daemons in this process, with simulated latencies between its locations.
//!
//! Each daemon advertises an address without a listener. Every other daemon
//! connects to it through a fault-injecting proxy for its own availability zone, so
//! that the link between two locations is one object that counts its bytes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{bail, eyre};
use fireflylug_core::ids::{Locality, Name, Version};
use fireflylug_daemon::Daemon;
use fireflylug_fault::{Direction, FaultProxy, Faults, HttpClient, Link};
use fireflylug_settings::{Advertise, ControlSection, LogLevel, Settings};
use futures_util::future::try_join_all;
use tempfile::TempDir;

use super::process::DaemonProcess;

/// Number of control replicas: the first daemons, in different availability zones.
pub const CONTROL_REPLICAS: usize = 3;

/// Maximum mesh size at which traffic within availability zones is counted too.
const MAX_COUNTED_DAEMONS: usize = 100;

/// Timeout of every wait for a condition.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);

/// Maximum wait until the address of a killed daemon is free.
const ADDRESS_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Locations of a mesh and the links between them.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Name of the layout.
    pub name: &'static str,
    /// Region and name of each availability zone.
    pub zones: [(&'static str, &'static str); 4],
    /// Number of daemons, spread evenly over the availability zones.
    pub daemons: usize,
    /// One-way latency between availability zones of one region, in microseconds.
    pub zone_latency_us: u64,
    /// One-way latency between regions, in microseconds.
    pub region_latency_us: u64,
    /// Bandwidth of the link between regions in each direction, in bytes per second.
    pub region_bytes_per_s: u64,
}

impl Layout {
    /// Locations and number of endpoints of Malabar Coachline.
    pub fn malabar() -> Self {
        Self {
            name: "Malabar",
            zones: [
                ("kochi", "kochi-ernakulam"),
                ("kochi", "kochi-aluva"),
                ("kozhikode", "kzd-mavoor"),
                ("kozhikode", "kzd-feroke"),
            ],
            daemons: 14,
            zone_latency_us: 1_000,
            region_latency_us: 30_000,
            region_bytes_per_s: 30_000_000 / 8,
        }
    }

    /// Locations and number of endpoints of Punarpatra Records.
    pub fn punarpatra() -> Self {
        Self {
            name: "Punarpatra",
            zones: [
                ("bengal-east", "east-a"),
                ("bengal-east", "east-b"),
                ("bengal-north", "north-a"),
                ("bengal-north", "north-b"),
            ],
            daemons: 15,
            zone_latency_us: 1_500,
            region_latency_us: 30_000,
            region_bytes_per_s: 35_000_000 / 8,
        }
    }

    /// Sets the number of daemons.
    pub fn with_daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Returns whether daemons of one availability zone connect directly, without a proxy.
    /// A connection through a proxy takes four file descriptors instead of two.
    pub fn is_direct_within_zones(&self) -> bool {
        self.daemons > MAX_COUNTED_DAEMONS
    }

    /// Returns the index of the availability zone of a daemon.
    pub fn zone_of(&self, daemon: usize) -> usize {
        daemon % self.zones.len()
    }

    fn faults(&self, latency_us: u64, rate_bytes_per_s: u64) -> Faults {
        Faults::new().with_latency_us(latency_us).with_rate_bytes_per_s(rate_bytes_per_s)
    }
}

/// The links between the locations of a layout.
#[derive(Clone, Debug)]
pub struct Links {
    /// Between the two regions.
    pub region: Arc<Link>,
    /// Between two availability zones of one region, shared by all regions.
    pub zone: Arc<Link>,
    /// Within availability zones.
    pub local: Arc<Link>,
}

impl Links {
    /// Creates the links of a layout.
    pub fn new(layout: &Layout) -> Self {
        let region = layout.faults(layout.region_latency_us, layout.region_bytes_per_s);
        Self {
            region: Link::with_faults(region),
            zone: Link::with_faults(layout.faults(layout.zone_latency_us, 0)),
            local: Link::new(),
        }
    }

    /// Returns the link from one availability zone to another, and its direction.
    pub fn between(&self, layout: &Layout, from: usize, to: usize) -> (Arc<Link>, Direction) {
        let direction = if from <= to { Direction::Forward } else { Direction::Backward };
        let link = if from == to {
            &self.local
        } else if layout.zones[from].0 == layout.zones[to].0 {
            &self.zone
        } else {
            &self.region
        };
        (Arc::clone(link), direction)
    }

    /// Returns the bytes over all links.
    pub fn total_bytes(&self) -> u64 {
        self.region.total_bytes() + self.zone.total_bytes() + self.local.total_bytes()
    }
}

/// One daemon with the proxies through which its peers connect to it.
struct Node {
    settings: Settings,
    /// Proxies to this daemon, indexed by the availability zone of the connecting daemon.
    proxies: Vec<FaultProxy>,
    /// The daemon if it runs in this process.
    daemon: Option<Daemon>,
    /// The daemon if it runs as a separate process.
    process: Option<DaemonProcess>,
    _data_dir: Option<TempDir>,
}

/// Running daemons.
pub struct Mesh {
    /// Locations of the daemons.
    pub layout: Layout,
    /// Links between the locations.
    pub links: Links,
    /// Client of the resource API.
    pub client: HttpClient,
    nodes: Vec<Node>,
    changes: u32,
}

impl Mesh {
    /// Starts every daemon and waits until each one holds a first configuration.
    pub async fn start(layout: Layout) -> eyre::Result<Self> {
        let links = Links::new(&layout);
        let proxies =
            try_join_all((0..layout.daemons).map(|daemon| start_proxies(&layout, &links, daemon)))
                .await?;
        let mut nodes = Vec::new();
        for index in 0..layout.daemons {
            let (settings, data_dir) = settings(&layout, &proxies, index)?;
            nodes.push((settings, data_dir));
        }
        let nodes = nodes.into_iter().zip(proxies);
        let nodes = nodes.map(|((settings, data_dir), proxies)| Node {
            settings,
            proxies,
            daemon: None,
            process: None,
            _data_dir: data_dir,
        });
        let nodes = nodes.collect();
        let mut mesh = Self { layout, links, client: HttpClient::new(), nodes, changes: 0 };
        mesh.start_down().await?;
        mesh.change_until_accepted(0, CONDITION_TIMEOUT).await?;
        mesh.wait_all_current().await?;
        Ok(mesh)
    }

    /// Starts every daemon that is down.
    pub async fn start_down(&mut self) -> eyre::Result<()> {
        let is_down = |node: &&mut Node| node.daemon.is_none() && node.process.is_none();
        let down = self.nodes.iter_mut().filter(is_down);
        try_join_all(down.map(Node::start)).await?;
        Ok(())
    }

    /// Kills a daemon without a graceful stop, as in a crash.
    pub fn kill(&mut self, daemon: usize) {
        let node = &mut self.nodes[daemon];
        node.proxies.iter().for_each(|proxy| proxy.set_upstream(None));
        if let Some(daemon) = node.daemon.take() {
            daemon.kill();
        }
    }

    /// Returns a daemon that runs in this process.
    pub fn daemon(&self, daemon: usize) -> eyre::Result<&Daemon> {
        let daemon = self.nodes.get(daemon).and_then(|node| node.daemon.as_ref());
        daemon.ok_or_else(|| eyre!("the daemon does not run in this process"))
    }

    /// Restarts a daemon as a separate process.
    pub async fn move_to_process(&mut self, daemon: usize) -> eyre::Result<()> {
        self.kill(daemon);
        let node = &mut self.nodes[daemon];
        let process = DaemonProcess::start(&node.settings).await?;
        node.proxies.iter().for_each(|proxy| proxy.set_upstream(Some(process.addresses.peers)));
        node.process = Some(process);
        Ok(())
    }

    /// Returns a daemon that runs as a separate process.
    pub fn process(&self, daemon: usize) -> eyre::Result<&DaemonProcess> {
        let process = self.nodes.get(daemon).and_then(|node| node.process.as_ref());
        process.ok_or_else(|| eyre!("daemon {daemon} does not run as a separate process"))
    }

    /// Returns the address of the resource API of a daemon.
    pub fn api(&self, daemon: usize) -> eyre::Result<SocketAddr> {
        let node = &self.nodes[daemon];
        let addresses = node.daemon.as_ref().map(Daemon::addresses);
        let addresses = addresses.or(node.process.as_ref().map(|process| process.addresses));
        Ok(addresses.ok_or_else(|| eyre!("daemon {daemon} is down"))?.api)
    }

    /// Returns the daemon of an availability zone that relays to the most other daemons.
    pub fn relay(&self, zone: usize) -> Option<usize> {
        let children = |index: &usize| {
            let daemon = self.nodes[*index].daemon.as_ref();
            daemon.map_or(0, |d| d.runtime().inspect(|s| s.distribution().child_count()))
        };
        (CONTROL_REPLICAS..self.nodes.len())
            .filter(|index| self.layout.zone_of(*index) == zone)
            .max_by_key(children)
    }

    /// Returns the leader of the control replicas according to the status of the first one.
    pub async fn leader_by_status(&self) -> eyre::Result<usize> {
        let answer = self.client.send(self.api(0)?, "GET /v1/status", &[], "").await?;
        let status: serde_json::Value = serde_json::from_slice(&answer.body)?;
        let leader = status["control"]["leader"].as_str().and_then(|l| l.strip_prefix("host-"));
        Ok(leader.ok_or_else(|| eyre!("no leader in {}", answer.text()))?.parse()?)
    }

    /// Sends a change of one policy. Returns the version that contains it.
    pub async fn change(&mut self, at: usize) -> eyre::Result<Version> {
        self.changes += 1;
        let body = policy(self.changes);
        let api = self.api(at)?;
        let answer = self.client.send(api, "PUT /v1/policies/measured", &[], body).await?;
        if !answer.status.is_success() {
            bail!("the change was refused with status {}: {}", answer.status, answer.text());
        }
        let value: serde_json::Value = serde_json::from_slice(&answer.body)?;
        let version = value.get("version").and_then(serde_json::Value::as_u64);
        version.map(Version).ok_or_else(|| eyre!("no version in {}", answer.text()))
    }

    /// Sends changes until one is accepted.
    pub async fn change_until_accepted(
        &mut self,
        at: usize,
        timeout: Duration,
    ) -> eyre::Result<Version> {
        let started_at = Instant::now();
        loop {
            match self.change(at).await {
                Ok(version) => return Ok(version),
                Err(error) if started_at.elapsed() > timeout => return Err(error),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// Waits until every daemon in this process holds this version. Returns the time at which
    /// the last one holds it.
    pub async fn wait_in_force(&self, version: Version) -> eyre::Result<Instant> {
        let started_at = Instant::now();
        loop {
            let behind = self.versions().filter(|held| *held < version).count();
            if behind == 0 {
                return Ok(Instant::now());
            }
            if started_at.elapsed() > CONDITION_TIMEOUT {
                bail!("{behind} daemons do not hold version {version} after {CONDITION_TIMEOUT:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every daemon in this process holds the newest version that any of them holds.
    pub async fn wait_all_current(&self) -> eyre::Result<Instant> {
        let newest = self.versions().max().unwrap_or_default();
        self.wait_in_force(newest).await
    }

    /// Returns the versions that the daemons in this process serve; 0 for one that is not ready.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        self.nodes.iter().filter_map(|node| node.daemon.as_ref()).map(|daemon| {
            daemon.runtime().inspect(|state| {
                let distribution = state.distribution();
                if distribution.is_ready() { distribution.current().version() } else { Version(0) }
            })
        })
    }

    /// Waits until the control replicas have a leader.
    pub async fn wait_leader(&self) -> eyre::Result<usize> {
        let started_at = Instant::now();
        loop {
            if let Some(leader) = self.leader() {
                return Ok(leader);
            }
            eyre::ensure!(
                started_at.elapsed() < CONDITION_TIMEOUT,
                "no leader after {CONDITION_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the control replica in this process that considers itself the leader.
    pub fn leader(&self) -> Option<usize> {
        let ids: Vec<_> = self.nodes.iter().map(Node::node_id).collect();
        (0..CONTROL_REPLICAS).find(|index| {
            self.nodes[*index].daemon.as_ref().is_some_and(|daemon| {
                let is_leader = |state: &fireflylug_core::State| {
                    state.control().and_then(|control| control.leader()) == Some(ids[*index])
                };
                daemon.runtime().inspect(is_leader)
            })
        })
    }
}

impl Node {
    fn node_id(&self) -> fireflylug_core::ids::NodeId {
        fireflylug_core::ids::NodeId::of_host(&self.settings.host)
    }

    async fn start(&mut self) -> eyre::Result<()> {
        let started_at = Instant::now();
        let daemon = loop {
            match Daemon::start(self.settings.clone()).await {
                Ok(daemon) => break daemon,
                Err(error) if started_at.elapsed() > ADDRESS_RELEASE_TIMEOUT => return Err(error),
                // The listeners of the killed daemon close with a delay.
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        let peers = daemon.addresses().peers;
        self.proxies.iter().for_each(|proxy| proxy.set_upstream(Some(peers)));
        self.daemon = Some(daemon);
        Ok(())
    }
}

async fn start_proxies(
    layout: &Layout,
    links: &Links,
    daemon: usize,
) -> eyre::Result<Vec<FaultProxy>> {
    let to = layout.zone_of(daemon);
    let start_proxy = |from| {
        let (link, direction) = links.between(layout, from, to);
        FaultProxy::start_over(link, direction)
    };
    Ok(try_join_all((0..layout.zones.len()).map(start_proxy)).await?)
}

fn settings(
    layout: &Layout,
    proxies: &[Vec<FaultProxy>],
    index: usize,
) -> eyre::Result<(Settings, Option<TempDir>)> {
    let zone = layout.zone_of(index);
    let (region, zone_name) = layout.zones[zone];
    let locality =
        Locality { region: Name::new(region)?, availability_zone: Name::new(zone_name)? };
    let seeds = (0..CONTROL_REPLICAS).map(advertised_address).collect();
    let mut settings = Settings::loopback(host_name(index)?, locality).with_seeds(seeds);
    settings.advertise =
        Advertise { peers: Some(advertised_address(index)), ..Advertise::default() };
    settings.log_level = LogLevel::Error;
    settings.listen.peers = listen_address(index);
    let connect_address = |daemon: usize| {
        let is_direct = layout.is_direct_within_zones() && layout.zone_of(daemon) == zone;
        if is_direct { listen_address(daemon) } else { proxies[daemon][zone].address() }
    };
    let daemons = 0..layout.daemons;
    settings.translate =
        daemons.map(|daemon| (advertised_address(daemon), connect_address(daemon))).collect();
    if index >= CONTROL_REPLICAS {
        return Ok((settings, None));
    }
    let data_dir = TempDir::new()?;
    let initial_voters = (0..CONTROL_REPLICAS).map(host_name).collect::<eyre::Result<_>>()?;
    let control = ControlSection { data_dir: data_dir.path().to_owned(), initial_voters };
    Ok((settings.with_control(control), Some(data_dir)))
}

/// Returns the address on which a daemon listens for messages between processes: its own
/// loopback address, fixed before it starts. The process id separates concurrent runs.
fn listen_address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
    let pid = std::process::id();
    let second = (pid % 250 + 1) as u8;
    SocketAddr::from((Ipv4Addr::new(127, second, high, low), 20_000 + (pid / 250 % 10_000) as u16))
}

fn host_name(index: usize) -> eyre::Result<Name> {
    Ok(Name::new(format!("host-{index}"))?)
}

/// Returns the address that a daemon advertises for messages between processes.
fn advertised_address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 1))
}

fn policy(change: u32) -> String {
    format!(r#"{{"name":"measured","deadline_ms":{}}}"#, 1_000 + change % 50_000)
}
