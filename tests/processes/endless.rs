//! Targets that send bytes without end: the memory of the daemons stays bounded.

use std::net::SocketAddr;
use std::time::Duration;

use fireflylug_fault::EndlessTarget;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::{Cluster, wait_for};

/// Most memory of a daemon, in bytes: the share of a host that is set aside for the mesh.
const MAX_MEMORY_BYTES: u64 = 64 * 1024 * 1024;

/// Host that the target runs on, and one that forwards to it.
const OWNER: usize = 3;
const INGRESS: usize = 0;

/// Callers at each of the two hosts that read the response, and callers that read nothing.
const READERS: usize = 4;
const SILENT_CALLERS: usize = 4;

/// Request whose deadline leaves the target enough time to send far more than the memory holds.
const REQUEST: &[u8] = b"GET /seatdesk HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
    fireflylug-deadline-ms: 1500\r\n\r\n";

async fn call(address: SocketAddr, reads: bool) {
    let mut stream = TcpStream::connect(address).await.expect("the proxy accepts");
    stream.write_all(REQUEST).await.expect("the proxy reads");
    if !reads {
        tokio::time::sleep(Duration::from_secs(2)).await;
        return;
    }
    let mut bytes = vec![0; 64 * 1024];
    while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
}

// Guards against a target that sends bytes without end, in a head or a body, and a daemon that keeps
// them all until it runs out of memory, which ends the calls of all other callers too.
#[rstest]
#[case::no_response("", "zzzzzzzzzzzzzzzz")]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::headers("HTTP/1.1 200 OK\r\n", "x-more: zzzzzzzz\r\n")]
#[case::one_header("HTTP/1.1 200 OK\r\nx-more: ", "zzzzzzzzzzzzzzzz")]
#[case::body_until_the_connection_ends("HTTP/1.1 200 OK\r\n\r\n", "zzzzzzzzzzzzzzzz")]
#[case::body_of_a_length(
    "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999\r\n\r\n",
    "zzzzzzzzzzzzzzzz"
)]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "8\r\nzzzzzzzz\r\n")]
#[case::one_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffffff\r\n",
    "zzzzzzzzzzzzzzzz"
)]
#[case::chunk_extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1;x=")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x-more: zzzzzzzz\r\n"
)]
#[case::bytes_after_a_response("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "zzzzzzzz")]
#[case::body_of_a_refusal("HTTP/1.1 503 Full\r\nfireflylug-not-run: 1\r\n\r\n", "zzzzzzzzzzzzzzzz")]
#[case::body_of_a_server_error("HTTP/1.1 500 Oops\r\n\r\n", "zzzzzzzzzzzzzzzz")]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_of_a_target_do_not_fill_the_memory(
    #[case] begin: &'static str,
    #[case] piece: &'static str,
) {
    let cluster = Cluster::start_with_service(&[0, 0, 1, 1]).await;
    let target = EndlessTarget::start(begin, piece).await.expect("loopback");
    cluster.announce(OWNER, "one", target.address()).await;
    wait_for("the ingress to reach the target", async || {
        call(cluster.addresses(INGRESS).calls, true).await;
        (target.written_bytes() > 0).then_some(())
    })
    .await;

    let mut callers = JoinSet::new();
    for host in [INGRESS, OWNER] {
        let address = cluster.addresses(host).calls;
        (0..READERS).for_each(|_| _ = callers.spawn(call(address, true)));
        (0..SILENT_CALLERS).for_each(|_| _ = callers.spawn(call(address, false)));
    }
    callers.join_all().await;

    for host in [INGRESS, OWNER] {
        let peak_bytes = cluster.peak_memory_bytes(host);
        assert!(peak_bytes < MAX_MEMORY_BYTES, "host {host} used {peak_bytes} bytes");
    }
}
