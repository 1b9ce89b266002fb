//! Resource API, announcements, metrics and health over HTTP.
//!
//! [`parse`] validates a request into a [`fireflylug_core::api::ApiRequest`], the
//! reducer responds through [`PendingRequests`], and `respond` converts the response
//! to HTTP. [`ApiServer`] serves them through xitca-web.

mod json;
mod parse;
mod pending_requests;
mod requests;
mod respond;
mod server;

pub use parse::{MAX_BODY_BYTES, Parsed, RequestHead, parse};
pub use pending_requests::{MAX_QUEUED_RESPONSES, PendingRequests, ResponseStream};
pub use requests::Requests;
pub use server::ApiServer;
