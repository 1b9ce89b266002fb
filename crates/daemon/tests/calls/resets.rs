//! Connections that fail at each stage: number of runs and reported outcome.

use fireflylug_fault::{HttpClient, ResetStage, TargetOptions};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixture::{closed_port, exchange, mesh, target};

#[rstest]
#[case::on_accept(ResetStage::Accept, 0)]
#[case::after_the_head(ResetStage::AfterHead, 0)]
#[case::after_the_run(ResetStage::AfterRun, 1)]
#[tokio::test]
async fn a_payment_whose_connection_is_lost_is_unknown_and_ran_at_most_once(
    #[case] stage: ResetStage,
    #[case] runs: u64,
) {
    let options = TargetOptions::new().with_reset_at(stage);
    let (one, two) = (target(options).await, target(options).await);
    let mesh = mesh(&[one.address(), two.address()]).await;

    let answer = HttpClient::new().send(mesh.calls(0), "POST /pay", &[], "fee").await.unwrap();

    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("fireflylug-outcome"), "unknown");
    assert_eq!(one.total_runs() + two.total_runs(), runs);
}

#[rstest]
#[case::on_accept(ResetStage::Accept)]
#[case::after_the_head(ResetStage::AfterHead)]
#[case::after_the_run(ResetStage::AfterRun)]
#[tokio::test]
async fn a_lookup_is_answered_by_another_target(#[case] stage: ResetStage) {
    let resetting = target(TargetOptions::new().with_reset_at(stage)).await;
    let healthy = target(TargetOptions::new()).await;
    let mesh = mesh(&[resetting.address(), healthy.address()]).await;
    let client = HttpClient::new();

    for _ in 0..10 {
        let answer = client.send(mesh.calls(0), "GET /seats", &[], "").await.unwrap();

        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

#[tokio::test]
async fn a_payment_that_reached_no_target_goes_to_another() {
    let healthy = target(TargetOptions::new()).await;
    let mesh = mesh(&[closed_port().await, healthy.address()]).await;
    let client = HttpClient::new();

    for index in 1..=10 {
        let answer = client.send(mesh.calls(0), "POST /pay", &[], "fee").await.unwrap();

        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(healthy.total_runs(), index);
    }
}

#[tokio::test]
async fn an_unreachable_target_is_reported_as_not_run() {
    let mesh = mesh(&[closed_port().await]).await;

    let answer = HttpClient::new().send(mesh.calls(0), "POST /pay", &[], "fee").await.unwrap();

    assert_eq!(answer.header("fireflylug-outcome"), "not-run");
    assert_eq!(answer.header("fireflylug-error"), "unreachable");
    assert!(answer.text().contains("\"code\":\"unreachable\""), "{}", answer.text());
}

#[tokio::test]
async fn an_owner_that_dies_leaves_a_payment_unknown() {
    let slow = target(TargetOptions::new().with_service_time_us(60_000_000)).await;
    let mut mesh = mesh(&[slow.address()]).await;
    let address = mesh.calls(0);
    let call = tokio::spawn(async move {
        HttpClient::new().send(address, "POST /pay", &[], "fee").await.unwrap()
    });
    crate::fixture::until("the call runs", || slow.running() == 1).await;

    mesh.daemons[1].take().unwrap().kill();

    let answer = call.await.unwrap();
    assert_eq!(answer.header("fireflylug-outcome"), "unknown");
}

#[tokio::test]
async fn a_forwarded_call_without_its_head_is_refused() {
    let mesh = mesh(&[]).await;

    let forward = mesh.daemon(0).addresses().forward;
    let answer = exchange(forward, "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await;

    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("fireflylug-outcome: not-run"), "{answer}");
}

/// Unsent bytes of an abandoned call must not reach the target after an orderly close.
#[tokio::test]
async fn an_abandoned_call_resets_its_connection_to_the_target() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
    let mesh = mesh(&[listener.local_addr().expect("it has an address")]).await;
    let mut caller = TcpStream::connect(mesh.calls(1)).await.expect("the proxy accepts");
    let request = "GET /seats HTTP/1.1\r\nhost: x\r\n\r\n";
    caller.write_all(request.as_bytes()).await.expect("the proxy reads");
    let (mut stream, _) = listener.accept().await.expect("the proxy connects");
    let mut bytes = [0; 4_096];
    assert!(stream.read(&mut bytes).await.expect("the head arrives") > 0);

    drop(caller);

    let end = stream.read(&mut bytes).await;
    assert_eq!(end.expect_err("no orderly end").kind(), std::io::ErrorKind::ConnectionReset);
}
