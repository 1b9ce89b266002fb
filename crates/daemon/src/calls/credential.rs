//! Headers that identify the organisation of a caller.

use fireflylug_core::organisation::{Credential, IdentityHeaders, KeyDigest, is_token68};
use http::header::{self, HeaderMap, HeaderValue};

use super::CallDialect;

/// Parses the credential of a caller: one header `Authorization: SCHEME KEY`.
pub(super) fn credential(headers: &HeaderMap, dialect: &CallDialect) -> Credential {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    match (values.next(), values.next()) {
        (None, _) => Credential::Absent,
        (Some(value), None) => key(value, dialect)
            .map_or(Credential::Malformed, |key| Credential::Key(KeyDigest::of(key))),
        (Some(_), Some(_)) => Credential::Malformed,
    }
}

fn key<'a>(value: &'a HeaderValue, dialect: &CallDialect) -> Option<&'a str> {
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    let key = key.trim_matches(' ');
    (scheme.eq_ignore_ascii_case(&dialect.key_scheme) && is_token68(key)).then_some(key)
}

/// Removes or replaces the headers that identify the organisation.
pub(super) fn replace_identity(
    headers: &mut HeaderMap,
    dialect: &CallDialect,
    identity: &IdentityHeaders,
) {
    let IdentityHeaders::Replaced(organisation) = identity else { return };
    headers.remove(header::AUTHORIZATION);
    headers.remove(&dialect.organisation);
    if let Some(name) = organisation {
        let name = HeaderValue::from_str(name.as_str()).expect("a name is visible ASCII");
        headers.insert(&dialect.organisation, name);
    }
}
