//! Calls while targets fail and proxies stop.

use fireflylug_fault::{ResetStage, TargetOptions, TargetStandIn};
use rstest::rstest;

use crate::support::{Cluster, wait_for};

const BODY_BYTES: usize = 200_000;

async fn cluster_with_target(options: TargetOptions) -> (Cluster, TargetStandIn) {
    let cluster = Cluster::start_with_service(&[0, 0, 1, 1]).await;
    let target = TargetStandIn::start(options).await.expect("loopback");
    cluster.announce(3, "one", target.address()).await;
    cluster.wait_callable(0).await;
    (cluster, target)
}

async fn wait_for_first_run(cluster: &Cluster, target: &TargetStandIn) {
    wait_for("the target to receive a call", async || {
        cluster.call(0, "GET", "probe").await.ok()?;
        (target.total_runs() > 0).then_some(())
    })
    .await;
}

#[rstest]
#[case::after_head(ResetStage::AfterHead)]
#[case::after_run(ResetStage::AfterRun)]
#[case::mid_body(ResetStage::MidBody)]
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_never_runs_twice_and_no_cut_answer_looks_whole(#[case] stage: ResetStage) {
    let options = TargetOptions::new().with_body_bytes(BODY_BYTES);
    let (cluster, target) = cluster_with_target(options).await;
    target.set_options(options.with_reset_at(stage));

    for call in 0..20 {
        let id = format!("payment-{call}");
        let answer = cluster.call(0, "POST", &id).await;

        let runs = target.runs_of(&id);
        assert!(runs <= 1, "{id} ran {runs} times");
        if let Ok(answer) = answer {
            let is_complete = answer.status == 200 && answer.body.len() == BODY_BYTES;
            assert!(!is_complete, "{id} was truncated, but its response looks complete");
            let is_reported_not_run = answer.header("fireflylug-outcome") == "not-run";
            assert!(!(is_reported_not_run && runs > 0), "{id} ran, but was reported as not run");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drains_gets_no_new_work() {
    let options = TargetOptions::new();
    let (cluster, first) = cluster_with_target(options).await;
    let second = TargetStandIn::start(options).await.expect("loopback");
    cluster.announce(2, "two", second.address()).await;
    wait_for_first_run(&cluster, &second).await;

    let removal = cluster.api(3, "DELETE /v1/targets/seatdesk/one", &serde_json::Value::Null).await;
    assert!(removal.expect("a response").status.is_success());
    let runs = first.total_runs();
    for call in 0..50 {
        let answer = cluster.call(0, "GET", &format!("later-{call}")).await.expect("a response");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    assert_eq!(first.total_runs(), runs, "the owner admits no call to its target once it has left");
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_ends_whole_while_proxies_stop_one_after_the_other() {
    let options = TargetOptions::new().with_body_bytes(20_000).with_service_time_us(5_000);
    let (mut cluster, first) = cluster_with_target(options).await;
    let second = TargetStandIn::start(options).await.expect("loopback");
    cluster.announce(2, "two", second.address()).await;
    wait_for_first_run(&cluster, &second).await;
    let calls = cluster.addresses(0).calls;
    let client = cluster.client.clone();
    let load = tokio::spawn(async move {
        let mut failed_calls = Vec::new();
        for call in 0..400 {
            let id = format!("load-{call}");
            let answer = client.send(calls, "POST /seatdesk", &[("x-request-id", &id)], "").await;
            match answer {
                Ok(answer) if answer.status == 200 && answer.body.len() == 20_000 => {}
                other => failed_calls.push((id, other.map(|answer| answer.text()))),
            }
        }
        failed_calls
    });

    cluster.terminate(3).await;
    assert!(cluster.wait_for_exit(3).await);

    let failed_calls = load.await.expect("no panic");
    assert!(failed_calls.is_empty(), "{failed_calls:?}");
    for target in [first, second] {
        let repeated = target.repeated().into_iter().filter(|id| id != "probe");
        assert_eq!(repeated.collect::<Vec<_>>(), Vec::<String>::new());
    }
}
