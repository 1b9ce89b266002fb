//! Conversion of the reducer's responses to HTTP.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use fireflylug_core::api::{ApiError, ApiRequest, ApiResponse, ErrorCode};
use futures_util::stream::{Stream, unfold};
use serde::Serialize;
use serde_json::json;

use super::pending_requests::ResponseStream;
use super::server::ApiContext;

/// Interval of empty lines on a watch without events, so that both ends detect a lost
/// connection.
const WATCH_KEEP_ALIVE: Duration = Duration::from_secs(5);

const JSON: &str = "application/json";
const JSON_LINES: &str = "application/x-ndjson";
const PLAIN: &str = "text/plain; version=0.0.4; charset=utf-8";

/// An HTTP response.
pub(super) struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Version of the resource, for the `ETag` header.
    pub version: Option<u64>,
    /// Body.
    pub body: ReplyBody,
}

/// Body of a response.
pub(super) enum ReplyBody {
    /// A complete body.
    Complete(Bytes),
    /// First event of a watch and the stream of the following ones.
    Watch(ApiResponse, ResponseStream),
}

/// Submits a request to the reducer and converts its response to HTTP.
pub(super) async fn submit(context: &ApiContext, request: ApiRequest) -> Reply {
    let is_watch = matches!(request, ApiRequest::Watch { .. });
    let is_change = matches!(request, ApiRequest::Change(_));
    let mut responses = context.pending.submit(&context.runtime, request);
    match responses.next().await {
        None => error(&stopping_error(is_change)),
        Some(ApiResponse::Error(failure)) => error(&failure),
        Some(first) if is_watch => Reply {
            status: 200,
            content_type: JSON_LINES,
            version: None,
            body: ReplyBody::Watch(first, responses),
        },
        Some(response) => complete_reply(&response),
    }
}

/// Error for a request without a response because the process is stopping.
fn stopping_error(is_change: bool) -> ApiError {
    if is_change {
        let message = "the process is stopping and the change may have been accepted; \
                       resend it to another process with the same Idempotency-Key";
        return ApiError::new(ErrorCode::OutcomeUnknown, message);
    }
    ApiError::new(
        ErrorCode::Unavailable,
        "the process is stopping; send the request to another one",
    )
}

/// Converts a single response.
fn complete_reply(response: &ApiResponse) -> Reply {
    match response {
        ApiResponse::Accepted { version } => json_reply(200, &json!({ "version": version })),
        ApiResponse::Resource(stored) => {
            let mut reply = json_reply(200, stored);
            reply.version = Some(stored.version.0);
            reply
        }
        ApiResponse::List { version, resources } => {
            json_reply(200, &json!({ "version": version, "resources": resources }))
        }
        ApiResponse::Watch(event) => json_reply(200, event),
        ApiResponse::Status(status) => json_reply(200, status.as_ref()),
        ApiResponse::Burn(burn) => json_reply(200, burn),
        ApiResponse::Done => json_reply(200, &json!({})),
        ApiResponse::Error(failure) => error(failure),
    }
}

/// Converts an error: `{"error": {...}}`.
pub(super) fn error(error: &ApiError) -> Reply {
    json_reply(error.code.http_status(), &json!({ "error": error }))
}

/// Returns a plain-text reply.
pub(super) fn text(status: u16, text: &str) -> Reply {
    let body = ReplyBody::Complete(Bytes::copy_from_slice(text.as_bytes()));
    Reply { status, content_type: PLAIN, version: None, body }
}

/// Reports whether the process is ready for calls.
pub(super) fn ready(context: &ApiContext) -> Reply {
    let (ready, stopping) =
        context.runtime.inspect(|state| (state.distribution().is_ready(), state.is_stopping()));
    match (ready, stopping) {
        (true, false) => text(200, "ready\n"),
        (_, true) => text(503, "stopping\n"),
        (false, false) => text(503, "no sufficiently recent configuration yet\n"),
    }
}

/// Returns the lines of a watch.
pub(super) fn watch_lines(
    first: ApiResponse,
    responses: ResponseStream,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let queued = VecDeque::from([first]);
    unfold((queued, responses), |(mut queued, mut responses)| async move {
        let response = match queued.pop_front() {
            Some(first) => Some(first),
            None => match tokio::time::timeout(WATCH_KEEP_ALIVE, responses.next()).await {
                Ok(response) => Some(response?),
                Err(_) => None,
            },
        };
        let line = response.map_or_else(|| Bytes::from_static(b"\n"), |response| line(&response));
        Some((Ok(line), (queued, responses)))
    })
}

fn line(response: &ApiResponse) -> Bytes {
    let mut text = match response {
        ApiResponse::Error(error) => to_json(&json!({ "error": error })),
        ApiResponse::Watch(event) => to_json(event),
        // A watch receives no other responses.
        _ => Vec::new(),
    };
    text.push(b'\n');
    text.into()
}

fn json_reply(status: u16, value: &impl Serialize) -> Reply {
    let mut text = to_json(value);
    text.push(b'\n');
    Reply { status, content_type: JSON, version: None, body: ReplyBody::Complete(text.into()) }
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("answers have text keys only")
}
