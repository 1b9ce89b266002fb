//! Content of a call, by which it is recognised when it comes again.

use fireflylug_core::routing::Fingerprint;
use http::request::Parts;

use super::body::BodySource;

/// Computes the fingerprint of a request, which is the same at every proxy. It covers the
/// start of the body that is buffered.
pub(super) fn fingerprint(host: &str, parts: &Parts, body: &BodySource) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let path = parts.uri.path_and_query().map_or(parts.uri.path(), |path| path.as_str());
    for text in [host, parts.method.as_str(), path] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    for chunk in body.buffered_start() {
        hasher.update(chunk);
    }
    let hash = hasher.finalize();
    let (first, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    Fingerprint(u64::from_le_bytes(*first))
}
