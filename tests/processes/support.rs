//! Cluster of real daemons behind fault-injecting proxies, shared by these tests.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fireflylug_core::context::Addresses;
use fireflylug_core::ids::{Locality, Name};
use fireflylug_fault::{Direction, FaultProxy, HttpClient, HttpResponse, Lines, Link, Mode};
use fireflylug_settings::{Advertise, ControlSection, LogLevel, Settings};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// Timeout of every wait for a condition. Generous, as it only bounds a failing test.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of control hosts, which have a disk: the first three hosts.
pub const CONTROL_HOSTS: usize = 3;

/// Daemons that run as separate processes, with a link between each pair of hosts.
pub struct Cluster {
    pub client: HttpClient,
    dir: TempDir,
    zones: Vec<usize>,
    links: Vec<Vec<Arc<Link>>>,
    daemons: Vec<DaemonHandle>,
}

struct DaemonHandle {
    settings: Settings,
    /// Proxies to this daemon, indexed by the host that connects.
    proxies: Vec<FaultProxy>,
    child: Option<Child>,
    addresses: Option<Addresses>,
}

impl Cluster {
    /// Starts one daemon per entry of `zones`, in that availability zone.
    pub async fn start(zones: &[usize]) -> Self {
        Self::start_with_log_level(zones, LogLevel::Info).await
    }

    /// Starts one daemon per entry of `zones`, each of which logs from this level on.
    pub async fn start_with_log_level(zones: &[usize], log_level: LogLevel) -> Self {
        let dir = TempDir::new().expect("a folder for the test");
        let links = links(zones.len());
        let mut proxies = Vec::new();
        for to in 0..zones.len() {
            proxies.push(proxies_to(&links, to).await);
        }
        let settings: Vec<Settings> =
            (0..zones.len()).map(|host| settings(&dir, zones, &proxies, host)).collect();
        let settings = settings.into_iter().map(|settings| Settings { log_level, ..settings });
        let daemons = settings.zip(proxies).map(|(settings, proxies)| DaemonHandle {
            settings,
            proxies,
            child: None,
            addresses: None,
        });
        let daemons = daemons.collect();
        let client = HttpClient::new();
        let mut cluster = Self { client, dir, zones: zones.to_vec(), links, daemons };
        for host in 0..zones.len() {
            cluster.spawn(host).await;
        }
        cluster
    }

    /// Starts one daemon per entry, and declares a service with its route and policy.
    pub async fn start_with_service(zones: &[usize]) -> Self {
        let cluster = Self::start(zones).await;
        let version = cluster.change(0, "first", declare_service("seatdesk")).await;
        cluster.wait_in_force(version).await;
        cluster
    }

    /// Starts the daemon of a host that is down.
    pub async fn spawn(&mut self, host: usize) {
        let daemon = &mut self.daemons[host];
        let file = self.dir.path().join(format!("host-{host}.ini"));
        let addresses_file = daemon.settings.addresses_file.clone().expect("set for each");
        let _ = std::fs::remove_file(&addresses_file);
        std::fs::write(&file, daemon.settings.to_ini()).expect("a settings file");
        let log = std::fs::File::create(self.dir.path().join(format!("host-{host}.log")));
        let log = log.expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_fireflylugd"))
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .kill_on_drop(true)
            .spawn();
        let mut child = child.expect("the daemon's binary");
        let bytes = wait_for("the daemon to write its addresses", || {
            let exit_status = child.try_wait().expect("a child of this test");
            assert!(exit_status.is_none(), "the daemon of host {host} exited: {exit_status:?}");
            std::future::ready(std::fs::read(&addresses_file).ok())
        })
        .await;
        daemon.child = Some(child);
        let addresses: Addresses = serde_json::from_slice(&bytes).expect("addresses as JSON");
        daemon.addresses = Some(addresses);
        daemon.proxies.iter().for_each(|proxy| proxy.set_upstream(Some(addresses.peers)));
    }

    /// Kills the daemon of a host with SIGKILL.
    pub async fn kill(&mut self, host: usize) {
        let daemon = &mut self.daemons[host];
        daemon.proxies.iter().for_each(|proxy| proxy.set_upstream(None));
        if let Some(mut child) = daemon.child.take() {
            child.kill().await.expect("a child of this test");
        }
    }

    /// Sends SIGTERM to the daemon of a host.
    pub async fn terminate(&mut self, host: usize) {
        self.send_signal(host, "-TERM").await;
    }

    /// Sends SIGHUP to each running daemon, which reloads its settings file.
    pub async fn reload_all(&self) {
        for host in self.running() {
            self.send_signal(host, "-HUP").await;
        }
    }

    async fn send_signal(&self, host: usize, signal: &str) {
        let child = self.daemons[host].child.as_ref().expect("a daemon that runs");
        let pid = child.id().expect("a daemon that runs").to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().await;
        assert!(sent.expect("kill").success());
    }

    /// Waits until the daemon of a host exits. Returns whether it exited with success.
    pub async fn wait_for_exit(&mut self, host: usize) -> bool {
        let mut child = self.daemons[host].child.take().expect("a daemon that runs");
        let status = tokio::time::timeout(CONDITION_TIMEOUT, child.wait()).await;
        status.expect("the daemon exits in time").expect("a child of this test").success()
    }

    /// Returns the most memory that the daemon of a host has used, in bytes.
    pub fn peak_memory_bytes(&self, host: usize) -> u64 {
        let child = self.daemons[host].child.as_ref().expect("a daemon that runs");
        let pid = child.id().expect("a daemon that runs");
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.trim().strip_suffix(" kB")).expect("the peak in kB");
        kib.trim().parse::<u64>().expect("a number") * 1024
    }

    /// Deletes the data folder of a host that is down, as if its disk were replaced.
    pub fn delete_data_dir(&self, host: usize) {
        let control = self.daemons[host].settings.control.as_ref().expect("a control host");
        std::fs::remove_dir_all(&control.data_dir).expect("a data folder");
    }

    /// Sets the mode of every link of a host.
    pub fn isolate(&self, host: usize, mode: Mode) {
        let peers = (0..self.daemons.len()).filter(|peer| *peer != host);
        peers.for_each(|peer| self.links[host][peer].set_mode(mode));
    }

    /// Sets the mode of every link between an availability zone and the other ones.
    pub fn cut_zone(&self, zone: usize, mode: Mode) {
        let hosts = 0..self.daemons.len();
        for (a, b) in hosts.clone().flat_map(|a| hosts.clone().map(move |b| (a, b))) {
            if self.zones[a] == zone && self.zones[b] != zone {
                self.links[a][b].set_mode(mode);
            }
        }
    }

    /// Returns the addresses that the daemon of a host listens on.
    pub fn addresses(&self, host: usize) -> Addresses {
        self.daemons[host].addresses.expect("a daemon that runs")
    }

    /// Returns what the daemon of a host has logged since its last start.
    pub fn log(&self, host: usize) -> String {
        let file = self.dir.path().join(format!("host-{host}.log"));
        std::fs::read_to_string(file).expect("a log file")
    }

    /// Returns the hosts whose daemon runs.
    pub fn running(&self) -> Vec<usize> {
        (0..self.daemons.len()).filter(|host| self.daemons[*host].child.is_some()).collect()
    }

    /// Sends a request to the resource API of a host.
    pub async fn api(
        &self,
        host: usize,
        line: &str,
        body: &Value,
    ) -> std::io::Result<HttpResponse> {
        self.client.send(self.addresses(host).api, line, &[], body.to_string()).await
    }

    /// Sends a change set once with an idempotency key.
    pub async fn try_change(
        &self,
        host: usize,
        key: &str,
        body: &Value,
    ) -> std::io::Result<HttpResponse> {
        let headers = [("idempotency-key", key)];
        let api = self.addresses(host).api;
        self.client.send(api, "POST /v1/changes", &headers, body.to_string()).await
    }

    /// Sends a change set with an idempotency key until it is accepted. Returns its version.
    pub async fn change(&self, host: usize, key: &str, body: Value) -> u64 {
        wait_for("the change to be accepted", async || {
            version_of(&self.try_change(host, key, &body).await.ok()?)
        })
        .await
    }

    /// Returns the version that a host holds according to its status; `None` if it is not ready.
    pub async fn held_version(&self, host: usize) -> Option<u64> {
        let status = self.api(host, "GET /v1/status", &Value::Null).await.ok()?;
        let status: Value = serde_json::from_slice(&status.body).ok()?;
        let ready = status.get("ready").and_then(Value::as_bool) == Some(true);
        status.get("version").and_then(Value::as_u64).filter(|_| ready)
    }

    /// Waits until every running daemon holds a version.
    pub async fn wait_in_force(&self, version: u64) {
        for host in self.running() {
            let what = format!("host {host} to hold version {version}");
            wait_for(&what, async || self.held_version(host).await.filter(|held| *held >= version))
                .await;
        }
    }

    /// Opens a watch that starts after a version.
    pub async fn watch(&self, host: usize, from: u64) -> Lines {
        let line = format!("GET /v1/watch?from={from}");
        self.client.lines(self.addresses(host).api, &line).await.expect("a watch")
    }

    /// Announces a target to the daemon of its host.
    pub async fn announce(&self, host: usize, id: &str, target: SocketAddr) {
        let body = json!({
            "address": target, "slots": 12, "connections": 120, "lease_ms": 60_000,
        });
        let line = format!("PUT /v1/targets/seatdesk/{id}");
        let answer = self.api(host, &line, &body).await.expect("a response");
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Calls the service through a host, with a request id.
    pub async fn call(&self, host: usize, method: &str, id: &str) -> std::io::Result<HttpResponse> {
        let headers = [("x-request-id", id)];
        let calls = self.addresses(host).calls;
        self.client.send(calls, &format!("{method} /seatdesk"), &headers, "").await
    }

    /// Waits until a call through a host succeeds.
    pub async fn wait_callable(&self, host: usize) {
        wait_for("a call to succeed", async || {
            let answer = self.call(host, "GET", "probe").await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

/// Returns the next event of a watch.
pub async fn next_event(watch: &mut Lines) -> Value {
    let line =
        tokio::time::timeout(CONDITION_TIMEOUT, watch.next()).await.expect("an event in time");
    serde_json::from_str(&line.expect("the watch goes on")).expect("a line of JSON")
}

/// Returns the version in the response to an accepted change; `None` if it was refused.
pub fn version_of(answer: &HttpResponse) -> Option<u64> {
    let body: Value = serde_json::from_slice(&answer.body).ok()?;
    body.get("version").and_then(Value::as_u64).filter(|_| answer.status.is_success())
}

/// Returns a change set that puts a service with its route and policy.
pub fn declare_service(name: &str) -> Value {
    json!({"operations": [
        {"op": "put", "resource": {"kind": "policy", "name": name}},
        {"op": "put", "resource": {"kind": "service", "name": name, "policy": name}},
        {"op": "put", "resource": {
            "kind": "route", "name": name, "path_prefix": format!("/{name}"), "service": name}},
    ]})
}

/// Returns a change set that puts one policy. The deadline distinguishes it from other ones.
pub fn policy(name: &str, deadline_ms: u32) -> Value {
    let resource = json!({"kind": "policy", "name": name, "deadline_ms": deadline_ms});
    json!({"operations": [{"op": "put", "resource": resource}]})
}

/// Polls until a condition yields a value. Panics if that exceeds [`CONDITION_TIMEOUT`].
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        assert!(started_at.elapsed() < CONDITION_TIMEOUT, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn links(hosts: usize) -> Vec<Vec<Arc<Link>>> {
    let mut links: Vec<Vec<Arc<Link>>> = Vec::new();
    for a in 0..hosts {
        let row = (0..hosts).map(|b| if b < a { Arc::clone(&links[b][a]) } else { Link::new() });
        let row = row.collect();
        links.push(row);
    }
    links
}

async fn proxies_to(links: &[Vec<Arc<Link>>], to: usize) -> Vec<FaultProxy> {
    let mut proxies = Vec::new();
    for (from, row) in links.iter().enumerate() {
        let direction = if from <= to { Direction::Forward } else { Direction::Backward };
        let proxy = FaultProxy::start_over(Arc::clone(&row[to]), direction).await;
        proxies.push(proxy.expect("loopback"));
    }
    proxies
}

fn settings(dir: &TempDir, zones: &[usize], proxies: &[Vec<FaultProxy>], host: usize) -> Settings {
    let zone = zones[host];
    let region = if zone < 2 { "kochi" } else { "kozhikode" };
    let locality =
        Locality { region: name(region), availability_zone: name(&format!("zone-{zone}")) };
    let control_hosts = CONTROL_HOSTS.min(zones.len());
    let seeds = (0..control_hosts).map(advertised_address).collect();
    let mut settings = Settings::loopback(host_name(host), locality).with_seeds(seeds);
    settings.advertise =
        Advertise { peers: Some(advertised_address(host)), ..Advertise::default() };
    settings.addresses_file = Some(dir.path().join(format!("host-{host}.json")));
    settings.translate = proxies
        .iter()
        .enumerate()
        .map(|(to, proxies)| (advertised_address(to), proxies[host].address()))
        .collect();
    if host >= control_hosts {
        return settings;
    }
    let initial_voters = (0..control_hosts).map(host_name).collect();
    let data_dir = dir.path().join(format!("data-{host}"));
    settings.with_control(ControlSection { data_dir, initial_voters })
}

fn advertised_address(host: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, host as u8), 1))
}

fn host_name(host: usize) -> Name {
    name(&format!("host-{host}"))
}

fn name(text: &str) -> Name {
    Name::new(text).expect("in form")
}
