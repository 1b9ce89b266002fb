//! Keys of organisations in what processes show to others than operators that read them back.

use fireflylug_core::organisation::KeyDigest;
use fireflylug_fault::{HttpResponse, TargetOptions, TargetStandIn};
use fireflylug_settings::LogLevel;
use serde_json::{Value, json};

use crate::support::{Cluster, declare_service, wait_for};

const KEY: &str = "rth5mgjy5rcpihhacrud";
const REVOKED: &str = "s3cret-revoked-key";
const UNKNOWN: &str = "s3cret-unknown-key";

fn declare_acme(keys: &[&str]) -> Value {
    let resource = json!({"kind": "organisation", "name": "acme", "keys": keys, "rate_per_s": 500});
    json!({"operations": [{"op": "put", "resource": resource}]})
}

async fn call(cluster: &Cluster, host: usize, authorization: &str) -> HttpResponse {
    let headers = [("x-request-id", "probe"), ("authorization", authorization)];
    let calls = cluster.addresses(host).calls;
    cluster.client.send(calls, "GET /seatdesk", &headers, "").await.expect("a response")
}

/// Asserts that a text contains no key and, unless it may hold digests, no digest.
fn assert_no_secret(what: &str, text: &str, may_hold_digests: bool) {
    for key in [KEY, REVOKED, UNKNOWN] {
        assert!(!text.contains(key), "{what} contains the key {key}");
        let digest = KeyDigest::of(key).to_string();
        assert!(may_hold_digests || !text.contains(&digest), "{what} contains the digest of {key}");
    }
}

// Guards against keys in what monitoring collects: logs, metrics, status and errors.
#[tokio::test(flavor = "multi_thread")]
async fn no_log_metric_status_or_error_contains_a_key() {
    let cluster = Cluster::start_with_log_level(&[0, 0, 1, 1], LogLevel::Debug).await;
    let target = TargetStandIn::start(TargetOptions::new()).await.expect("loopback");
    cluster.change(0, "service", declare_service("seatdesk")).await;
    cluster.announce(3, "one", target.address()).await;
    cluster.wait_callable(0).await;
    let both = cluster.change(3, "both", declare_acme(&[KEY, REVOKED])).await;
    cluster.wait_in_force(both).await;
    assert_eq!(call(&cluster, 0, &format!("Bearer {REVOKED}")).await.status, 200);
    let one = cluster.change(1, "one", declare_acme(&[KEY])).await;
    cluster.wait_in_force(one).await;

    let mut answers = Vec::new();
    for host in cluster.running() {
        assert_eq!(call(&cluster, host, &format!("Bearer {KEY}")).await.status, 200);
        for wrong in [REVOKED, UNKNOWN] {
            answers.push((401, call(&cluster, host, &format!("Bearer {wrong}")).await));
        }
        answers.push((400, call(&cluster, host, &format!("Basic {KEY}")).await));
        let twice = declare_acme(&[KEY, KEY]);
        answers.push((422, cluster.try_change(host, "twice", &twice).await.expect("a response")));
        let misplaced = json!({"keys": [], "priority": KEY});
        let put = "PUT /v1/organisations/acme";
        answers.push((400, cluster.api(host, put, &misplaced).await.expect("a response")));
        let mut outdated = declare_acme(&[KEY]);
        outdated["operations"][0]["if_version"] = json!(1);
        answers.push((409, cluster.try_change(host, "old", &outdated).await.expect("a response")));
    }

    for (status, answer) in answers {
        assert_eq!(answer.status, status, "{}", answer.text());
        // The resource in a conflict is a read-back with digests.
        assert_no_secret("an error", &answer.text(), status == 409);
    }
    for host in cluster.running() {
        for path in ["/metrics", "/v1/status", "/v1/burn"] {
            let answer = cluster.api(host, &format!("GET {path}"), &Value::Null).await;
            assert_no_secret(path, &answer.expect("a response").text(), false);
        }
        let stale = cluster.api(host, "GET /v1/organisations?stale=true", &Value::Null).await;
        assert_no_secret("a stale read", &stale.expect("a response").text(), true);
        let log = wait_for("a log line about a refused call", async || {
            Some(cluster.log(host)).filter(|log| log.contains("unauthenticated"))
        });
        assert_no_secret("a log", &log.await, false);
    }
}

// Guards against a check that reads the configuration in force incompletely or prints its keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_file_is_checked_against_the_configuration_in_force() {
    let cluster = Cluster::start_with_service(&[0, 0, 1]).await;
    let version = cluster.change(0, "acme", declare_acme(&[KEY])).await;
    cluster.wait_in_force(version).await;
    let file = tempfile::NamedTempFile::new().expect("a file");
    let check = |changes: &Value| {
        std::fs::write(file.path(), changes.to_string()).expect("a file");
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_fireflylug"));
        command.arg("check").arg(file.path()).args(["--against", "current", "--api"]);
        let output = command.arg(cluster.addresses(2).api.to_string()).output().expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };

    let (unchanged, nothing) = check(&declare_acme(&[KEY]));
    let (rotated, difference) = check(&declare_acme(&[KEY, REVOKED]));
    let (failed, errors) = check(&declare_acme(&[KEY, KEY]));

    assert_eq!((unchanged, rotated, failed), (Some(0), Some(0), Some(1)));
    assert_eq!(nothing.trim(), "0 errors, 0 remarks");
    assert!(difference.contains("organisation/acme: keys: 1 added, 0 removed"), "{difference}");
    assert!(errors.starts_with("error: operations[0].resource.keys[1]: "), "{errors}");
    assert_no_secret("the output of check", &format!("{nothing}{difference}{errors}"), false);
}
