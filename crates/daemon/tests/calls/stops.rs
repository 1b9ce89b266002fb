//! Graceful shutdown, and proxies without a configuration.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use fireflylug_fault::{HttpClient, TargetOptions};
use fireflylug_measure::calls::mesh::{Mesh, TargetSpec};
use rstest::rstest;

use crate::fixture::{mesh, target, until};

#[tokio::test]
async fn a_proxy_without_configuration_runs_nothing() {
    let mesh = Mesh::start(1).await.unwrap();

    let answer = HttpClient::new().send(mesh.calls(0), "POST /pay", &[], "fee").await.unwrap();

    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("fireflylug-outcome"), "not-run");
    assert_eq!(answer.header("fireflylug-error"), "no-configuration");
    assert_eq!(answer.header("retry-after"), "1");
}

#[tokio::test]
async fn a_stop_of_the_owner_ends_no_call_in_flight() {
    let options = TargetOptions::new().with_service_time_us(1_500_000).with_body_bytes(500_000);
    let target = target(options).await;
    let mut mesh = mesh(&[target.address()]).await;
    let address = mesh.calls(0);
    let call =
        tokio::spawn(async move { HttpClient::new().send(address, "GET /sheets", &[], "").await });
    until("the call runs", || target.running() == 1).await;

    let finished = mesh.daemons[1].take().unwrap().stop().await;

    assert!(finished);
    assert_eq!(call.await.unwrap().unwrap().body.len(), 500_000);
}

#[tokio::test]
async fn stops_under_load_cut_and_refuse_nothing() {
    let (one, two) = (target(TargetOptions::new()).await, target(TargetOptions::new()).await);
    let mut mesh = mesh(&[one.address(), two.address()]).await;
    let stop = Arc::new(AtomicBool::new(false));
    let succeeded = Arc::new(AtomicU32::new(0));
    let caller = {
        let (stop, succeeded, address) = (Arc::clone(&stop), Arc::clone(&succeeded), mesh.calls(0));
        tokio::spawn(async move {
            let client = HttpClient::new();
            let mut failures = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                match client.send(address, "POST /pay", &[], "fee").await {
                    Ok(answer) if answer.status == 200 => {
                        _ = succeeded.fetch_add(1, Ordering::Relaxed)
                    }
                    Ok(answer) => failures.push(answer.text()),
                    Err(error) => failures.push(error.to_string()),
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            failures
        })
    };
    until("calls run", || succeeded.load(Ordering::Relaxed) > 50).await;

    let finished = mesh.daemons[1].take().unwrap().stop().await;
    let after = succeeded.load(Ordering::Relaxed);
    until("calls go on", || succeeded.load(Ordering::Relaxed) > after + 50).await;
    stop.store(true, Ordering::Relaxed);

    assert!(finished);
    assert_eq!(caller.await.unwrap(), Vec::<String>::new());
    assert_eq!(one.total_runs() + two.total_runs(), u64::from(succeeded.load(Ordering::Relaxed)));
}

// Guards against calls to a target that is leaving, where its announcement does not arrive.
#[rstest]
#[case::through_the_ingress(0)]
#[case::at_the_owner(1)]
#[tokio::test]
async fn a_target_that_states_in_a_response_that_it_leaves_gets_no_more_calls(
    #[case] ingress: usize,
) {
    let leaving = ("fireflylug-leaving", "1");
    let target = target(TargetOptions::new().with_response_header(leaving.0, leaving.1)).await;
    let mut mesh = mesh(&[target.address()]).await;
    let (client, address) = (HttpClient::new(), mesh.calls(ingress));
    let send = || client.send(address, "POST /pay", &[], "fee");

    let last = send().await.unwrap();
    let refused = send().await.unwrap();
    mesh.announce(1, TargetSpec::new("seatdesk", "t0", target.address()));
    let refused_after_an_announcement = send().await.unwrap();

    assert_eq!(last.status, 200);
    for answer in [refused, refused_after_an_announcement] {
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("fireflylug-outcome"), "not-run");
    }
    assert_eq!(target.total_runs(), 1);
}

// Guards against a restarted owner that sends as many calls as its target has slots, although
// other proxies know the rate limit that the target stated.
#[tokio::test]
async fn a_restarted_owner_learns_the_limit_of_its_target_from_the_other_proxies() {
    let no_calls = ("fireflylug-rate-limit", "0");
    let options = TargetOptions::new().with_response_header(no_calls.0, no_calls.1);
    let target = target(options.with_service_time_us(500_000)).await;
    let mut mesh = mesh(&[target.address()]).await;
    let client = HttpClient::new();
    let before = client.send(mesh.calls(0), "POST /pay", &[], "fee").await.unwrap();

    mesh.stop(1).await;
    mesh.add_daemon().await.unwrap();
    mesh.wait_for_members().await.unwrap();
    mesh.announce(1, TargetSpec::new("seatdesk", "t0", target.address()));
    mesh.wait_for_targets(1).await.unwrap();
    let send =
        || client.send(mesh.calls(0), "POST /pay", &[("fireflylug-deadline-ms", "1000")], "fee");
    let answers = tokio::join!(send(), send(), send(), send());

    let answers = [answers.0, answers.1, answers.2, answers.3].map(|answer| answer.unwrap().status);
    assert_eq!(before.status, 200);
    assert_eq!(answers.iter().filter(|status| **status == 200).count(), 1, "{answers:?}");
    assert_eq!(target.total_runs(), 2);
}
