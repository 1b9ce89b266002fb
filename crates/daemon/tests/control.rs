//! Control replicas with real files and connections.

use std::path::PathBuf;
use std::time::Duration;

use fireflylug_core::api::ReplicaReport;
use fireflylug_core::consensus::ControlRole;
use fireflylug_core::ids::{Locality, Name};
use fireflylug_daemon::Daemon;
use fireflylug_settings::{ControlSection, Settings};
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Control hosts, each with a data folder that persists across restarts of its daemon.
struct Hosts {
    folder: TempDir,
    daemons: Vec<Option<Daemon>>,
}

impl Hosts {
    /// Starts hosts; the first three are the initial voters.
    async fn start(count: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut hosts = Self { folder, daemons: Vec::new() };
        for host in 0..count {
            hosts.daemons.push(None);
            hosts.start_one(host).await;
        }
        hosts
    }

    async fn start_one(&mut self, host: usize) {
        let seeds = self.daemons.iter().flatten().map(|daemon| daemon.addresses().peers).collect();
        let locality = Locality { region: name("kochi"), availability_zone: name("kochi-aluva") };
        let control = ControlSection {
            data_dir: self.data_dir(host),
            initial_voters: (0..3).map(host_name).collect(),
        };
        let settings =
            Settings::loopback(host_name(host), locality).with_seeds(seeds).with_control(control);
        self.daemons[host] = Some(Daemon::start(settings).await.unwrap());
    }

    fn data_dir(&self, host: usize) -> PathBuf {
        self.folder.path().join(format!("data-{host}"))
    }

    fn kill(&mut self, host: usize) {
        self.daemons[host].take().expect("the host runs").kill();
    }

    async fn send(&self, host: usize, head: &str, body: &Value) -> (u16, Value) {
        let daemon = self.daemons[host].as_ref().expect("the host runs");
        let mut stream = TcpStream::connect(daemon.addresses().api).await.unwrap();
        let body = body.to_string();
        let length = body.len();
        let request = format!(
            "{head} HTTP/1.1\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        let (head, body) = response.split_once("\r\n\r\n").expect("an answer");
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        (status.unwrap_or(0), serde_json::from_str(body).unwrap_or(Value::Null))
    }

    /// Creates a service, with retries until the control replicas respond.
    async fn put_service(&self, host: usize, service: &str) -> (u16, Value) {
        let head =
            format!("PUT /v1/services/{service} HTTP/1.1\r\nidempotency-key: {service}\r\nx-rest:");
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let (status, body) = self.send(host, &head, &json!({})).await;
            if status != 503 || tokio::time::Instant::now() > deadline {
                return (status, body);
            }
        }
    }

    async fn control(&self, host: usize) -> ReplicaReport {
        let (_, status) = self.send(host, "GET /v1/status", &Value::Null).await;
        serde_json::from_value(status["control"].clone()).expect("a control replica")
    }

    async fn wait_for(&self, host: usize, done: impl Fn(&ReplicaReport) -> bool) -> ReplicaReport {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.control(host).await;
            if done(&status) {
                return status;
            }
            assert!(tokio::time::Instant::now() < deadline, "host {host} stays at {status:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn leader(&self) -> usize {
        let any = self.daemons.iter().position(Option::is_some).expect("a host runs");
        let status = self.wait_for(any, |status| status.leader.is_some()).await;
        let leader = status.leader.expect("a leader");
        (0..self.daemons.len()).find(|host| leader == host_name(*host).as_str()).expect("a host")
    }

    async fn stop(self) {
        for daemon in self.daemons.into_iter().flatten() {
            daemon.kill();
        }
    }
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn host_name(host: usize) -> Name {
    name(&format!("control-{host}"))
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_change_outlives_the_loss_of_its_leader() {
    let mut hosts = Hosts::start(3).await;
    let first = hosts.put_service(0, "seatdesk").await;
    let leader = hosts.leader().await;
    let other = (leader + 1) % 3;
    hosts.kill(leader);

    let second = hosts.put_service(other, "bookbook").await;
    let again = hosts.put_service(other, "seatdesk").await;
    hosts.start_one(leader).await;
    let back = hosts.wait_for(leader, |status| status.committed.0 == 2).await;

    assert_eq!(first, (200, json!({"version": 1})));
    assert_eq!(second, (200, json!({"version": 2})));
    assert_eq!(again, first);
    assert!(back.current);
    hosts.stop().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn voter_with_an_empty_folder_is_let_in_again() {
    let mut hosts = Hosts::start(3).await;
    hosts.put_service(0, "seatdesk").await;
    let repaired = (hosts.leader().await + 1) % 3;
    let second_lost = (repaired + 1) % 3;
    hosts.kill(repaired);
    std::fs::rename(hosts.data_dir(repaired), hosts.folder.path().join("old")).unwrap();

    hosts.start_one(repaired).await;
    hosts.wait_for(repaired, |status| status.role == ControlRole::Follower).await;
    hosts.kill(second_lost);
    let next = hosts.put_service(repaired, "bookbook").await;

    assert_eq!(next, (200, json!({"version": 2})));
    hosts.stop().await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn voter_is_replaced_by_an_operator() {
    let mut hosts = Hosts::start(4).await;
    hosts.put_service(0, "seatdesk").await;
    hosts.wait_for(3, |status| status.committed.0 == 1).await;
    let old = (hosts.leader().await + 1) % 3;
    let replacement = json!({"old": host_name(old), "new": "control-3"});

    let replaced = hosts.send(0, "POST /v1/voters", &replacement).await;
    let again = hosts.send(3, "POST /v1/voters", &replacement).await;
    let votes = |role| matches!(role, ControlRole::Follower | ControlRole::Leader);
    let status = hosts.wait_for(3, |status| votes(status.role)).await;
    hosts.kill(old);
    let next = hosts.put_service(3, "bookbook").await;

    assert_eq!(replaced.0, 200, "{replaced:?}");
    assert_eq!(again, replaced);
    assert!(status.voters.iter().any(|voter| voter == "control-3"), "{status:?}");
    assert_eq!(next, (200, json!({"version": 2})));
    hosts.stop().await;
}
