//! Killed daemons, isolated control replicas and lost disks.

use fireflylug_fault::Mode;
use serde_json::Value;

use crate::support::{CONTROL_HOSTS, Cluster, next_event, policy, version_of, wait_for};

/// Three control hosts in three availability zones, and a proxy beside each.
const ZONES: [usize; 6] = [0, 1, 2, 0, 1, 2];

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemons_restart_with_every_accepted_change() {
    let mut cluster = Cluster::start_with_service(&ZONES).await;
    let version = cluster.change(0, "before", policy("seatdesk", 2_000)).await;
    cluster.wait_in_force(version).await;

    for round in 0..2 {
        for host in [1, 2, 3, 4, 5] {
            cluster.kill(host).await;
        }
        for host in [5, 4, 3, 2, 1] {
            cluster.spawn(host).await;
        }
        let key = format!("after-{round}");
        let next = cluster.change(3, &key, policy("seatdesk", 3_000 + round)).await;
        assert!(next > version);
        cluster.wait_in_force(next).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_leader_accepts_no_change_and_serves_no_current_read() {
    let cluster = Cluster::start_with_service(&ZONES).await;
    let leader = leader(&cluster).await;
    let follower = (leader + 1) % CONTROL_HOSTS;

    cluster.isolate(leader, Mode::Stall);
    let change_set = policy("seatdesk", 2_222);
    let while_isolated = cluster.try_change(leader, "lost", &change_set);
    let accepted = cluster.change(follower, "won", policy("seatdesk", 3_333));
    let (while_isolated, accepted) = tokio::join!(while_isolated, accepted);
    let read = cluster.api(leader, "GET /v1/policies/seatdesk", &Value::Null).await;

    let while_isolated = while_isolated.expect("a response");
    assert_eq!(while_isolated.status, 503, "{}", while_isolated.text());
    assert_eq!(
        read.expect("a response").status,
        503,
        "an isolated leader must not serve a read as current"
    );
    cluster.isolate(leader, Mode::Pass);
    cluster.wait_in_force(accepted).await;
    let resent = cluster.change(leader, "lost", change_set).await;
    assert!(resent > accepted, "a resend after the outcome was unknown or refused");
    cluster.wait_in_force(resent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_disk_may_be_lost_right_after_a_repair() {
    let mut cluster = Cluster::start_with_service(&ZONES).await;
    // The third replica is down and misses the change, so only two disks hold it.
    cluster.kill(2).await;
    let accepted = cluster.change(0, "kept", policy("seatdesk", 2_000)).await;
    cluster.kill(1).await;
    cluster.delete_data_dir(1);
    cluster.spawn(1).await;
    cluster.spawn(2).await;
    let repaired = cluster.change(1, "repaired", policy("seatdesk", 2_500)).await;
    cluster.wait_in_force(repaired).await;

    // The next host to fail is the only one whose disk has held every change throughout.
    cluster.kill(0).await;
    let next = cluster.change(1, "next", policy("seatdesk", 3_000)).await;
    cluster.wait_in_force(next).await;

    assert!(accepted < repaired && repaired < next);
    let resent =
        cluster.try_change(2, "kept", &policy("seatdesk", 2_000)).await.expect("a response");
    assert_eq!(version_of(&resent), Some(accepted), "{}", resent.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_availability_zone_that_was_cut_catches_up_and_was_never_in_force_before() {
    let cluster = Cluster::start_with_service(&ZONES).await;
    let before = cluster.held_version(5).await.expect("ready");
    let mut watch = cluster.watch(0, before).await;

    cluster.cut_zone(2, Mode::Stall);
    let accepted = cluster.change(0, "meanwhile", policy("seatdesk", 2_000)).await;
    for host in [0, 1, 3, 4] {
        let what = format!("host {host}");
        wait_for(&what, async || {
            cluster.held_version(host).await.filter(|version| *version >= accepted)
        })
        .await;
    }
    assert_eq!(
        cluster.held_version(5).await,
        Some(before),
        "an availability zone that is cut off keeps its version"
    );
    cluster.cut_zone(2, Mode::Pass);
    cluster.wait_in_force(accepted).await;

    loop {
        let event = next_event(&mut watch).await;
        if event["event"] == "in-force" && event["version"] == accepted {
            break;
        }
    }
    assert_eq!(cluster.held_version(5).await, Some(accepted));
}

async fn leader(cluster: &Cluster) -> usize {
    wait_for("a leader", async || {
        let status = cluster.api(0, "GET /v1/status", &Value::Null).await.ok()?;
        let status: Value = serde_json::from_slice(&status.body).ok()?;
        let host = status["control"]["leader"].as_str()?.strip_prefix("host-")?.to_owned();
        host.parse().ok()
    })
    .await
}
