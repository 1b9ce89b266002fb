//! Resource API over HTTP: invalid input is rejected with the place of the error and does
//! not crash the daemon.

use std::path::Path;
use std::time::Duration;

use fireflylug_core::api::{ApiRequest, ApiResponse, WatchEvent};
use fireflylug_core::ids::{Locality, Name, RequestId, Version};
use fireflylug_daemon::Daemon;
use fireflylug_daemon::api::{MAX_QUEUED_RESPONSES, PendingRequests};
use fireflylug_settings::{ControlSection, Settings};
use rstest::rstest;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KEY: &str = "0123456789abcdef";

fn settings(host: &str) -> Settings {
    let name = |text| Name::new(text).unwrap();
    let locality = Locality { region: name("kochi"), availability_zone: name("kochi-aluva") };
    Settings::loopback(name(host), locality)
}

async fn with_key(folder: &Path) -> Daemon {
    let file = folder.join("key");
    std::fs::write(&file, KEY).unwrap();
    let mut settings = settings("guarded");
    settings.key_file = Some(file);
    Daemon::start(settings).await.unwrap()
}

/// A received HTTP response.
struct HttpResponse {
    status: u16,
    body: String,
}

impl HttpResponse {
    fn error(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap();
        body["error"].clone()
    }

    fn code(&self) -> String {
        self.error()["code"].as_str().unwrap_or_default().to_owned()
    }

    fn places(&self) -> Vec<String> {
        let error = self.error();
        let findings = error["findings"].as_array().cloned().unwrap_or_default();
        findings.iter().map(|finding| finding["place"].as_str().unwrap().to_owned()).collect()
    }
}

async fn send(daemon: &Daemon, head: &str, body: &str) -> HttpResponse {
    let mut stream = TcpStream::connect(daemon.addresses().api).await.unwrap();
    let length = body.len();
    let request =
        format!("{head} HTTP/1.1\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    // The daemon may respond before it has read an oversized body.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    let response = String::from_utf8_lossy(&response);
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    HttpResponse { status, body: body.to_owned() }
}

/// Starts a mesh of one control replica and waits until it accepts changes.
async fn mesh_of_one(folder: &Path) -> Daemon {
    let mut settings = settings("alone");
    let control = ControlSection {
        data_dir: folder.join("data"),
        initial_voters: vec![settings.host.clone()],
    };
    settings.control = Some(control);
    let daemon = Daemon::start(settings).await.unwrap();
    while send(&daemon, "GET /v1/services", "").await.status != 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    daemon
}

/// Returns a request head with an additional header.
fn with_header(line: &str, header: &str) -> String {
    format!("{line} HTTP/1.1\r\n{header}\r\nx-rest:")
}

async fn get_with(daemon: &Daemon, path: &str, header: &str) -> HttpResponse {
    send(daemon, &with_header(&format!("GET {path}"), header), "").await
}

#[rstest]
#[tokio::test]
async fn several_daemons_answer_in_one_program_and_stop() {
    let mut daemons = Vec::new();
    for index in 0..3 {
        daemons.push(Daemon::start(settings(&format!("host-{index}"))).await.unwrap());
    }

    for daemon in daemons {
        let health = send(&daemon, "GET /healthz", "").await;
        let ready = send(&daemon, "GET /readyz", "").await;
        let stopped = tokio::time::timeout(Duration::from_secs(10), daemon.stop()).await;

        assert_eq!(health.status, 200);
        assert_eq!(ready.status, 503);
        assert_eq!(stopped, Ok(true));
    }
}

#[rstest]
#[case::unknown_path("GET /v2/services", "", 404, "not-found")]
#[case::unknown_kind("GET /v1/clusters/a", "", 404, "not-found")]
#[case::wrong_method("POST /v1/services/a", "{}", 405, "method-not-allowed")]
#[case::method_of_another("PUT /v1/watch", "{}", 405, "method-not-allowed")]
#[case::bad_name("PUT /v1/services/Seat_Desk", "{}", 400, "malformed")]
#[case::not_json("PUT /v1/services/a", "{nope", 400, "malformed")]
#[case::no_object("PUT /v1/services/a", "[]", 400, "malformed")]
#[case::bad_version("GET /v1/watch?from=soon", "", 400, "malformed")]
#[case::watch_at_a_proxy("GET /v1/watch", "", 421, "misdirected")]
#[case::unknown_target("DELETE /v1/targets/a/b", "", 404, "not-found")]
#[tokio::test]
async fn bad_request_gets_a_typed_error(
    #[case] head: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let daemon = Daemon::start(settings("host")).await.unwrap();

    let response = send(&daemon, head, body).await;

    assert_eq!((response.status, response.code().as_str()), (status, code), "{}", response.body);
    daemon.kill();
}

#[rstest]
#[case::fields_of_a_resource(
    "PUT /v1/routes/lookup",
    r#"{"name": "other", "path_prefix": 7, "service": "Seat", "colour": "red"}"#,
    &["name", "colour", "path_prefix", "service"]
)]
#[case::operations_of_a_change_set(
    "POST /v1/changes",
    r#"{"operations": [
        {"op": "put", "resource": {"kind": "policy", "name": "p", "deadline_ms": -1}},
        {"op": "drop", "resource": {"kind": "route", "name": "r"}},
        {"op": "delete", "resource": {"kind": "route"}, "if_version": "x"},
        {"op": "put", "resource": {"kind": "fleet", "name": "f"}, "why": 1},
        7
    ], "dry_run": true}"#,
    &[
        "dry_run",
        "operations[0].resource.deadline_ms",
        "operations[1].op",
        "operations[2].if_version",
        "operations[2].resource",
        "operations[3].why",
        "operations[3].resource.kind",
        "operations[4]"
    ]
)]
#[case::fields_of_an_announcement(
    "PUT /v1/targets/seatdesk/a",
    r#"{"address": "nowhere", "slots": 0, "connections": 1, "lease_ms": 5, "load": 1}"#,
    &["address", "load"]
)]
#[tokio::test]
async fn every_mistake_of_a_body_is_reported_with_its_place(
    #[case] head: &str,
    #[case] body: &str,
    #[case] expected: &[&str],
) {
    let daemon = Daemon::start(settings("host")).await.unwrap();

    let response = send(&daemon, head, body).await;

    let mut places = response.places();
    places.sort();
    let mut expected = expected.to_vec();
    expected.sort_unstable();
    assert_eq!(places, expected, "{}", response.body);
    daemon.kill();
}

/// Errors of the JSON library quote the value that they found. The value may be a key in the
/// wrong place, and the operator's tools may log the error.
#[rstest]
#[case::bare_key(r#"{"keys": "s3cret"}"#)]
#[case::as_priority(r#"{"keys": [], "priority": "s3cret"}"#)]
#[case::as_rate(r#"{"keys": [], "rate_per_s": "s3cret, expected s3cret"}"#)]
#[case::as_name(r#"{"keys": [], "name": "s3cret=="}"#)]
#[case::as_field(r#"{"keys": [], "s3cret": ["s3cret"]}"#)]
#[case::cut_off(r#"{"keys": ["s3cret"#)]
#[case::bad_escape(r#"{"keys": ["s3cret\q"]}"#)]
#[case::no_list(r#"["s3cret"]"#)]
#[tokio::test]
async fn no_error_contains_a_value_that_may_be_a_key(#[case] resource: &str) {
    let daemon = Daemon::start(settings("host")).await.unwrap();
    let tagged = resource.replacen('{', r#"{"kind": "organisation", "#, 1);
    let changes = format!(r#"{{"operations": [{{"op": "put", "resource": {tagged}}}]}}"#);

    let put = send(&daemon, "PUT /v1/organisations/acme", resource).await;
    let change = send(&daemon, "POST /v1/changes", &changes).await;

    for response in [put, change] {
        assert_eq!(response.status, 400, "{}", response.body);
        assert!(!response.body.contains("s3cret"), "{}", response.body);
    }
    daemon.kill();
}

#[rstest]
#[tokio::test]
async fn body_that_is_too_long_is_refused_and_the_daemon_lives() {
    let daemon = Daemon::start(settings("host")).await.unwrap();
    let body = " ".repeat(fireflylug_daemon::api::MAX_BODY_BYTES + 1);

    let response = send(&daemon, "POST /v1/changes", &body).await;
    let health = send(&daemon, "GET /healthz", "").await;

    assert_eq!(response.status, 413);
    assert_eq!(health.status, 200);
    daemon.kill();
}

#[rstest]
#[case::no_bytes("")]
#[case::half_a_head("GET /v1/st")]
#[case::garbage("\x00\x01\x02\r\n\r\n\r\n")]
#[case::half_a_body("PUT /v1/services/a HTTP/1.1\r\ncontent-length: 100\r\n\r\n{\"po")]
#[tokio::test]
async fn daemon_outlives_a_connection_that_is_cut(#[case] sent: &str) {
    let daemon = Daemon::start(settings("host")).await.unwrap();

    let mut stream = TcpStream::connect(daemon.addresses().api).await.unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    drop(stream);
    let health = send(&daemon, "GET /healthz", "").await;

    assert_eq!(health.status, 200);
    daemon.kill();
}

#[rstest]
#[case::none("x-none: 1", 401)]
#[case::wrong("authorization: Bearer 0123456789abcdeF", 401)]
#[case::longer("authorization: Bearer 0123456789abcdefg", 401)]
#[case::right("authorization: Bearer 0123456789abcdef", 200)]
#[tokio::test]
async fn shared_key_guards_all_but_health(#[case] header: &str, #[case] status: u16) {
    let folder = tempfile::tempdir().unwrap();
    let daemon = with_key(folder.path()).await;

    let guarded = get_with(&daemon, "/v1/status", header).await;
    let metrics = get_with(&daemon, "/metrics", header).await;
    let health = get_with(&daemon, "/healthz", header).await;

    assert_eq!((guarded.status, metrics.status, health.status), (status, status, 200));
    daemon.kill();
}

#[rstest]
#[tokio::test]
async fn port_in_use_is_named_with_the_key_to_change() {
    let first = Daemon::start(settings("first")).await.unwrap();
    let mut second = settings("second");
    second.listen.api = first.addresses().api;

    let error = Daemon::start(second).await.err().unwrap().to_string();

    assert!(error.contains("[listen] api"), "{error}");
    first.kill();
}

#[rstest]
#[tokio::test]
async fn of_two_updates_with_one_version_one_succeeds_and_the_other_gets_the_current_resource() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = mesh_of_one(folder.path()).await;
    send(&daemon, "PUT /v1/policies/lookup", r#"{"deadline_ms": 1000}"#).await;
    let put = with_header("PUT /v1/policies/lookup", "if-match: \"1\"");

    let (first, second) = tokio::join!(
        send(&daemon, &put, r#"{"deadline_ms": 2000}"#),
        send(&daemon, &put, r#"{"deadline_ms": 3000}"#)
    );

    let (won, lost) = if first.status == 200 { (2000, second) } else { (3000, first) };
    assert_eq!((lost.status, lost.code().as_str()), (409, "conflict"), "{}", lost.body);
    let current = &lost.error()["findings"][0]["current"];
    assert_eq!(current["resource"]["deadline_ms"], won);
    assert_eq!(current["version"], 2);
    daemon.kill();
}

#[rstest]
#[tokio::test]
async fn resent_change_gets_its_first_outcome() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = mesh_of_one(folder.path()).await;
    let put = with_header("PUT /v1/services/seatdesk", "idempotency-key: once\r\nif-match: 0");

    let first = send(&daemon, &put, "{}").await;
    let again = send(&daemon, &put, "{}").await;

    assert_eq!((first.status, again.status), (200, 200), "{}", again.body);
    assert_eq!(first.body, again.body);
    daemon.kill();
}

#[rstest]
#[tokio::test]
async fn change_set_with_a_dangling_route_leaves_nothing_behind() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = mesh_of_one(folder.path()).await;
    let body = r#"{"operations": [
        {"op": "put", "resource": {"kind": "service", "name": "seatdesk"}},
        {"op": "put", "resource":
            {"kind": "route", "name": "r", "path_prefix": "/r", "service": "missing"}}
    ]}"#;

    let response = send(&daemon, "POST /v1/changes", body).await;
    let kept = send(&daemon, "GET /v1/services/seatdesk", "").await;

    assert_eq!((response.status, response.code().as_str()), (422, "invalid"), "{}", response.body);
    assert!(response.places()[0].starts_with("operations[1]"), "{:?}", response.places());
    assert_eq!(kept.status, 404);
    daemon.kill();
}

#[rstest]
#[tokio::test]
async fn watcher_that_reads_too_slowly_is_dropped_and_memory_stays_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = mesh_of_one(folder.path()).await;
    let pending_requests = PendingRequests::new();
    let event = WatchEvent::Started { version: Version(1), in_force: Version(0) };
    let mut watch = pending_requests.submit(daemon.runtime(), ApiRequest::Watch { from: None });

    for _ in 0..2 * MAX_QUEUED_RESPONSES {
        pending_requests.respond(RequestId(0), ApiResponse::Watch(event.clone()));
    }
    let mut received = 0;
    while watch.next().await.is_some() {
        received += 1;
    }

    assert_eq!(received, MAX_QUEUED_RESPONSES);
    daemon.kill();
}

#[rstest]
#[tokio::test]
async fn graceful_stop_answers_a_change_that_waits() {
    // No replica is reachable, so the change is pending until its timeout.
    let daemon = Daemon::start(settings("lonely")).await.unwrap();
    let api = daemon.addresses().api;
    let mut stream = TcpStream::connect(api).await.unwrap();
    let request = "DELETE /v1/routes/r HTTP/1.1\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    while !send(&daemon, "GET /metrics", "").await.body.contains("fireflylug_api_waiting 1") {}

    let (finished, response) = tokio::join!(daemon.stop(), async {
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        response
    });

    assert!(finished);
    assert!(response.contains("refused: no leader"), "{response}");
}
