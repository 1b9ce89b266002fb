//! Content of a call, by which it is recognised when it comes again.

use fireflylug_core::routing::Fingerprint;
use http::HeaderValue;
use http::request::Parts;

use super::body::BodySource;

/// Computes the fingerprint of a request, which is the same at every proxy. It covers the
/// service of the caller, since a target may serve one caller and end at another, and the start
/// of the body that is buffered.
pub(super) fn fingerprint(
    caller_service: Option<&HeaderValue>,
    host: &str,
    parts: &Parts,
    body: &BodySource,
) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let path = parts.uri.path_and_query().map_or(parts.uri.path(), |path| path.as_str());
    let caller_service = caller_service.map_or(&[][..], HeaderValue::as_bytes);
    for field in
        [caller_service, host.as_bytes(), parts.method.as_str().as_bytes(), path.as_bytes()]
    {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    for chunk in body.buffered_start() {
        hasher.update(chunk);
    }
    let hash = hasher.finalize();
    let (first, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    Fingerprint(u64::from_le_bytes(*first))
}
