//! Changes and calls through several processes, and graceful stops.

use fireflylug_fault::{Direction, Faults, TargetOptions, TargetStandIn};
use serde_json::Value;

use crate::support::{Cluster, declare_service, next_event, policy, version_of, wait_for};

#[tokio::test(flavor = "multi_thread")]
async fn a_change_comes_into_force_on_every_process_and_is_seen_on_a_watch() {
    let cluster = Cluster::start(&[0, 1, 2, 0, 2]).await;
    let first = cluster.change(0, "first", declare_service("seatdesk")).await;
    let mut watch = cluster.watch(1, first).await;

    let version = cluster.change(1, "second", policy("seatdesk", 2_000)).await;
    let mut events = Vec::new();
    while !events.iter().any(|event| is_event(event, "in-force", version)) {
        events.push(next_event(&mut watch).await);
    }

    assert!(events.iter().any(|event| is_event(event, "accepted", version)), "{events:?}");
    let in_force = events.last().expect("an event");
    assert_eq!(in_force["proxies"], 5);
    for host in cluster.running() {
        assert_eq!(cluster.held_version(host).await, Some(version), "host {host}");
    }
}

fn is_event(event: &Value, name: &str, version: u64) -> bool {
    event["event"] == name && event["version"] == version
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_passes_two_proxies_and_a_terminated_owner_finishes_it() {
    let mut cluster = Cluster::start_with_service(&[0, 1, 2, 0, 1]).await;
    let options = TargetOptions::new().with_body_bytes(300_000);
    let target = TargetStandIn::start(options).await.expect("loopback");
    cluster.announce(3, "one", target.address()).await;
    cluster.wait_callable(4).await;
    target.set_options(options.with_service_time_us(500_000));

    let calls = cluster.addresses(4).calls;
    let client = cluster.client.clone();
    let call = tokio::spawn(async move {
        client.send(calls, "GET /seatdesk", &[("x-request-id", "slow")], "").await
    });
    wait_for("the call to reach the target", async || (target.max_connections() > 0).then_some(()))
        .await;
    cluster.terminate(3).await;

    let answer = call.await.expect("no panic").expect("a complete response");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.body.len(), 300_000);
    assert_eq!(target.runs_of("slow"), 1);
    assert!(cluster.wait_for_exit(3).await, "a graceful stop exits with success");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_lost_answer_gets_the_first_outcome() {
    let cluster = Cluster::start_with_service(&[0, 1, 2]).await;
    // The proxy drops the response on the way back to the operator.
    let proxy =
        fireflylug_fault::FaultProxy::start(cluster.addresses(0).api).await.expect("loopback");
    proxy.link().set_faults(Direction::Backward, Faults::new().with_reset_after_bytes(0));
    let body = policy("seatdesk", 3_000);
    let headers = [("idempotency-key", "wedding")];
    let lost = cluster.client.send(proxy.address(), "POST /v1/changes", &headers, body.to_string());
    assert!(lost.await.is_err());

    let first = cluster.change(1, "wedding", body.clone()).await;
    let other = cluster.change(0, "school", policy("seatdesk", 4_000)).await;
    let resent = cluster.try_change(2, "wedding", &body).await.expect("a response");

    assert!(other > first);
    assert_eq!(version_of(&resent), Some(first), "{}", resent.text());
}
