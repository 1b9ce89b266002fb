//! HTTP client of the resource API that tries its addresses in turn.

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

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a complete response, or for the response head of a watch.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of addresses, including those added by responses.
const MAX_ADDRESSES: usize = 16;

/// A client that tries the addresses of resource APIs in turn.
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    authorization: Option<String>,
    /// Index of the address in use.
    current: usize,
}

/// A request to the resource API.
#[derive(Clone, Debug)]
pub struct ApiCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Idempotency key of a change.
    pub key: Option<String>,
    /// Version that the resource must have.
    pub if_version: Option<u64>,
    /// JSON body.
    pub body: Option<Value>,
}

impl ApiCall {
    /// Creates a read request.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), key: None, if_version: None, body: None }
    }
}

/// Why one address returned no response.
#[derive(Debug)]
pub enum Failure {
    /// The request was not sent.
    NotSent(String),
    /// The request was sent, but no complete response was received.
    NoResponse(String),
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ApiError,
}

impl Client {
    /// Creates a client that authenticates with the key of `key_file`, if given.
    pub fn new(addresses: Vec<SocketAddr>, key_file: Option<&Path>) -> Result<Self, CliError> {
        let authorization = key_file.map(authorization).transpose()?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = HttpClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self { http, addresses, authorization, current: 0 })
    }

    /// Reads from the first address that responds.
    pub async fn read(&mut self, path: &str) -> Result<Value, CliError> {
        let call = ApiCall::get(path);
        let mut failures = Vec::new();
        let mut tried = 0;
        while tried < self.addresses.len() {
            tried += 1;
            let failure = match self.request(&call).await {
                Ok(Err(error)) if error.code == ErrorCode::Unavailable => error.to_string(),
                Ok(Err(error)) if error.code == ErrorCode::Misdirected => {
                    self.add_addresses(&error.addresses);
                    error.to_string()
                }
                Ok(response) => return response.map_err(CliError::Refused),
                Err(failure) => failure.to_string(),
            };
            failures.push(format!("{}: {failure}", self.address()));
            self.next_address();
        }
        Err(CliError::Unreachable(failures.join("; ")))
    }

    /// Sends a request to the current address and reads the complete response.
    pub async fn request(&self, call: &ApiCall) -> Result<Result<Value, ApiError>, Failure> {
        let exchange = tokio::time::timeout(RESPONSE_TIMEOUT, async {
            let response = self.send(call).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| Failure::NoResponse(error.to_string()))?.to_bytes();
            Ok((status, body))
        });
        let (status, body) = exchange.await.map_err(|_| Failure::timed_out())??;
        decode_response(status, &body)
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
                    self.add_addresses(&error.addresses);
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

    /// Returns the current address.
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.current]
    }

    /// Switches to the next address.
    pub fn next_address(&mut self) {
        self.current = (self.current + 1) % self.addresses.len();
    }

    /// Returns the number of addresses.
    pub fn address_count(&self) -> usize {
        self.addresses.len()
    }

    async fn open(&self, call: &ApiCall) -> Result<Result<Incoming, ApiError>, Failure> {
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.send(call))
            .await
            .map_err(|_| Failure::timed_out())??;
        if response.status() == StatusCode::OK {
            return Ok(Ok(response.into_body()));
        }
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Failure::NoResponse(error.to_string()))?.to_bytes();
        decode_response(status, &body)
            .map(|response| response.and_then(|_| Err(unexpected_status(status))))
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
            .map_err(|error| Failure::NotSent(format!("the request is invalid: {error}")))?;
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                Failure::NotSent("cannot connect".to_owned())
            } else {
                Failure::NoResponse(format!("the connection failed: {error}"))
            }
        })
    }

    fn add_addresses(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.addresses.len() < MAX_ADDRESSES && !self.addresses.contains(address) {
                self.addresses.push(*address);
            }
        }
    }
}

impl Failure {
    fn timed_out() -> Self {
        Self::NoResponse(format!("no response within {} s", RESPONSE_TIMEOUT.as_secs()))
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (Self::NotSent(text) | Self::NoResponse(text)) = self;
        f.write_str(text)
    }
}

fn decode_response(status: StatusCode, body: &[u8]) -> Result<Result<Value, ApiError>, Failure> {
    if status.is_success() {
        let value = serde_json::from_slice(body);
        return value
            .map(Ok)
            .map_err(|error| Failure::NoResponse(format!("the response is not JSON: {error}")));
    }
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => Ok(Err(body.error)),
        Err(_) => Ok(Err(unexpected_status(status))),
    }
}

fn unexpected_status(status: StatusCode) -> ApiError {
    ApiError::new(ErrorCode::Malformed, format!("unexpected response with HTTP status {status}"))
}

fn authorization(key_file: &Path) -> Result<String, CliError> {
    let key = std::fs::read_to_string(key_file).map_err(|error| {
        CliError::Input(format!("--key-file {}: cannot be read: {error}", key_file.display()))
    })?;
    Ok(format!("Bearer {}", key.trim()))
}
