//! Requests that a caller sends before the responses to its earlier ones have arrived.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fireflylug_measure::calls::mesh::Mesh;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fixture::{mesh, until};

/// Size of the response to `/big`, which is more than is buffered before its turn.
const BIG_BYTES: usize = 200_000;
/// Size of the response to `/huge`, which is more than the buffers of a socket hold.
const HUGE_BYTES: usize = 4_000_000;

/// A target that echoes the path of each request. The responses to paths that contain `slow` are
/// delayed until the gate is opened, and the response to `/cut` is cut off.
#[derive(Clone)]
struct GatedTarget {
    address: SocketAddr,
    arrived: Arc<Mutex<Vec<String>>>,
    /// Connections that were closed while a response was delayed.
    cancelled: Arc<AtomicUsize>,
    gate: watch::Sender<bool>,
}

impl GatedTarget {
    async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (arrived, cancelled, gate) = Default::default();
        let target = Self { address, arrived, cancelled, gate };
        let accepting = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = accepting.clone();
                tokio::spawn(async move { target.serve(stream).await });
            }
        });
        target
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut bytes = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut bytes).await {
            let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            self.arrived.lock().expect("no panic").push(path.clone());
            if path.contains("slow") {
                let mut gate = self.gate.subscribe();
                tokio::select! {
                    _ = gate.wait_for(|is_open| *is_open) => {}
                    _ = stream.read(&mut bytes) => {
                        self.cancelled.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                }
            }
            let body = match path.as_str() {
                "/big" => "x".repeat(BIG_BYTES),
                "/huge" => "x".repeat(HUGE_BYTES),
                _ => path.clone(),
            };
            let body = if head.starts_with("HEAD") { "" } else { body.as_str() };
            let length = if head.starts_with("HEAD") { 77 } else { body.len() };
            let length = if path == "/cut" { 1_000 } else { length };
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            if stream.write_all(answer.as_bytes()).await.is_err() || path == "/cut" {
                return;
            }
        }
    }

    fn arrived(&self) -> Vec<String> {
        self.arrived.lock().expect("no panic").clone()
    }

    fn open(&self) {
        self.gate.send_replace(true);
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Starts a mesh with a target, and sends requests on one connection.
async fn send(requests: &str) -> (GatedTarget, Mesh, TcpStream) {
    let target = GatedTarget::start().await;
    let mesh = mesh(&[target.address]).await;
    let mut stream = TcpStream::connect(mesh.calls(0)).await.expect("the proxy accepts");
    stream.write_all(requests.as_bytes()).await.expect("the proxy reads");
    (target, mesh, stream)
}

/// Reads one response. Returns its head and its body.
async fn response(stream: &mut TcpStream, has_body: bool) -> Option<(String, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = tokio::time::timeout(Duration::from_secs(10), stream.read_u8());
        head.push(byte.await.expect("a response arrives").ok()?);
    }
    let head = String::from_utf8(head).expect("text").to_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split('\r').next());
    let length = length.filter(|_| has_body).map_or(0, |length| length.parse().expect("a number"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, String::from_utf8(body).expect("text")))
}

async fn bodies(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut bodies = Vec::new();
    for _ in 0..count {
        bodies.push(response(stream, true).await.expect("a response").1);
    }
    bodies
}

// Guards against a slow call that delays the calls of the requests behind it, and against
// responses in another order than the requests.
#[tokio::test]
async fn calls_run_concurrently_and_responses_keep_the_order_of_the_requests() {
    let requests = [get("/slow"), get("/b"), get("/big"), get("/d")].concat();
    let (target, mesh, mut stream) = send(&requests).await;

    until("all calls run", || target.arrived().len() == 4).await;
    target.open();
    let bodies = bodies(&mut stream, 4).await;

    let paths = [&bodies[0], &bodies[1], &bodies[3]];
    assert_eq!(paths, ["/slow", "/b", "/d"]);
    assert_eq!(bodies[2].len(), BIG_BYTES);
    assert_eq!(mesh.daemon(0).runtime().early_calls(), 3);
    assert_eq!(target.arrived().len(), 4);
}

// Guards against an early call for a request whose call may not run twice, and against one that
// overtakes it.
#[tokio::test]
async fn a_request_that_may_not_run_twice_and_those_behind_it_wait_for_their_turn() {
    let post = "POST /pay HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nfee";
    let requests = [&get("/slow"), &get("/pay/look"), post, &get("/after")].concat();
    let (target, mesh, mut stream) = send(&requests).await;

    until("the first call runs", || target.arrived().len() == 1).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let arrived = target.arrived();
    target.open();
    let bodies = bodies(&mut stream, 4).await;

    assert_eq!(arrived, ["/slow"]);
    assert_eq!(bodies, ["/slow", "/pay/look", "/pay", "/after"]);
    assert_eq!(mesh.daemon(0).runtime().early_calls(), 0);
}

// Guards against calls that go on at their targets after their caller has gone.
#[rstest]
#[case::closed(false, 3)]
#[case::reset(true, 3)]
#[case::closed_while_the_limit_is_reached(false, 40)]
#[case::reset_while_the_limit_is_reached(true, 40)]
#[tokio::test]
async fn a_caller_that_disconnects_cancels_all_its_calls(
    #[case] is_reset: bool,
    #[case] requests: usize,
) {
    let (target, mesh, stream) = send(&get("/slow").repeat(requests)).await;
    // The target has 12 slots, which calls that wait in its queue do not hold.
    let running = requests.min(12);
    until("the calls run", || target.arrived().len() == running).await;

    if is_reset {
        stream.set_zero_linger().expect("a socket option");
    }
    drop(stream);
    let cancelled = || target.cancelled.load(Ordering::SeqCst) == running;
    let in_time = tokio::time::timeout(Duration::from_millis(500), until("cancelled", cancelled));

    assert!(in_time.await.is_ok(), "{} of {running}", target.cancelled.load(Ordering::SeqCst));
    until("no call is in flight", || {
        mesh.running().all(|daemon| daemon.runtime().inspect(|s| s.routing().in_flight()) == 0)
    })
    .await;
    assert_eq!(target.arrived().len(), running);
}

#[tokio::test]
async fn a_truncated_body_cancels_the_calls_and_is_not_sent() {
    let truncated = "POST /pay HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc";
    let requests = [&get("/slow"), &get("/slow/2"), truncated].concat();
    let (target, _mesh, stream) = send(&requests).await;
    until("the calls run", || target.arrived().len() == 2).await;

    drop(stream);
    until("cancelled", || target.cancelled.load(Ordering::SeqCst) == 2).await;

    assert!(!target.arrived().contains(&"/pay".to_owned()));
}

// Guards against requests that are lost, run twice or started without bound beyond the limits.
#[rstest]
#[case::at_once(10_000)]
#[case::byte_by_byte(1)]
#[tokio::test]
async fn more_requests_than_the_limit_are_all_served_in_order(#[case] piece: usize) {
    let paths: Vec<String> = (0..40).map(|index| format!("/slow/{index}")).collect();
    let requests: String = paths.iter().map(|path| get(path)).collect();
    let (target, mesh, mut stream) = send("").await;
    stream.set_nodelay(true).expect("a socket option");
    for piece in requests.as_bytes().chunks(piece) {
        stream.write_all(piece).await.expect("the proxy reads");
        tokio::task::yield_now().await;
    }

    let early = || mesh.daemon(0).runtime().early_calls();
    until("the limit is reached", || early() == 16).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let early_before = early();
    target.open();
    let bodies = bodies(&mut stream, paths.len()).await;

    assert_eq!(early_before, 16);
    assert_eq!(bodies, paths);
    let arrived = target.arrived();
    assert_eq!((arrived.len(), arrived.iter().collect::<HashSet<_>>().len()), (40, 40));
}

// Guards against a stop that closes the connection before the responses of the calls that were
// started, and against calls that are started by a stopping process.
#[tokio::test]
async fn a_stopping_process_closes_with_the_last_response_of_its_calls() {
    let requests = [get("/slow"), get("/slow/2"), get("/c")].concat();
    let (target, mut mesh, mut stream) = send(&requests).await;
    until("the calls run", || target.arrived().len() == 3).await;
    let runtime = Arc::clone(mesh.daemon(0).runtime());

    let responses = async {
        let refuses = || runtime.inspect(|s| s.is_stopping());
        until("the process stops", refuses).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let later = stream.write_all(get("/later").as_bytes()).await;
        target.open();
        let mut responses = Vec::new();
        while let Some(response) = response(&mut stream, true).await {
            responses.push(response);
        }
        (later, responses)
    };
    let (finished, (later, responses)) = tokio::join!(mesh.stop(0), responses);

    assert!(finished && later.is_ok());
    let bodies: Vec<&str> = responses.iter().map(|(_, body)| body.as_str()).collect();
    assert_eq!(bodies, ["/slow", "/slow/2", "/c"]);
    let closes = responses.iter().map(|(head, _)| head.contains("connection: close"));
    assert_eq!(closes.collect::<Vec<_>>(), [false, false, true]);
    assert!(!target.arrived().contains(&"/later".to_owned()));
}

// Guards against a response to HEAD that is taken to have a body.
#[tokio::test]
async fn a_head_request_behind_another_gets_its_head_only() {
    let head = "HEAD /h HTTP/1.1\r\nhost: a\r\n\r\n";
    let (target, _mesh, mut stream) = send(&[&get("/slow"), head, &get("/last")].concat()).await;
    until("all calls run", || target.arrived().len() == 3).await;

    target.open();
    let first = response(&mut stream, true).await.expect("a response");
    let of_head = response(&mut stream, false).await.expect("a response");
    let last = response(&mut stream, true).await.expect("a response");

    assert_eq!([first.1.as_str(), last.1.as_str()], ["/slow", "/last"]);
    assert!(of_head.0.contains("content-length: 77"), "{}", of_head.0);
}

// Guards against a response that fails before its turn and cuts off the one before it.
#[tokio::test]
async fn a_response_that_fails_before_its_turn_becomes_a_refusal() {
    let requests = [get("/slow"), get("/cut"), get("/last")].concat();
    let (target, _mesh, mut stream) = send(&requests).await;
    until("all calls run", || target.arrived().len() >= 3).await;

    target.open();
    let first = response(&mut stream, true).await.expect("a response");
    let cut = response(&mut stream, true).await.expect("a response");
    let last = response(&mut stream, true).await.expect("a response");

    assert_eq!([first.1.as_str(), last.1.as_str()], ["/slow", "/last"]);
    assert!(cut.0.starts_with("http/1.1 502"), "{}", cut.0);
    assert!(cut.0.contains("fireflylug-outcome: unknown"), "{}", cut.0);
}

// Guards against a closed connection that is reset because its caller goes on sending requests,
// which loses the part of the last response that has not left the host.
#[tokio::test]
async fn a_caller_that_goes_on_sending_gets_the_last_response_of_a_stopping_process() {
    let (target, mut mesh, stream) = send(&[get("/slow"), get("/huge")].concat()).await;
    until("the calls run", || target.arrived().len() == 2).await;
    let runtime = Arc::clone(mesh.daemon(0).runtime());

    let (mut reader, mut writer) = stream.into_split();
    let read = async {
        until("the process stops", || runtime.inspect(|s| s.is_stopping())).await;
        target.open();
        let (mut answers, mut part) = (Vec::new(), vec![0; 100_000]);
        while let Ok(count @ 1..) = reader.read(&mut part).await {
            answers.extend_from_slice(&part[..count]);
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = writer.write_all(get("/later").as_bytes()).await;
        }
        drop(writer);
        answers
    };
    let (finished, answers) = tokio::join!(mesh.stop(0), read);

    assert!(finished);
    assert_eq!(answers.iter().filter(|byte| **byte == b'x').count(), HUGE_BYTES);
    assert!(!target.arrived().contains(&"/later".to_owned()));
}
