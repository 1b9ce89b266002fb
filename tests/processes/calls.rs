//! Calls while targets and proxies fail.

use fireflylug_fault::{ResetStage, TargetOptions, TargetStandIn};
use rstest::rstest;

use crate::support::{Cluster, until};

const BODY_BYTES: usize = 200_000;

async fn cluster_with_target(options: TargetOptions) -> (Cluster, TargetStandIn) {
    let cluster = Cluster::start_with_service(&[0, 0, 1, 1]).await;
    let target = TargetStandIn::start(options).await.expect("loopback");
    cluster.announce(3, "one", target.address()).await;
    cluster.wait_callable(0).await;
    (cluster, target)
}

async fn wait_for_work(cluster: &Cluster, target: &TargetStandIn) {
    until("the target to get work", async || {
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
            let whole = answer.status == 200 && answer.body.len() == BODY_BYTES;
            assert!(!whole, "{id} was cut and looks whole");
            let not_run = answer.header("fireflylug-outcome") == "not-run";
            assert!(!(not_run && runs > 0), "{id} ran and was reported as not run");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drains_gets_no_new_work() {
    let options = TargetOptions::new();
    let (cluster, first) = cluster_with_target(options).await;
    let second = TargetStandIn::start(options).await.expect("loopback");
    cluster.announce(2, "two", second.address()).await;
    wait_for_work(&cluster, &second).await;

    let left = cluster.api(3, "DELETE /v1/targets/seatdesk/one", &serde_json::Value::Null).await;
    assert!(left.expect("an answer").status.is_success());
    let runs = first.total_runs();
    for call in 0..50 {
        let answer = cluster.call(0, "GET", &format!("later-{call}")).await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    assert_eq!(first.total_runs(), runs, "the owner gates its target from the moment it left");
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_ends_whole_while_proxies_stop_one_after_the_other() {
    let options = TargetOptions::new().with_body_bytes(20_000).with_service_time_us(5_000);
    let (mut cluster, first) = cluster_with_target(options).await;
    let second = TargetStandIn::start(options).await.expect("loopback");
    cluster.announce(2, "two", second.address()).await;
    wait_for_work(&cluster, &second).await;
    let calls = cluster.addresses(0).calls;
    let client = cluster.client.clone();
    let load = tokio::spawn(async move {
        let mut broken = Vec::new();
        for call in 0..400 {
            let id = format!("load-{call}");
            let answer = client.send(calls, "POST /seatdesk", &[("x-request-id", &id)], "").await;
            match answer {
                Ok(answer) if answer.status == 200 && answer.body.len() == 20_000 => {}
                other => broken.push((id, other.map(|answer| answer.text()))),
            }
        }
        broken
    });

    cluster.terminate(3).await;
    assert!(cluster.ended(3).await);

    let broken = load.await.expect("no panic");
    assert!(broken.is_empty(), "{broken:?}");
    for target in [first, second] {
        let repeated = target.repeated().into_iter().filter(|id| id != "probe");
        assert_eq!(repeated.collect::<Vec<_>>(), Vec::<String>::new());
    }
}
