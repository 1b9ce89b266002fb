//! Requests that end the targets which run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use fireflylug_fault::HttpClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixture::mesh;

/// Targets of the mesh.
const TARGETS: usize = 8;

/// Requests that are sent until one is refused for its content.
const MAX_REQUESTS: usize = 100;

/// Starts a target that answers each request but those to `/deadly`, at which it ends.
async fn ending_target(ended: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the proxy connects");
            let mut head = [0; 4096];
            let length = stream.read(&mut head).await.unwrap_or(0);
            if head[..length].starts_with(b"GET /deadly") {
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
        targets.push(ending_target(Arc::clone(&ended)).await);
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
