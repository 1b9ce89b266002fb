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

/// A client that keeps connections open. Clones share them.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// The body as text, with replacements where it is not UTF-8.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header as text; empty where it is absent.
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
    /// Makes a client that never retries on its own.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self { client: builder.build(connector) }
    }

    /// Sends a request, such as `"POST /v1/changes"`, and reads the whole answer.
    ///
    /// Fails where no whole answer arrives.
    pub async fn send(
        &self,
        address: SocketAddr,
        line: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> io::Result<Answer> {
        let response = self.start(address, line, headers, body.into()).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(Answer { status: head.status, headers: head.headers, body })
    }

    /// Sends a request without a body and reads the answer line by line.
    pub async fn lines(&self, address: SocketAddr, line: &str) -> io::Result<Lines> {
        self.lines_with(address, line, &[]).await
    }

    /// Sends a request with headers and without a body, and reads the answer line by line.
    pub async fn lines_with(
        &self,
        address: SocketAddr,
        line: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<Lines> {
        let response = self.start(address, line, headers, Bytes::new()).await?;
        let status = response.status();
        Ok(Lines { status, body: response.into_body(), buffer: BytesMut::new() })
    }

    async fn start(
        &self,
        address: SocketAddr,
        line: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> io::Result<Response<Incoming>> {
        let (method, path) = line.split_once(' ').unwrap_or(("GET", line));
        let method = Method::from_str(method).map_err(io::Error::other)?;
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(io::Error::other)?;
        self.client.request(request).await.map_err(io::Error::other)
    }
}

/// An answer that is read line by line.
#[derive(Debug)]
pub struct Lines {
    /// Status.
    pub status: StatusCode,
    body: Incoming,
    buffer: BytesMut,
}

impl Lines {
    /// The next whole line without its end, empty ones left out; none where the answer ended.
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
