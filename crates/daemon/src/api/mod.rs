//! The resource API, announcements, metrics and health over HTTP.
//!
//! [`parse`] checks a request into an [`fireflylug_core::api::ApiRequest`],
//! the reducer answers it through [`Answers`], and `respond` makes HTTP of
//! the answer. [`ApiServer`] serves them through xitca-web.

mod answers;
mod json;
mod parse;
mod requests;
mod respond;
mod server;

pub use answers::{AnswerStream, Answers, MAX_WAITING_ANSWERS};
pub use parse::{MAX_BODY_BYTES, Parsed, RequestHead, parse};
pub use requests::Requests;
pub use server::ApiServer;
