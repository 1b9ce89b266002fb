//! Targets that answer with a status or a head that HTTP does not have.

use rstest::rstest;

use crate::fixture::{exchange, mesh, raw_target};

// Guards against a target in trouble whose invalid status is passed on as an answer. Before the
// check, 600, 999 and 101 were passed on as `ran`, 600 with the not-run header was reported as
// `not-run`, and the others were reported as lost connections.
#[rstest]
#[case::status_000("HTTP/1.1 000 x\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_099("HTTP/1.1 099 x\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_600("HTTP/1.1 600 x\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_999("HTTP/1.1 999 x\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_600_not_run("HTTP/1.1 600 x\r\ncontent-length: 0\r\nfireflylug-not-run: 1\r\n\r\n")]
#[case::switches_protocols("HTTP/1.1 101 Switching Protocols\r\n\r\n")]
#[case::two_digits("HTTP/1.1 20 x\r\n\r\n")]
#[case::four_digits("HTTP/1.1 2000 x\r\n\r\n")]
#[case::no_status("HTTP/1.1 OK\r\n\r\n")]
#[case::no_http("220 smtp ready\r\n\r\n")]
#[case::bad_header("HTTP/1.1 200 OK\r\nno header\r\n\r\n")]
#[case::bad_length("HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n")]
#[tokio::test]
async fn an_invalid_head_is_a_wrong_answer(
    #[case] answer: &'static str,
    #[values(0, 1)] ingress: usize,
) {
    let refusal = answer_to_a_payment(answer, ingress).await;

    assert!(refusal.starts_with("HTTP/1.1 502"), "{refusal}");
    assert!(refusal.contains("fireflylug-error: wrong-answer"), "{refusal}");
    assert!(refusal.contains("fireflylug-outcome: unknown"), "{refusal}");
}

// Guards against an informational response that is taken for the answer.
#[rstest]
#[case::continues("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::early_hints("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n")]
#[tokio::test]
async fn an_informational_response_alone_is_no_answer(#[case] answer: &'static str) {
    let refusal = answer_to_a_payment(answer, 0).await;

    assert!(refusal.starts_with("HTTP/1.1 502"), "{refusal}");
    assert!(refusal.contains("fireflylug-outcome: unknown"), "{refusal}");
}

// Guards against a check that refuses answers with unusual, but valid statuses.
#[rstest]
#[case::unknown_success("HTTP/1.1 299 x\r\ncontent-length: 2\r\n\r\nok", "HTTP/1.1 299")]
#[case::unknown_server_error("HTTP/1.1 599 x\r\ncontent-length: 2\r\n\r\nok", "HTTP/1.1 599")]
#[tokio::test]
async fn a_valid_status_is_passed_on(#[case] answer: &'static str, #[case] status: &str) {
    let passed_on = answer_to_a_payment(answer, 0).await;

    assert!(passed_on.starts_with(status) && passed_on.ends_with("ok"), "{passed_on}");
}

/// Sends a call that may not run twice to a target with the given answer.
async fn answer_to_a_payment(answer: &'static str, ingress: usize) -> String {
    let mesh = mesh(&[raw_target(answer).await]).await;
    let request = "POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    exchange(mesh.calls(ingress), request).await
}
