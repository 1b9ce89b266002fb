//! Targets that send an endless response head or body until the connection is closed.

use std::net::SocketAddr;
use std::time::Duration;

use fireflylug_core::resource::{Resource, Service};
use fireflylug_daemon::local_target::LocalTarget;
use fireflylug_fault::EndlessTarget;
use fireflylug_measure::calls::mesh::{Mesh, name};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{exchange, mesh, until};

/// Maximum number of unread response bytes in buffers: those of both sockets and of the
/// HTTP library.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

const HTTP_11: &str = "HTTP/1.1";
const HTTP_10: &str = "HTTP/1.0";

/// Piece of an endless body.
const PIECE: &str = "zzzzzzzzzzzzzzzz";

/// Head of a chunked response, and a chunk of it.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = "10\r\nzzzzzzzzzzzzzzzz\r\n";

#[rstest]
#[case::no_answer_at_all("", "zzzzzzzzzzzzzzzz")]
#[case::headers("HTTP/1.1 200 OK\r\n", "x-more: zzzzzzzz\r\n")]
#[case::one_header("HTTP/1.1 200 OK\r\nx-more: ", "zzzzzzzzzzzzzzzz")]
#[tokio::test]
async fn a_head_without_end_is_abandoned_and_its_connection_closed(
    #[case] begin: &'static str,
    #[case] piece: &'static str,
) {
    let target = EndlessTarget::start(begin, piece).await.expect("the target starts");
    let mesh = mesh(&[target.address()]).await;

    let request = "POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let answer = exchange(mesh.calls(0), request).await;

    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(answer.contains("fireflylug-outcome: unknown"), "{answer}");
    until("the target's connection is closed", || target.closed() == 1).await;
}

/// The caller stops reading and later disconnects. Backpressure must bound the buffered bytes.
#[tokio::test]
async fn a_body_without_end_gets_backpressure_and_is_closed_when_the_caller_disconnects() {
    let target = EndlessTarget::start("HTTP/1.1 200 OK\r\n\r\n", PIECE).await;
    let target = target.expect("the target starts");
    let mesh = mesh(&[target.address()]).await;
    let mut caller = TcpStream::connect(mesh.calls(0)).await.expect("the proxy accepts");
    caller.write_all(b"GET /sheets HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("the proxy reads");
    let mut begin = [0; 1_024];
    assert!(caller.read(&mut begin).await.expect("the answer begins") > 0);

    let mut written_before = usize::MAX;
    while written_before != target.written_bytes() {
        written_before = target.written_bytes();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(written_before <= MAX_BUFFERED_BYTES, "{written_before} bytes are buffered");
    assert_eq!(target.closed(), 0);

    drop(caller);
    until("the target's connection is closed", || target.closed() == 1).await;
}

/// Guards against a response without end that outlasts the deadline of its call until the caller
/// gives up: only the head of a response was subject to the deadline.
#[rstest]
#[case::chunked(CHUNKED, CHUNK)]
#[case::of_a_length_that_is_never_reached(
    "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999\r\n\r\n",
    PIECE
)]
#[case::until_the_connection_ends("HTTP/1.1 200 OK\r\n\r\n", PIECE)]
#[case::of_a_server_error("HTTP/1.1 500 Oops\r\ntransfer-encoding: chunked\r\n\r\n", CHUNK)]
#[case::chunk_extension(CHUNKED, "1;x=")]
#[case::trailers("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-more: zzzz\r\n")]
#[tokio::test]
async fn a_body_without_end_is_cut_off_after_the_deadline(
    #[values(HTTP_11, HTTP_10)] version: &'static str,
    #[values(0, 1)] ingress: usize,
    #[case] begin: &'static str,
    #[case] piece: &'static str,
) {
    let target = EndlessTarget::start(begin, piece).await.expect("the target starts");
    let mesh = mesh(&[target.address()]).await;

    let request = format!(
        "GET /sheets {version}\r\nhost: x\r\nconnection: close\r\n\
         fireflylug-deadline-ms: 400\r\n\r\n"
    );
    let end = read_to_the_end(mesh.calls(ingress), &request).await;

    assert!(!end.is_complete(), "{end:?}");
    until("the target's connection is closed", || target.closed() == 1).await;
    until("no call is in flight", || {
        mesh.running()
            .all(|daemon| daemon.runtime().inspect(|state| state.routing().in_flight()) == 0)
    })
    .await;
}

/// How a response ended for its caller.
#[derive(Debug)]
struct End {
    /// Start of the response, with its head.
    begin: String,
    /// Last bytes of the response.
    last: Vec<u8>,
    is_reset: bool,
}

impl End {
    /// Whether the caller takes the response for a whole one.
    fn is_complete(&self) -> bool {
        let head = self.begin.to_ascii_lowercase();
        if self.is_reset || !head.starts_with("http/1.") {
            return false;
        }
        match head.contains("chunked") {
            true => self.last.ends_with(b"0\r\n\r\n"),
            false => !head.contains("content-length"),
        }
    }
}

/// Sends a request and reads until the other end closes the connection.
async fn read_to_the_end(address: SocketAddr, request: &str) -> End {
    let mut stream = TcpStream::connect(address).await.expect("the proxy accepts");
    stream.write_all(request.as_bytes()).await.expect("the proxy reads");
    let mut end = End { begin: String::new(), last: Vec::new(), is_reset: false };
    let mut bytes = vec![0; 64 * 1024];
    let read = async {
        loop {
            match stream.read(&mut bytes).await {
                Ok(0) => return,
                Ok(length) => {
                    if end.begin.is_empty() {
                        let begin = String::from_utf8_lossy(&bytes[..length.min(200)]);
                        end.begin = begin.into_owned();
                    }
                    end.last = bytes[length.saturating_sub(16)..length].to_vec();
                }
                Err(_) => {
                    end.is_reset = true;
                    return;
                }
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(10), read).await.expect("the proxy closes it");
    end
}

/// Guards against a health response without end that is read for as long as it lasts.
#[rstest]
#[case::no_response("", PIECE, false)]
#[case::headers("HTTP/1.1 200 OK\r\n", "x-more: zzzzzzzz\r\n", false)]
#[case::body(
    "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\nfireflylug-target-load: 3,0,8\r\n\r\n",
    PIECE,
    true
)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\nfireflylug-target-load: 3,0,8\r\n\
     transfer-encoding: chunked\r\n\r\n",
    CHUNK,
    true
)]
#[tokio::test]
async fn a_health_response_without_end_is_not_read_to_its_end(
    #[case] begin: &'static str,
    #[case] piece: &'static str,
    #[case] is_found: bool,
) {
    let target = EndlessTarget::start(begin, piece).await.expect("the target starts");
    let mut mesh = Mesh::start(1).await.expect("the daemon starts");
    let mut service = Service::new(name("seatdesk"));
    service.health_path = Some("/health".into());
    mesh.configure([Resource::Service(service)]);
    let local =
        LocalTarget { service: name("seatdesk"), address: target.address(), lease_ms: 60_000 };

    mesh.daemons[0].as_mut().expect("the daemon runs").find_target(local);

    until("the target's connection is closed", || target.closed() > 0).await;
    assert!(target.written_bytes() <= MAX_BUFFERED_BYTES, "{} bytes", target.written_bytes());
    if is_found {
        mesh.wait_for_targets(1).await.expect("the target is known");
    }
}
