//! Restarted daemons: their target, which kept running.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use fireflylug_core::resource::{Resource, Service};
use fireflylug_daemon::local_target::LocalTarget;
use fireflylug_measure::calls::mesh::TargetSpec;
use fireflylug_measure::calls::mesh::{Mesh, name};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixture::{exchange, raw_target, resources};

// Guards against a health response that is lost because the connection ends with it: the target
// gets no calls before its next announcement.
#[rstest]
#[case::empty(
    "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\nfireflylug-target-load: 3,0,8\r\n\
     connection: close\r\ncontent-length: 0\r\n\r\n"
)]
#[case::with_a_body(
    "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\nfireflylug-target-load: 3,0,8\r\n\
     connection: close\r\ncontent-length: 2\r\n\r\nok"
)]
#[case::until_the_end_of_the_connection(
    "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\nfireflylug-target-load: 3,0,8\r\n\r\nok"
)]
#[tokio::test]
async fn a_target_that_kept_running_is_found_by_its_health(#[case] response: &'static str) {
    let address = raw_target(response).await;
    let mut mesh = Mesh::start(1).await.expect("the daemon starts");
    let mut service = Service::new(name("seatdesk"));
    service.health_path = Some("/health".into());
    mesh.configure([Resource::Service(service)]);
    let target = LocalTarget { service: name("seatdesk"), address, lease_ms: 60_000 };

    mesh.daemons[0].as_mut().expect("the daemon runs").find_target(target);

    mesh.wait_for_targets(1).await.expect("the target is known");
}

/// Starts a target that responds to each request and keeps the heads of the requests.
async fn recording_target() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let heads = Arc::new(Mutex::new(Vec::new()));
    let kept = Arc::clone(&heads);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the proxy connects");
            let mut head = [0; 4096];
            let length = stream.read(&mut head).await.unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..length]).to_ascii_lowercase();
            kept.lock().expect("no test thread panicked").push(head);
            let response = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    (address, heads)
}

/// Value of the header that ties further calls to the call that the target runs.
fn chain(head: &str) -> String {
    let line = head.lines().find_map(|line| line.strip_prefix("fireflylug-chain: "));
    line.expect("the request has a chain").to_owned()
}

// Guards against a call that was made for a call of an earlier run of the owner being bound to a call
// of this run: it would be cancelled, and end, with that unrelated call.
#[tokio::test]
async fn a_call_has_another_key_than_one_before_the_restart_of_its_owner() {
    let (address, heads) = recording_target().await;
    let mut mesh = Mesh::start(1).await.expect("the daemon starts");
    mesh.configure(resources());
    let request = "GET /seats HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

    for _ in 0..2 {
        mesh.announce(0, TargetSpec::new("seatdesk", "one", address));
        mesh.wait_for_targets(1).await.expect("the target is known");
        let answer = exchange(mesh.calls(0), request).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        mesh.stop(0).await;
        mesh.add_daemon().await.expect("the daemon starts again");
    }

    let heads = heads.lock().expect("no test thread panicked").clone();
    let parent = |head: &String| chain(head).rsplit('.').next().map(str::to_owned);
    let parents: Vec<_> = heads.iter().map(parent).collect();
    assert_eq!(parents.len(), 2);
    assert_ne!(parents[0], parents[1], "{heads:?}");
}
