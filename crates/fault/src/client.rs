//! A small HTTP client for tests and measurements.

use std::io;
use std::net::SocketAddr;
use std::str::FromStr;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// An HTTP client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response whose body was read completely.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the body as text. Invalid UTF-8 is replaced by U+FFFD.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns a header as text, or an empty string if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client that never retries automatically.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self { client: builder.build(connector) }
    }

    /// Sends a request, such as `"POST /v1/changes"`, and reads the complete response.
    ///
    /// Returns an error if no complete response arrives.
    pub async fn send(
        &self,
        address: SocketAddr,
        request_line: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> io::Result<HttpResponse> {
        let response = self.send_request(address, request_line, headers, body.into()).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(HttpResponse { status: head.status, headers: head.headers, body })
    }

    /// Sends a request without a body and returns the response as a stream of lines.
    pub async fn lines(&self, address: SocketAddr, request_line: &str) -> io::Result<Lines> {
        self.lines_with(address, request_line, &[]).await
    }

    /// Sends a request with headers and without a body, and returns the response as a stream of
    /// lines.
    pub async fn lines_with(
        &self,
        address: SocketAddr,
        request_line: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<Lines> {
        let response = self.send_request(address, request_line, headers, Bytes::new()).await?;
        let status = response.status();
        Ok(Lines { status, body: response.into_body(), buffer: BytesMut::new() })
    }

    async fn send_request(
        &self,
        address: SocketAddr,
        request_line: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> io::Result<Response<Incoming>> {
        let (method, path) = request_line.split_once(' ').unwrap_or(("GET", request_line));
        let method = Method::from_str(method).map_err(io::Error::other)?;
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(io::Error::other)?;
        self.client.request(request).await.map_err(io::Error::other)
    }
}

/// A response body that is read line by line.
#[derive(Debug)]
pub struct Lines {
    /// HTTP status.
    pub status: StatusCode,
    body: Incoming,
    buffer: BytesMut,
}

impl Lines {
    /// Returns the next complete line without its line end. Skips empty lines. Returns `None` at
    /// the end of the response or if reading fails.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                if line.is_empty() {
                    continue;
                }
                return Some(String::from_utf8_lossy(&line).into_owned());
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
