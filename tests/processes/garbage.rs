//! Sends garbage to every port, beside connections that stay open without data.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{Cluster, policy};

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_each_port_leaves_the_daemons_working() {
    let cluster = Cluster::start_with_service(&[0, 1, 2]).await;
    let addresses = cluster.addresses(0);

    let mut idle_connections = Vec::new();
    for port in [addresses.peers, addresses.forward, addresses.api, addresses.calls] {
        idle_connections.push(TcpStream::connect(port).await.expect("an open port"));
        for garbage in garbage() {
            send(port, &garbage).await;
        }
    }
    let version = cluster.change(0, "after", policy("seatdesk", 2_000)).await;

    cluster.wait_in_force(version).await;
}

fn garbage() -> Vec<Vec<u8>> {
    let random = random_bytes(7);
    vec![
        b"\0\0\0\0".to_vec(),
        b"GET / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999\r\n\r\n".to_vec(),
        b"PUT /v1/policies/x HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n{\"a\":".to_vec(),
        [b"GET / HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\n\r\n".to_vec(), random.clone()]
            .concat(),
        random,
    ]
}

/// Pseudo-random bytes that match no protocol.
fn random_bytes(mut state: u32) -> Vec<u8> {
    let mut next = || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (state >> 24) as u8
    };
    (0..4_096).map(|_| next()).collect()
}

async fn send(port: SocketAddr, garbage: &[u8]) {
    let mut stream = TcpStream::connect(port).await.expect("an open port");
    // The daemon may close the connection at once.
    let _ = stream.write_all(garbage).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
}
