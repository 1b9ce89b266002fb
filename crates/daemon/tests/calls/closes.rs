//! What ends with the process or with a change of the configuration, and what does not.

use std::net::SocketAddr;
use std::sync::Arc;

use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_daemon::calls::ConnectionStage;
use fireflylug_fault::{HttpClient, TargetOptions};
use fireflylug_measure::calls::mesh::{Mesh, name};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::fixture::{HeldTarget, mesh, target, until};

const HELD_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const HALF_A_PAYMENT: &str = "POST /pay HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc";

/// Starts one daemon that stops without notice and waits three seconds for requests in flight.
async fn quickly_stopping_daemon() -> Mesh {
    let mut mesh = Mesh::default();
    let start = mesh.add_daemon_with(|mut settings| {
        settings.stop_notice_ms = 0;
        settings.stop_limit_ms = 3_000;
        settings
    });
    start.await.expect("the daemon starts");
    mesh
}

/// Service `seatdesk` whose calls time out after `deadline_ms`.
fn with_deadline(deadline_ms: u32) -> Vec<Resource> {
    let policy = Policy::new(name("quick")).with_deadline_ms(deadline_ms);
    vec![
        Resource::Policy(policy),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("look"), "/", name("seatdesk"))),
    ]
}

async fn look(address: SocketAddr) -> std::io::Result<(u16, String)> {
    let answer = HttpClient::new().send(address, "GET /sheets", &[], "").await?;
    Ok((answer.status.as_u16(), answer.text()))
}

/// Sends a call, and waits until its target holds it.
async fn call_in_flight(
    address: SocketAddr,
    held: &HeldTarget,
) -> JoinHandle<std::io::Result<(u16, String)>> {
    let call = tokio::spawn(look(address));
    until("the call runs", || held.has_call()).await;
    call
}

// Guards against a stop that waits for a request body until the time limit.
#[tokio::test]
async fn a_request_body_without_end_does_not_delay_a_stop() {
    let mut mesh = quickly_stopping_daemon().await;
    let mut stream = TcpStream::connect(mesh.calls(0)).await.expect("the proxy accepts");
    stream.write_all(HALF_A_PAYMENT.as_bytes()).await.expect("the proxy reads");
    let receiving = |mesh: &Mesh| mesh.daemon(0).open_work().callers.of(ConnectionStage::Receiving);
    until("the body is being received", || receiving(&mesh) == 1).await;

    let finished = mesh.stop(0).await;
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;

    assert!(finished, "the stop reached its time limit; {answer:?}");
    assert!(read.is_ok() && answer.starts_with("HTTP/1.1 503"), "{read:?} {answer:?}");
    assert!(answer.contains("fireflylug-outcome: not-run"), "{answer:?}");
}

#[tokio::test]
async fn open_work_lists_a_call_at_its_ingress_and_at_its_owner() {
    let held = HeldTarget::start(HELD_ANSWER).await;
    let mesh = mesh(&[held.address]).await;
    let call = call_in_flight(mesh.calls(0), &held).await;

    let [ingress, owner] = [0, 1].map(|index| mesh.daemon(index).open_work());
    held.answer();
    let answer = call.await.expect("no panic").expect("a response");

    assert_eq!(answer, (200, "ok".to_owned()));
    assert_eq!([ingress.calls.running, owner.calls.running], [1, 1]);
    assert_eq!(ingress.callers.of(ConnectionStage::Calling), 1);
    assert_eq!(owner.proxies.of(ConnectionStage::Calling), 1);
    assert_eq!(
        ingress.to_string(),
        "calls: 0 choosing, 0 queued, 1 running, 0 cancelling, 0 relaying; \
         connections of callers: 0 unused, 0 receiving, 1 calling, 0 responded; \
         connections of proxies: 0 unused, 0 receiving, 0 calling, 0 responded; \
         0 requests at the resource API"
    );
}

// Guards against an answer that is lost with the process while its caller reads slowly.
#[tokio::test]
async fn a_caller_that_reads_slowly_gets_its_whole_answer_from_a_stopping_process() {
    let target = target(TargetOptions::new().with_body_bytes(4_000_000)).await;
    let mut mesh = mesh(&[target.address()]).await;
    let mut stream = TcpStream::connect(mesh.calls(0)).await.expect("the proxy accepts");
    let request = "GET /sheets HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("the proxy reads");
    until("the call ran", || target.total_runs() == 1).await;

    let stop = mesh.stop(0);
    let read = async {
        let mut answer = Vec::new();
        let mut part = vec![0; 100_000];
        while let Ok(count @ 1..) = stream.read(&mut part).await {
            answer.extend_from_slice(&part[..count]);
            tokio::time::sleep(std::time::Duration::from_millis(30)).await;
        }
        answer
    };
    let (finished, answer) = tokio::join!(stop, read);

    assert!(finished);
    assert_eq!(answer.iter().filter(|byte| **byte == b'x').count(), 4_000_000);
}

#[tokio::test]
async fn a_change_that_removes_the_route_and_its_service_ends_no_call_in_flight() {
    let held = HeldTarget::start(HELD_ANSWER).await;
    let mut mesh = mesh(&[held.address]).await;
    let address = mesh.calls(0);
    let call = call_in_flight(address, &held).await;

    mesh.configure([]);
    let after = look(address).await.expect("a response");
    held.answer();
    let answer = call.await.expect("no panic").expect("a response");

    assert_eq!(after.0, 404);
    assert_eq!(answer, (200, "ok".to_owned()));
}

#[tokio::test]
async fn a_change_to_a_shorter_timeout_ends_no_call_in_flight() {
    let held = HeldTarget::start(HELD_ANSWER).await;
    let mut mesh = mesh(&[held.address]).await;
    mesh.configure(with_deadline(20_000));
    let address = mesh.calls(0);
    let call = call_in_flight(address, &held).await;

    mesh.configure(with_deadline(200));
    let after = look(address).await.expect("a response");
    held.answer();
    let answer = call.await.expect("no panic").expect("a response");

    assert_eq!(after.0, 504);
    assert_eq!(answer, (200, "ok".to_owned()));
}

#[tokio::test]
async fn a_reload_and_a_change_of_targets_end_no_call_in_flight() {
    let held = HeldTarget::start(HELD_ANSWER).await;
    let mesh = mesh(&[held.address]).await;
    let call = call_in_flight(mesh.calls(0), &held).await;

    for daemon in mesh.running() {
        let mut settings = fireflylug_settings::Settings::mesh_of_one();
        settings.seeds = vec![daemon.addresses().peers];
        daemon.reload(&settings);
    }
    mesh.announce_again(1, "t0", true);
    held.answer();
    let answer = call.await.expect("no panic").expect("a response");

    assert_eq!(answer, (200, "ok".to_owned()));
}

// Guards against a connection that is closed while its first request is in transit.
#[rstest]
#[case::nothing_received("")]
#[case::half_a_head_received("GET /sheets HTTP/1.1\r\nho")]
#[tokio::test]
async fn the_first_request_of_a_connection_is_answered_by_a_process_that_refuses_calls(
    #[case] received: &str,
) {
    let mut mesh = quickly_stopping_daemon().await;
    let mut stream = TcpStream::connect(mesh.calls(0)).await.expect("the proxy accepts");
    stream.write_all(received.as_bytes()).await.expect("the proxy reads");
    let unused = |mesh: &Mesh| mesh.daemon(0).open_work().callers.of(ConnectionStage::Unused);
    until("the connection is accepted", || unused(&mesh) == 1).await;
    let runtime = Arc::clone(mesh.daemon(0).runtime());

    let caller = async {
        let is_refusing = || runtime.inspect(|s| s.is_stopping() && s.routing().is_idle());
        until("calls are refused", is_refusing).await;
        let rest = "GET /sheets HTTP/1.1\r\nhost: a\r\n\r\n".strip_prefix(received);
        let sent = stream.write_all(rest.expect("the same request").as_bytes()).await;
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer).await;
        (sent.is_ok() && read.is_ok(), answer)
    };
    let (finished, (is_ok, answer)) = tokio::join!(mesh.stop(0), caller);

    assert!(finished && is_ok);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(answer.contains("fireflylug-outcome: not-run"), "{answer:?}");
}
