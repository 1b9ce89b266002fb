//! Targets that send an endless response head or body until the connection is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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

/// A target that responds with `begin`, followed by `piece` repeated without end.
struct EndlessTarget {
    address: SocketAddr,
    written_bytes: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl EndlessTarget {
    async fn start(begin: &'static str, piece: &'static str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let target = Self { address, written_bytes: Arc::default(), closed: Arc::default() };
        let (written, closed) = (Arc::clone(&target.written_bytes), Arc::clone(&target.closed));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (written, closed) = (Arc::clone(&written), Arc::clone(&closed));
                tokio::spawn(async move {
                    write_endlessly(stream, begin, piece, &written).await;
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        target
    }

    fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

async fn write_endlessly(mut stream: TcpStream, begin: &str, piece: &str, written: &AtomicUsize) {
    let mut head = [0; 4_096];
    if stream.read(&mut head).await.is_err() || stream.write_all(begin.as_bytes()).await.is_err() {
        return;
    }
    let pieces = piece.repeat(1_024);
    while stream.write_all(pieces.as_bytes()).await.is_ok() {
        written.fetch_add(pieces.len(), Ordering::SeqCst);
    }
}

#[rstest]
#[case::no_answer_at_all("", "zzzzzzzzzzzzzzzz")]
#[case::headers("HTTP/1.1 200 OK\r\n", "x-more: zzzzzzzz\r\n")]
#[case::one_header("HTTP/1.1 200 OK\r\nx-more: ", "zzzzzzzzzzzzzzzz")]
#[tokio::test]
async fn a_head_without_end_is_abandoned_and_its_connection_closed(
    #[case] begin: &'static str,
    #[case] piece: &'static str,
) {
    let target = EndlessTarget::start(begin, piece).await;
    let mesh = mesh(&[target.address]).await;

    let request = "POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let answer = exchange(mesh.calls(0), request).await;

    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(answer.contains("fireflylug-outcome: unknown"), "{answer}");
    until("the target's connection is closed", || target.closed() == 1).await;
}

/// The caller stops reading and later disconnects. Backpressure must bound the buffered bytes.
#[tokio::test]
async fn a_body_without_end_gets_backpressure_and_is_closed_when_the_caller_disconnects() {
    let target = EndlessTarget::start("HTTP/1.1 200 OK\r\n\r\n", "zzzzzzzzzzzzzzzz").await;
    let mesh = mesh(&[target.address]).await;
    let mut caller = TcpStream::connect(mesh.calls(0)).await.expect("the proxy accepts");
    caller.write_all(b"GET /sheets HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("the proxy reads");
    let mut begin = [0; 1_024];
    assert!(caller.read(&mut begin).await.expect("the answer begins") > 0);

    let mut written_before = usize::MAX;
    while written_before != target.written_bytes.load(Ordering::SeqCst) {
        written_before = target.written_bytes.load(Ordering::SeqCst);
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
    let target = EndlessTarget::start(begin, piece).await;
    let mesh = mesh(&[target.address]).await;

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
