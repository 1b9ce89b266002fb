//! Requests that end the targets which run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use fireflylug_fault::HttpClient;
use fireflylug_measure::calls::mesh::{Mesh, name};
use fireflylug_settings::Settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixture::mesh;

/// Targets of the mesh.
const TARGETS: usize = 8;

/// Requests that are sent until one is refused for its content.
const MAX_REQUESTS: usize = 100;

/// Starts a target that answers each request but those whose head contains `deadly`, at which it
/// ends.
async fn ending_target(deadly: &'static str, ended: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the proxy connects");
            let mut head = [0; 4096];
            let length = stream.read(&mut head).await.unwrap_or(0);
            if String::from_utf8_lossy(&head[..length]).contains(deadly) {
                ended.fetch_add(1, Ordering::SeqCst);
                return;
            }
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

// Guards against a request that ends target after target: nobody noticed what they ran.
#[tokio::test]
async fn a_request_that_ends_its_targets_is_refused_and_others_are_served() {
    let ended = Arc::new(AtomicUsize::new(0));
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(ending_target("GET /deadly", Arc::clone(&ended)).await);
    }
    let mesh = mesh(&targets).await;
    let client = HttpClient::new();

    let mut requests = 0;
    loop {
        let answer = client.send(mesh.calls(0), "GET /deadly", &[], "").await.unwrap();
        // Until the ingress knows, the second attempt of a call may be refused by an owner.
        let has_run = answer.header("fireflylug-outcome") != "not-run";
        if answer.header("fireflylug-error") == "quarantined" && !has_run {
            assert_eq!(answer.status, 503);
            break;
        }
        requests += 1;
        assert!(requests < MAX_REQUESTS, "never refused, {} ended", ended.load(Ordering::SeqCst));
    }

    assert!(ended.load(Ordering::SeqCst) < TARGETS, "every target ended");
    let other = client.send(mesh.calls(0), "GET /seats", &[], "").await.unwrap();
    assert_eq!(other.status, 200, "{}", other.text());
}

/// A mesh whose two last daemons are ingresses for callers of `bookbook` and `seatdesk`, with targets
/// that end at the requests of `bookbook`.
async fn mesh_with_two_callers(ended: &Arc<AtomicUsize>) -> Mesh {
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        let deadly = "fireflylug-caller-service: bookbook";
        targets.push(ending_target(deadly, Arc::clone(ended)).await);
    }
    let mut mesh = mesh(&targets).await;
    for service in ["bookbook", "seatdesk"] {
        let of_service = |settings| Settings { caller_service: Some(name(service)), ..settings };
        mesh.add_daemon_with(of_service).await.expect("the daemon starts");
    }
    mesh.wait_for_members().await.expect("the daemons know each other");
    mesh.wait_for_targets(TARGETS).await.expect("the targets are known");
    mesh
}

// Guards against a request that ends its targets being acquitted by the answers to another caller's
// request with the same path and body, which is sound.
#[tokio::test]
async fn a_deadly_request_is_refused_while_another_caller_is_answered() {
    let ended = Arc::new(AtomicUsize::new(0));
    let mesh = mesh_with_two_callers(&ended).await;
    let (deadly, sound) = (mesh.calls(TARGETS + 1), mesh.calls(TARGETS + 2));
    let client = HttpClient::new();

    let mut requests = 0;
    loop {
        let answer = client.send(sound, "GET /seats", &[], "").await.unwrap();
        assert_ne!(answer.header("fireflylug-error"), "quarantined", "{}", answer.text());
        // A caller can't pass for another one.
        let spoofed = [("fireflylug-caller-service", "seatdesk")];
        let answer = client.send(deadly, "GET /seats", &spoofed, "").await.unwrap();
        let has_run = answer.header("fireflylug-outcome") != "not-run";
        if answer.header("fireflylug-error") == "quarantined" && !has_run {
            break;
        }
        requests += 1;
        assert!(requests < MAX_REQUESTS, "never refused, {} ended", ended.load(Ordering::SeqCst));
    }

    assert!(ended.load(Ordering::SeqCst) < TARGETS, "every target ended");
    let other = client.send(sound, "GET /seats", &[], "").await.unwrap();
    assert_eq!(other.status, 200, "{}", other.text());
}
