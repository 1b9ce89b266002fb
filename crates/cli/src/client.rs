//! Speaks to the resource API: tries its addresses in turn.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use fireflylug_core::api::{ApiError, ErrorCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::Value;

use crate::CliError;

/// Time for a connection to be made.
const CONNECT_LIMIT: Duration = Duration::from_secs(3);
/// Time for the whole of an answer, or for the head of a watch.
const ANSWER_LIMIT: Duration = Duration::from_secs(15);
/// Most addresses that answers may add.
const MAX_ADDRESSES: usize = 16;

/// A client that tries the addresses of resource APIs in turn.
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    authorization: Option<String>,
    /// The address that answered last.
    preferred: usize,
}

/// A request to the resource API.
#[derive(Clone, Debug)]
pub struct ApiCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Idempotency key of a change.
    pub key: Option<String>,
    /// Version that the resource must be at.
    pub if_version: Option<u64>,
    /// Body.
    pub body: Option<Value>,
}

impl ApiCall {
    /// A read.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), key: None, if_version: None, body: None }
    }
}

/// Why one address gave no answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// Sent, but no whole answer came.
    NoAnswer(String),
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ApiError,
}

impl Client {
    /// Makes a client that presents the key of `key_file`, where given.
    pub fn new(addresses: Vec<SocketAddr>, key_file: Option<&Path>) -> Result<Self, CliError> {
        let authorization = key_file.map(authorization).transpose()?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        let http = HttpClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self { http, addresses, authorization, preferred: 0 })
    }

    /// Reads from the first address that answers.
    pub async fn read(&mut self, path: &str) -> Result<Value, CliError> {
        let call = ApiCall::get(path);
        let mut failures = Vec::new();
        let mut tried = 0;
        while tried < self.addresses.len() {
            tried += 1;
            let failure = match self.ask(&call).await {
                Ok(Err(error)) if error.code == ErrorCode::Unavailable => error.to_string(),
                Ok(Err(error)) if error.code == ErrorCode::Misdirected => {
                    self.learn(&error.addresses);
                    error.to_string()
                }
                Ok(answer) => return answer.map_err(CliError::Refused),
                Err(failure) => failure.to_string(),
            };
            failures.push(format!("{}: {failure}", self.address()));
            self.next_address();
        }
        Err(CliError::Unreachable(failures.join("; ")))
    }

    /// Sends a request to the present address and reads the whole answer.
    pub async fn ask(&self, call: &ApiCall) -> Result<Result<Value, ApiError>, Failure> {
        let answered = tokio::time::timeout(ANSWER_LIMIT, async {
            let response = self.send(call).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| Failure::NoAnswer(error.to_string()))?.to_bytes();
            Ok((status, body))
        });
        let (status, body) = answered.await.map_err(|_| Failure::late())??;
        decode(status, &body)
    }

    /// Opens a watch at the first control replica that serves it.
    pub async fn open_watch(&mut self, path: &str) -> Result<Incoming, CliError> {
        let call = ApiCall::get(path);
        let mut failures = Vec::new();
        let mut tried = 0;
        while tried < self.addresses.len() {
            tried += 1;
            let failure = match self.open(&call).await {
                Ok(Ok(body)) => return Ok(body),
                Ok(Err(error)) if error.code == ErrorCode::Misdirected => {
                    self.learn(&error.addresses);
                    error.to_string()
                }
                Ok(Err(error)) if error.code == ErrorCode::Unavailable => error.to_string(),
                Ok(Err(error)) => return Err(CliError::Refused(error)),
                Err(failure) => failure.to_string(),
            };
            failures.push(format!("{}: {failure}", self.address()));
            self.next_address();
        }
        Err(CliError::Unreachable(failures.join("; ")))
    }

    /// The present address.
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.preferred]
    }

    /// Goes on to the next address.
    pub fn next_address(&mut self) {
        self.preferred = (self.preferred + 1) % self.addresses.len();
    }

    /// How many addresses there are.
    pub fn address_count(&self) -> usize {
        self.addresses.len()
    }

    async fn open(&self, call: &ApiCall) -> Result<Result<Incoming, ApiError>, Failure> {
        let response = tokio::time::timeout(ANSWER_LIMIT, self.send(call))
            .await
            .map_err(|_| Failure::late())??;
        if response.status() == StatusCode::OK {
            return Ok(Ok(response.into_body()));
        }
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Failure::NoAnswer(error.to_string()))?.to_bytes();
        decode(status, &body).map(|answer| answer.and_then(|_| Err(unexpected(status))))
    }

    async fn send(&self, call: &ApiCall) -> Result<Response<Incoming>, Failure> {
        let mut request = Request::builder().method(call.method.clone()).uri(format!(
            "http://{}{}",
            self.address(),
            call.path
        ));
        if let Some(authorization) = &self.authorization {
            request = request.header("authorization", authorization);
        }
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(version) = call.if_version {
            request = request.header("if-match", version);
        }
        let body = call.body.as_ref().map(Value::to_string).unwrap_or_default();
        let request = request
            .body(Full::from(body))
            .map_err(|error| Failure::NotSent(format!("the request is not in form: {error}")))?;
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                Failure::NotSent("cannot connect".to_owned())
            } else {
                Failure::NoAnswer(format!("the connection broke: {error}"))
            }
        })
    }

    fn learn(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.addresses.len() < MAX_ADDRESSES && !self.addresses.contains(address) {
                self.addresses.push(*address);
            }
        }
    }
}

impl Failure {
    fn late() -> Self {
        Self::NoAnswer(format!("no answer within {} s", ANSWER_LIMIT.as_secs()))
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (Self::NotSent(text) | Self::NoAnswer(text)) = self;
        f.write_str(text)
    }
}

fn decode(status: StatusCode, body: &[u8]) -> Result<Result<Value, ApiError>, Failure> {
    if status.is_success() {
        let value = serde_json::from_slice(body);
        return value
            .map(Ok)
            .map_err(|error| Failure::NoAnswer(format!("the answer is not JSON: {error}")));
    }
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => Ok(Err(body.error)),
        Err(_) => Ok(Err(unexpected(status))),
    }
}

fn unexpected(status: StatusCode) -> ApiError {
    ApiError::new(ErrorCode::Malformed, format!("unexpected answer with HTTP status {status}"))
}

fn authorization(key_file: &Path) -> Result<String, CliError> {
    let key = std::fs::read_to_string(key_file).map_err(|error| {
        CliError::Input(format!("--key-file {}: cannot be read: {error}", key_file.display()))
    })?;
    Ok(format!("Bearer {}", key.trim()))
}
