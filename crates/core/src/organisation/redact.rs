//! Replaces keys by their digests, for every process that needs no keys as text, and removes
//! them from error messages.

use std::sync::Arc;

use super::key::ApiKey;
use super::resource::Organisation;
use crate::config::{Configuration, StoredResource};
use crate::resource::{Resource, ResourceKind};

/// Returns the configuration with each key replaced by its digest.
///
/// `previous` is an earlier redacted version. Its organisations are reused where they have not
/// changed, so that a small change does not compute every digest again.
pub fn redact(configuration: &Arc<Configuration>, previous: &Configuration) -> Arc<Configuration> {
    if configuration.organisations().next().is_none() {
        return Arc::clone(configuration);
    }
    let mut resources = configuration.resources().clone();
    for (key, stored) in &mut resources {
        if key.kind != ResourceKind::Organisation {
            continue;
        }
        stored.resource = match previous.get(key) {
            Some(earlier) if earlier.version == stored.version => Arc::clone(&earlier.resource),
            _ => redacted_resource(stored).resource,
        };
    }
    Arc::new(Configuration::new(configuration.version(), resources))
}

/// Returns a resource with each key replaced by its digest.
pub fn redacted_resource(stored: &StoredResource) -> StoredResource {
    let Resource::Organisation(organisation) = &*stored.resource else { return stored.clone() };
    let keys = organisation.keys.iter().map(|key| ApiKey::Digest(key.digest())).collect();
    let organisation = Organisation { keys, ..organisation.clone() };
    let resource = Arc::new(Resource::Organisation(organisation));
    StoredResource { version: stored.version, resource }
}

/// Returns the message of a deserialization error without the values that it quotes. A value in
/// the wrong place of a malformed document may be a key.
pub fn message_without_values(message: &str) -> String {
    if message.starts_with("missing field") || message.starts_with("duplicate field") {
        return message.to_owned();
    }
    // Values are quoted at the start: `invalid type: string "x", expected u8`.
    let (is_quoted, rest) = match message.rsplit_once('"') {
        Some((_, rest)) => (true, rest),
        None => (false, message),
    };
    match rest.rsplit_once(", expected ") {
        Some((_, expected)) => format!("expected {expected}"),
        None if is_quoted => format!("the value{rest}"),
        None if rest.contains('`') => "the value is invalid".to_owned(),
        None => rest.to_owned(),
    }
}
