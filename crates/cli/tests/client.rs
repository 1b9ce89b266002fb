//! The client against a resource API that loses responses.

use std::net::SocketAddr;

use fireflylug_cli::client::{ApiCall, Client, Failure};
use fireflylug_cli::{CliError, ExitStatus, send_change};
use hyper::Method;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const ACCEPTED: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 13\r\nconnection: close\r\n\r\n{\"version\":7}";
const CONFLICT: &str = "HTTP/1.1 409 Conflict\r\nconnection: close\r\ncontent-length: 52\r\n\r\n\
     {\"error\":{\"code\":\"conflict\",\"message\":\"it changed\"}}";
/// The connection is closed without a response.
const LOST: &str = "";

/// Starts a resource API that returns the next of `responses` to each request. The
/// task returns the idempotency keys of the requests.
async fn api(responses: Vec<&'static str>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = tokio::spawn(async move {
        let mut keys = Vec::new();
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = vec![0; 4096];
            let read = stream.read(&mut head).await.unwrap();
            let head = String::from_utf8_lossy(&head[..read]).to_lowercase();
            let key = head.lines().find_map(|line| line.strip_prefix("idempotency-key: "));
            keys.push(key.unwrap_or_default().to_owned());
            stream.write_all(response.as_bytes()).await.unwrap();
        }
        keys
    });
    (address, served)
}

/// Returns an address without a listener.
async fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

fn change() -> ApiCall {
    ApiCall {
        method: Method::POST,
        path: "/v1/changes".to_owned(),
        key: Some("key-1".to_owned()),
        if_version: None,
        body: Some(json!({"operations": []})),
    }
}

#[rstest]
#[tokio::test]
async fn change_is_resent_under_its_key_after_a_lost_answer() {
    let (address, served) = api(vec![LOST, ACCEPTED]).await;
    let mut client = Client::new(vec![address], None).unwrap();

    let response = send_change(&mut client, &change()).await;

    assert_eq!(response.unwrap()["version"], json!(7));
    assert_eq!(served.await.unwrap(), ["key-1", "key-1"]);
}

#[rstest]
#[tokio::test]
async fn change_whose_answers_are_all_lost_is_unknown_and_names_its_key() {
    let (address, _served) = api(vec![LOST, LOST, LOST]).await;
    let mut client = Client::new(vec![address], None).unwrap();

    let error = send_change(&mut client, &change()).await.unwrap_err();

    assert_eq!(error.exit_status(), ExitStatus::Unknown);
    assert!(error.to_string().contains("--key key-1"), "{error}");
}

#[rstest]
#[tokio::test]
async fn refused_change_is_not_sent_again() {
    let (address, served) = api(vec![CONFLICT]).await;
    let mut client = Client::new(vec![address], None).unwrap();

    let error = send_change(&mut client, &change()).await.unwrap_err();

    assert!(matches!(&error, CliError::Refused(error) if error.message == "it changed"), "{error}");
    assert_eq!(served.await.unwrap().len(), 1);
}

#[rstest]
#[tokio::test]
async fn address_without_a_listener_is_skipped() {
    let (address, _served) = api(vec![ACCEPTED]).await;
    let mut client = Client::new(vec![unused_address().await, address], None).unwrap();

    let response = send_change(&mut client, &change()).await;

    assert_eq!(response.unwrap()["version"], json!(7));
}

#[rstest]
#[tokio::test]
async fn unreachable_address_is_not_an_unknown_outcome() {
    let mut client = Client::new(vec![unused_address().await], None).unwrap();

    let failure = client.request(&change()).await.unwrap_err();
    let error = send_change(&mut client, &change()).await.unwrap_err();

    assert!(matches!(failure, Failure::NotSent(_)), "{failure}");
    assert_eq!(error.exit_status(), ExitStatus::Unreachable);
}
