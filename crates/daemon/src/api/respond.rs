//! Makes HTTP of the reducer's answers.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use fireflylug_core::api::{ApiError, ApiRequest, ApiResponse, ErrorCode};
use futures_util::stream::{Stream, unfold};
use serde::Serialize;
use serde_json::json;

use super::answers::AnswerStream;
use super::server::ApiContext;

/// Time after which a watch without events sends an empty line, so that both
/// ends notice a connection that is gone.
const WATCH_KEEP_ALIVE: Duration = Duration::from_secs(5);

const JSON: &str = "application/json";
const JSON_LINES: &str = "application/x-ndjson";
const PLAIN: &str = "text/plain; version=0.0.4; charset=utf-8";

/// An HTTP answer.
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

/// Body of an answer.
pub(super) enum ReplyBody {
    /// Complete.
    Whole(Bytes),
    /// The events of a watch, after the first one.
    Watch(ApiResponse, AnswerStream),
}

/// Asks the reducer and makes HTTP of its answer.
pub(super) async fn ask(context: &ApiContext, request: ApiRequest) -> Reply {
    let watch = matches!(request, ApiRequest::Watch { .. });
    let change = matches!(request, ApiRequest::Change(_));
    let mut answers = context.answers.ask(&context.runtime, request);
    match answers.next().await {
        None => error(&stopping(change)),
        Some(ApiResponse::Error(failure)) => error(&failure),
        Some(first) if watch => Reply {
            status: 200,
            content_type: JSON_LINES,
            version: None,
            body: ReplyBody::Watch(first, answers),
        },
        Some(response) => whole(&response),
    }
}

/// The error for a request that the end of the process left without an answer.
fn stopping(change: bool) -> ApiError {
    if change {
        let message = "the process is stopping and the change may have been accepted; \
                       resend it to another process with the same Idempotency-Key";
        return ApiError::new(ErrorCode::OutcomeUnknown, message);
    }
    ApiError::new(ErrorCode::Unavailable, "the process is stopping; ask another one")
}

/// An answer that is complete.
fn whole(response: &ApiResponse) -> Reply {
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

/// An error: `{"error": {...}}`.
pub(super) fn error(error: &ApiError) -> Reply {
    json_reply(error.code.http_status(), &json!({ "error": error }))
}

/// Plain text.
pub(super) fn text(status: u16, text: &str) -> Reply {
    let body = ReplyBody::Whole(Bytes::copy_from_slice(text.as_bytes()));
    Reply { status, content_type: PLAIN, version: None, body }
}

/// Whether the process may be given calls.
pub(super) fn ready(context: &ApiContext) -> Reply {
    let (ready, stopping) =
        context.runtime.inspect(|state| (state.distribution().is_ready(), state.is_stopping()));
    match (ready, stopping) {
        (true, false) => text(200, "ready\n"),
        (_, true) => text(503, "stopping\n"),
        (false, false) => text(503, "no configuration that is new enough is held yet\n"),
    }
}

/// The lines of a watch.
pub(super) fn watch_lines(
    first: ApiResponse,
    answers: AnswerStream,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let waiting = VecDeque::from([first]);
    unfold((waiting, answers), |(mut waiting, mut answers)| async move {
        let response = match waiting.pop_front() {
            Some(first) => Some(first),
            None => match tokio::time::timeout(WATCH_KEEP_ALIVE, answers.next()).await {
                Ok(response) => Some(response?),
                Err(_) => None,
            },
        };
        let line = response.map_or_else(|| Bytes::from_static(b"\n"), |response| line(&response));
        Some((Ok(line), (waiting, answers)))
    })
}

fn line(response: &ApiResponse) -> Bytes {
    let mut text = match response {
        ApiResponse::Error(error) => to_json(&json!({ "error": error })),
        ApiResponse::Watch(event) => to_json(event),
        // A watch is given nothing else.
        _ => Vec::new(),
    };
    text.push(b'\n');
    text.into()
}

fn json_reply(status: u16, value: &impl Serialize) -> Reply {
    let mut text = to_json(value);
    text.push(b'\n');
    Reply { status, content_type: JSON, version: None, body: ReplyBody::Whole(text.into()) }
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("answers have text keys only")
}
