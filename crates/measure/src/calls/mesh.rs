//! A small mesh in this process: daemons, targets and a configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use fireflylug_core::Event;
use fireflylug_core::api::ApiRequest;
use fireflylug_core::config::{Configuration, StoredResource};
use fireflylug_core::distribution::{DistributionMessage, HeldVersion, Update};
use fireflylug_core::ids::{Locality, Name, NodeId, RequestId, TargetId, Version};
use fireflylug_core::membership::TargetAnnouncement;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_daemon::Daemon;
use fireflylug_fault::TargetStandIn;
use fireflylug_settings::Settings;

/// Timeout of every wait for a condition on all daemons.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Lease of announced targets, in milliseconds. Longer than any measurement, as it is not
/// renewed.
const LEASE_MS: u32 = 600_000;

/// Daemons that are members of one mesh.
#[derive(Default)]
pub struct Mesh {
    /// The daemons, in start order. `None` once stopped.
    pub daemons: Vec<Option<Daemon>>,
    version: Version,
    resources: Vec<StoredResource>,
    announcements: Vec<TargetAnnouncement>,
}

/// Description of a target to announce.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpec<'a> {
    /// Service.
    pub service: &'a str,
    /// Id of the target.
    pub id: &'a str,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Maximum concurrent calls.
    pub slots: u32,
    /// Maximum concurrent connections.
    pub connections: u32,
}

impl<'a> TargetSpec<'a> {
    /// Creates a description with 12 slots and 120 connections.
    pub fn new(service: &'a str, id: &'a str, address: SocketAddr) -> Self {
        Self { service, id, address, slots: 12, connections: 120 }
    }

    /// Sets the maximum concurrent calls and connections.
    pub fn with_limits(mut self, slots: u32, connections: u32) -> Self {
        self.slots = slots;
        self.connections = connections;
        self
    }
}

/// Creates a name from a text that is valid. Panics otherwise.
pub fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

impl Mesh {
    /// Starts `count` daemons in one availability zone and waits until each one lists all of
    /// them as alive.
    pub async fn start(count: usize) -> eyre::Result<Self> {
        let mut mesh = Self::default();
        for _ in 0..count {
            mesh.add_daemon().await?;
        }
        mesh.wait_for_members().await?;
        Ok(mesh)
    }

    /// Starts `ingresses` daemons without targets, and one owner for each target of
    /// a service whose calls have a deadline of `deadline_ms`.
    pub async fn start_with_targets(
        ingresses: usize,
        deadline_ms: u64,
        targets: &[TargetStandIn],
    ) -> eyre::Result<Self> {
        let mut mesh = Self::start(ingresses + targets.len()).await?;
        let quick = Policy::new(name("quick")).with_deadline_ms(deadline_ms as u32);
        mesh.configure([
            Resource::Policy(quick),
            Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
            Resource::Route(Route::new(name("seats"), "/", name("seatdesk"))),
        ]);
        for (index, target) in targets.iter().enumerate() {
            let id = format!("t{index}");
            mesh.announce(ingresses + index, TargetSpec::new("seatdesk", &id, target.address()));
        }
        mesh.wait_for_targets(targets.len()).await?;
        Ok(mesh)
    }

    /// Starts another daemon. Replaces the first stopped one, if any.
    pub async fn add_daemon(&mut self) -> eyre::Result<()> {
        self.add_daemon_with(|settings| settings).await
    }

    /// Starts another daemon with modified settings.
    pub async fn add_daemon_with(
        &mut self,
        change: impl FnOnce(Settings) -> Settings,
    ) -> eyre::Result<()> {
        let free_index = self.daemons.iter().position(Option::is_none);
        let index = free_index.unwrap_or(self.daemons.len());
        let locality = Locality { region: name("kochi"), availability_zone: name("kochi-aluva") };
        let seeds = self.running().map(|daemon| daemon.addresses().peers).collect();
        let settings =
            Settings::loopback(name(&format!("host-{index}")), locality).with_seeds(seeds);
        let daemon = Daemon::start(change(settings)).await?;
        if self.version > Version(0) {
            self.install(&daemon);
        }
        match free_index {
            Some(free_index) => self.daemons[free_index] = Some(daemon),
            None => self.daemons.push(Some(daemon)),
        }
        Ok(())
    }

    /// Stops a daemon gracefully. Returns whether all its work finished in time.
    pub async fn stop(&mut self, index: usize) -> bool {
        match self.daemons[index].take() {
            Some(daemon) => daemon.stop().await,
            None => true,
        }
    }

    /// Returns the running daemons.
    pub fn running(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().flatten()
    }

    /// Returns a running daemon. Panics if it was stopped.
    pub fn daemon(&self, index: usize) -> &Daemon {
        self.daemons[index].as_ref().expect("the daemon runs")
    }

    /// Returns the address at which a daemon accepts calls.
    pub fn calls(&self, index: usize) -> SocketAddr {
        self.daemon(index).addresses().calls
    }

    /// Brings a configuration into force at every daemon, as a committed version.
    pub fn configure(&mut self, resources: impl IntoIterator<Item = Resource>) {
        self.version = self.version.next();
        let version = self.version;
        let stored = |resource| StoredResource { version, resource: Arc::new(resource) };
        self.resources = resources.into_iter().map(stored).collect();
        self.running().for_each(|daemon| self.install(daemon));
    }

    /// Brings the configuration into force at one daemon.
    pub fn install(&self, daemon: &Daemon) {
        let keyed = self.resources.iter().map(|stored| (stored.resource.key(), stored.clone()));
        let configuration = Configuration::new(self.version, keyed.collect());
        let message = DistributionMessage::Update(Update::snapshot(&configuration)).into();
        let from = NodeId::of_host(&name("source"));
        daemon.runtime().submit(Event::PeerMessage { from, message });
        // There is no control replica that reports which version was in force before.
        let held = HeldVersion {
            version: self.version,
            hash: configuration.hash(),
            acknowledged_version: Some(self.version),
            is_ready: true,
        };
        let message = DistributionMessage::HeldVersion(held).into();
        daemon.runtime().submit(Event::PeerMessage { from, message });
    }

    /// Announces a target to the daemon of its host.
    pub fn announce(&mut self, index: usize, target: TargetSpec<'_>) {
        let announcement = TargetAnnouncement {
            target: TargetId { service: name(target.service), id: name(target.id) },
            address: target.address,
            slots: target.slots,
            connections: target.connections,
            lease_ms: LEASE_MS,
            load_percent: None,
            draining: false,
            cold_ms: 0,
            order: None,
        };
        self.submit_request(index, ApiRequest::Announce(announcement.clone()));
        self.announcements.push(announcement);
    }

    /// Repeats the last announcement of the target with this id, as ready or draining.
    pub fn announce_again(&self, index: usize, id: &str, draining: bool) {
        let last_announcement =
            self.announcements.iter().rfind(|announcement| announcement.target.id.as_str() == id);
        if let Some(last_announcement) = last_announcement {
            let announcement = TargetAnnouncement { draining, ..last_announcement.clone() };
            self.submit_request(index, ApiRequest::Announce(announcement));
        }
    }

    fn submit_request(&self, index: usize, body: ApiRequest) {
        let request = RequestId(u64::MAX);
        self.daemon(index).runtime().submit(Event::ApiRequest { request, body });
    }

    /// Waits until every daemon lists every daemon as alive.
    pub async fn wait_for_members(&self) -> eyre::Result<()> {
        let count = self.running().count();
        self.wait_until("every daemon lists every daemon as alive", |daemon| {
            let alive = |member: &&fireflylug_core::membership::Member| {
                member.status == fireflylug_core::membership::MemberStatus::Alive
            };
            daemon
                .runtime()
                .inspect(|state| state.membership().members().filter(alive).count() == count)
        })
        .await
    }

    /// Waits until every daemon serves calls and lists this many targets.
    pub async fn wait_for_targets(&self, count: usize) -> eyre::Result<()> {
        self.wait_until("every daemon serves calls and lists every target", |daemon| {
            daemon.runtime().inspect(|state| {
                let targets = state.routing().metrics().targets.len();
                state.distribution().is_ready() && targets == count
            })
        })
        .await
    }

    /// Waits until `condition` is true for every daemon.
    pub async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&Daemon) -> bool,
    ) -> eyre::Result<()> {
        let wait = async {
            while !self.running().all(&condition) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(CONDITION_TIMEOUT, wait).await;
        waited.wrap_err_with(|| eyre!("timed out waiting until {what}"))
    }
}
