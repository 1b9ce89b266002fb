//! Meshes, targets and raw connections for the tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflylug_core::resource::{Policy, Repeatable, Resource, Route, Service};
use fireflylug_fault::{TargetOptions, TargetStandIn};
use fireflylug_measure::calls::mesh::{Mesh, TargetSpec, name};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Service `seatdesk` with the routes `/`, `/pay` whose calls may never be repeated, and
/// `/eager` whose server errors are retried at another target.
pub fn resources() -> Vec<Resource> {
    let pay = Policy::new(name("pay")).with_repeatable(Repeatable::Never);
    let eager = Policy { retry_server_errors: true, ..Policy::new(name("eager")) };
    let eager_route = Route::new(name("eager"), "/eager", name("seatdesk"));
    vec![
        Resource::Policy(pay),
        Resource::Policy(eager),
        Resource::Route(eager_route.with_policy(name("eager"))),
        Resource::Service(Service::new(name("seatdesk"))),
        Resource::Route(Route::new(name("look"), "/", name("seatdesk"))),
        Resource::Route(Route::new(name("pay"), "/pay", name("seatdesk")).with_policy(name("pay"))),
    ]
}

/// Starts a mesh of an ingress without targets and one owner for each given target.
pub async fn mesh(targets: &[SocketAddr]) -> Mesh {
    let mut mesh = Mesh::start(1 + targets.len()).await.expect("the daemons start");
    mesh.configure(resources());
    for (index, address) in targets.iter().enumerate() {
        let id = format!("t{index}");
        mesh.announce(1 + index, TargetSpec::new("seatdesk", &id, *address));
    }
    mesh.wait_for_targets(targets.len()).await.expect("the targets are known");
    mesh
}

pub async fn target(options: TargetOptions) -> TargetStandIn {
    TargetStandIn::start(options).await.expect("the target starts")
}

/// Waits up to ten seconds for a condition.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(10), wait).await;
    result.unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

/// Sends bytes and reads until the other end closes the connection.
pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the proxy accepts");
    stream.write_all(request.as_bytes()).await.expect("the proxy reads");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut answer));
    // A reset after some bytes is a valid sign of a truncated response.
    let _ = read.await.expect("the proxy closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// A target that delays its response to one call until [`HeldTarget::answer`].
pub struct HeldTarget {
    pub address: SocketAddr,
    has_call: Arc<AtomicBool>,
    may_answer: Arc<Notify>,
}

impl HeldTarget {
    pub async fn start(answer: &'static str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let target = Self { address, has_call: Arc::default(), may_answer: Arc::default() };
        let (has_call, may_answer) = (Arc::clone(&target.has_call), Arc::clone(&target.may_answer));
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the proxy connects");
            let mut head = [0; 4096];
            let _ = stream.read(&mut head).await;
            has_call.store(true, Ordering::SeqCst);
            may_answer.notified().await;
            let _ = stream.write_all(answer.as_bytes()).await;
        });
        target
    }

    pub fn has_call(&self) -> bool {
        self.has_call.load(Ordering::SeqCst)
    }

    pub fn answer(&self) {
        self.may_answer.notify_one();
    }
}

/// Starts a target that writes `answer` to each request and closes the connection.
pub async fn raw_target(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the proxy connects");
            let mut head = [0; 4096];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Returns an address without a listener. The port stays bound, so that no other listener
/// receives it meanwhile.
pub async fn closed_port() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let address = socket.local_addr().expect("the socket has an address");
    // Stays bound until the test process ends, and never listens.
    std::mem::forget(socket);
    address
}
