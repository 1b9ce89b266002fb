//! A change accepted by real control replicas reaches every daemon over sockets.

use std::net::SocketAddr;
use std::time::Duration;

use fireflylug_core::Event;
use fireflylug_core::api::ApiRequest;
use fireflylug_core::config::{ChangeRequest, ChangeSet, Operation};
use fireflylug_core::ids::{Locality, Name, RequestId};
use fireflylug_core::resource::{Resource, Service};
use fireflylug_daemon::Daemon;
use fireflylug_settings::{ControlSection, Settings};
use rstest::rstest;
use tempfile::TempDir;

/// Request id that the HTTP server never assigns.
const REQUEST: RequestId = RequestId(u64::MAX);

/// Regions and availability zones.
const ZONES: [(&str, &str); 4] = [
    ("kochi", "kochi-aluva"),
    ("kochi", "kochi-ernakulam"),
    ("kozhikode", "kzd-feroke"),
    ("kozhikode", "kzd-mavoor"),
];

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn settings(index: usize, seeds: &[SocketAddr]) -> Settings {
    let (region, zone) = ZONES[index % ZONES.len()];
    let locality = Locality { region: name(region), availability_zone: name(zone) };
    Settings::loopback(name(&format!("host-{index}")), locality).with_seeds(seeds.to_vec())
}

fn control(data_dir: &TempDir) -> ControlSection {
    let initial_voters = ["host-0", "host-1", "host-2"].map(name).to_vec();
    ControlSection { data_dir: data_dir.path().to_owned(), initial_voters }
}

async fn start(count: usize, folders: &[TempDir; 3]) -> Vec<Daemon> {
    let mut daemons: Vec<Daemon> = Vec::new();
    for index in 0..count {
        let seeds: Vec<SocketAddr> =
            daemons.iter().take(2).map(|daemon| daemon.addresses().peers).collect();
        let mut settings = settings(index, &seeds);
        if let Some(folder) = folders.get(index) {
            settings = settings.with_control(control(folder));
        }
        daemons.push(Daemon::start(settings).await.unwrap());
    }
    daemons
}

fn put_service(service: &str) -> ApiRequest {
    let resource = Resource::Service(Service::new(name(service)));
    let operations = vec![Operation::Put { resource, if_version: None }];
    ApiRequest::Change(ChangeRequest { key: None, changes: ChangeSet { operations } })
}

fn has_service(daemon: &Daemon, service: &str) -> bool {
    let service = name(service);
    daemon.runtime().inspect(|state| state.distribution().current().service(&service).is_some())
}

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "waited too long for {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_reaches_every_daemon_and_they_become_ready() {
    let folders = [(); 3].map(|()| TempDir::new().unwrap());
    let daemons = start(12, &folders).await;
    let has_leader = |daemon: &Daemon| {
        daemon.runtime().inspect(|s| s.control().is_some_and(|c| c.leader().is_some()))
    };
    wait_for("a leader", || daemons[..3].iter().all(has_leader)).await;

    let body = put_service("seatdesk");
    daemons[0].runtime().submit(Event::ApiRequest { request: REQUEST, body });

    wait_for("the change", || daemons.iter().all(|daemon| has_service(daemon, "seatdesk"))).await;
    wait_for("readiness", || {
        daemons.iter().all(|d| d.runtime().inspect(|state| state.distribution().is_ready()))
    })
    .await;
}
