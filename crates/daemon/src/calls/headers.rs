//! Headers that the mesh adds to and removes from requests and responses.
//!
//! | header | from, to | value |
//! |---|---|---|
//! | `fireflylug-outcome` | mesh to caller | `ran`, `not-run` or `unknown` |
//! | `fireflylug-error` | mesh to caller | code of a response that the mesh generated |
//! | `fireflylug-chain` | mesh to target, target to mesh | opaque: targets copy it to calls that they make on behalf of this one |
//! | `fireflylug-deadline-ms` | caller to mesh, mesh to target | remaining time, in milliseconds |
//! | `fireflylug-caller-service` | mesh to target | service of the caller |
//! | `fireflylug-organisation` | mesh to target | name of the caller's organisation |
//! | `fireflylug-target` | mesh to target | id of the target that the call is for |
//! | `fireflylug-not-run` | target to mesh | the target did not run the call |
//! | `fireflylug-rate-limit` | target to mesh | calls per second that the target accepts from all proxies together |
//! | `fireflylug-leaving` | target to mesh | 1: the target is leaving and accepts no new calls |
//! | `fireflylug-forward` | ingress to owner | parameters of the forwarded call |
//! | `fireflylug-identity` | ingress to owner | organisation of the caller; digest of its key, version in which it was found, 1 if it is required |
//! | `fireflylug-sent` | ingress to owner | `clock.time`: id of the ingress's clock and its time in microseconds |
//! | `fireflylug-key` | ingress to owner | shared key, in hexadecimal |
//! | `fireflylug-load` | owner to ingress | `in_flight.queued.wait_ms.held_ms` of target and call; under a rate limit then `.usable_slots.interval_us`; with an observed capacity then `;usable_slots.hold_us` |
//! | `fireflylug-target-load` | target to mesh | running calls, waiting calls, slots and, optionally, how long work takes at this moment in percent of the usual time, separated by commas |

use compact_str::CompactString;
use fireflylug_core::ids::{Name, TargetId, Version};
use fireflylug_core::organisation::{KeyDigest, VerifiedKey};
use fireflylug_core::routing::{
    CallClass, CapacityReport, Chain, ClockId, ForwardHead, Outcome, RateLimit, RateReport,
    RefusalCode, TargetLoad, TargetNotice,
};
use http::Uri;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use super::CallDialect;
use super::boot_clock::SentStamp;
use crate::SharedKey;

/// Outcome of a call.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("fireflylug-outcome");
/// Code of a response that the mesh generated.
pub(super) const ERROR: HeaderName = HeaderName::from_static("fireflylug-error");
/// Calls that led to this one.
pub(super) const CHAIN: HeaderName = HeaderName::from_static("fireflylug-chain");
const FORWARD: HeaderName = HeaderName::from_static("fireflylug-forward");
const IDENTITY: HeaderName = HeaderName::from_static("fireflylug-identity");
const SENT: HeaderName = HeaderName::from_static("fireflylug-sent");
const KEY: HeaderName = HeaderName::from_static("fireflylug-key");
const LOAD: HeaderName = HeaderName::from_static("fireflylug-load");
const MESH_HEADER_PREFIX: &str = "fireflylug-";

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers and every header of the mesh.
pub(super) fn strip(headers: &mut HeaderMap) {
    strip_named_by_connection(headers);
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    let is_mesh_header = |name: &&HeaderName| name.as_str().starts_with(MESH_HEADER_PREFIX);
    let mesh_headers: Vec<HeaderName> = headers.keys().filter(is_mesh_header).cloned().collect();
    for name in mesh_headers {
        headers.remove(name);
    }
}

fn strip_named_by_connection(headers: &mut HeaderMap) {
    if !headers.contains_key(header::CONNECTION) {
        return;
    }
    let values = headers.get_all(header::CONNECTION).iter();
    let names: Vec<HeaderName> = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Host of a request in lower case, without port.
pub(super) fn host(uri: &Uri, headers: &HeaderMap) -> CompactString {
    let of_header = || headers.get(header::HOST)?.to_str().ok();
    let authority = uri.authority().map(|a| a.as_str()).or_else(of_header).unwrap_or("");
    let host = match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|b| b.is_ascii_digit()) => host,
        _ => authority,
    };
    let mut host = CompactString::from(host);
    host.make_ascii_lowercase();
    host
}

/// Adds the headers of a request to a target.
pub(super) fn add_for_target(
    headers: &mut HeaderMap,
    dialect: &CallDialect,
    chain: &Chain,
    target: &TargetId,
) {
    if dialect.has_mesh_headers {
        headers.insert(CHAIN, value(chain));
    }
    if let Some(remaining_ms) = chain.remaining_ms {
        headers.insert(&dialect.deadline_ms, HeaderValue::from(remaining_ms));
    }
    headers.insert(&dialect.expected_target, value(&target.id));
}

/// Deadline that the caller set for its call, as remaining time in milliseconds.
pub(super) fn caller_deadline_ms(headers: &HeaderMap, dialect: &CallDialect) -> Option<u32> {
    let text = headers.get(&dialect.deadline_ms)?.to_str().ok()?;
    let ms: f64 = text.trim().parse().ok()?;
    // The cast saturates at the bounds of `u32`.
    (ms.is_finite() && ms >= 0.0).then_some(ms as u32)
}

/// Adds the headers of a request that is forwarded to the owner of a target.
pub(super) fn add_for_owner(
    headers: &mut HeaderMap,
    chain: &Chain,
    head: &ForwardHead,
    sent: SentStamp,
    key: Option<&HeaderValue>,
) {
    headers.insert(CHAIN, value(chain));
    let ForwardHead {
        target,
        remaining_ms,
        max_queued,
        is_repeatable,
        priority,
        useful_ms,
        class,
        is_bulk,
        rate_limit,
        organisation,
        key: organisation_key,
    } = head;
    let (repeatable, bulk) = (u8::from(*is_repeatable), u8::from(*is_bulk));
    let text = format!(
        "{target} {remaining_ms} {max_queued} {repeatable} {priority} {useful_ms} {} {bulk}",
        class.0
    );
    let text = match rate_limit {
        Some(limit) => format!("{text} {}", limit.interval_us()),
        None => text,
    };
    headers.insert(FORWARD, value(text));
    if let Some(organisation) = organisation {
        headers.insert(IDENTITY, value(identity_text(organisation, *organisation_key)));
    }
    headers.insert(SENT, value(format_args!("{:x}.{}", sent.clock.0, sent.sent_us)));
    if let Some(key) = key {
        headers.insert(KEY, key.clone());
    }
}

fn identity_text(organisation: &Name, key: Option<VerifiedKey>) -> String {
    match key {
        Some(VerifiedKey { digest, version, is_required }) => {
            format!("{organisation} {digest} {version} {}", u8::from(is_required))
        }
        None => organisation.to_string(),
    }
}

/// Parses the organisation that an ingress determined: `None` if it is malformed.
fn identity(headers: &HeaderMap) -> Option<(Option<Name>, Option<VerifiedKey>)> {
    let Some(value) = headers.get(IDENTITY) else { return Some((None, None)) };
    let mut fields = value.to_str().ok()?.split(' ');
    let organisation = Name::new(fields.next()?).ok()?;
    let key = match fields.next() {
        None => None,
        Some(digest) => Some(VerifiedKey {
            digest: KeyDigest::from_hex(digest)?,
            version: Version(fields.next()?.parse().ok()?),
            is_required: fields.next()? == "1",
        }),
    };
    Some((Some(organisation), key))
}

/// Returns the shared key as a header value.
pub(super) fn key_value(key: &SharedKey) -> HeaderValue {
    let hex: String = key.as_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
    let mut value = HeaderValue::from_str(&hex).expect("hexadecimal digits are visible ASCII");
    value.set_sensitive(true);
    value
}

/// Whether the request carries the shared key. Always true without a configured key.
pub(super) fn has_valid_key(headers: &HeaderMap, key: Option<&SharedKey>) -> bool {
    let Some(key) = key else { return true };
    headers.get(KEY).and_then(|value| decode_hex(value.as_bytes())).is_some_and(|k| key.matches(&k))
}

fn decode_hex(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |byte: u8| (byte as char).to_digit(16).map(|d| d as u8);
    if !text.len().is_multiple_of(2) {
        return None;
    }
    text.chunks(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()
}

/// Parses the parameters of a call that was forwarded to this owner.
pub(super) fn forward_head(headers: &HeaderMap) -> Option<ForwardHead> {
    let text = headers.get(FORWARD)?.to_str().ok()?;
    let mut fields = text.split(' ');
    let (service, id) = fields.next()?.split_once('/')?;
    let (organisation, key) = identity(headers)?;
    Some(ForwardHead {
        target: TargetId { service: Name::new(service).ok()?, id: Name::new(id).ok()? },
        remaining_ms: fields.next()?.parse().ok()?,
        max_queued: fields.next()?.parse().ok()?,
        is_repeatable: fields.next()? == "1",
        priority: fields.next()?.parse().ok()?,
        useful_ms: fields.next()?.parse().ok()?,
        class: CallClass(fields.next()?.parse().ok()?),
        is_bulk: fields.next()? == "1",
        rate_limit: fields.next().and_then(interval),
        organisation,
        key,
    })
}

/// Parses a rate limit, given as the interval between two calls in microseconds.
fn interval(text: &str) -> Option<RateLimit> {
    text.parse().ok().map(RateLimit::from_interval_us)
}

/// Parses the time at which the ingress sent a forwarded call; `None` if absent or malformed.
pub(super) fn sent_stamp(headers: &HeaderMap) -> Option<SentStamp> {
    let (clock, sent_us) = headers.get(SENT)?.to_str().ok()?.split_once('.')?;
    let clock = ClockId(u64::from_str_radix(clock, 16).ok()?);
    Some(SentStamp { clock, sent_us: sent_us.parse().ok()? })
}

/// Parses the calls that led to this one: an empty chain if the header is absent, `None` if it
/// is malformed.
pub(super) fn chain(headers: &HeaderMap) -> Option<Chain> {
    match headers.get(CHAIN) {
        None => Some(Chain::default()),
        Some(value) => value.to_str().ok()?.parse().ok(),
    }
}

/// Adds the load of a target to an owner's response.
pub(super) fn add_load(headers: &mut HeaderMap, load: TargetLoad) {
    let TargetLoad { in_flight, queued, wait_ms, rate, held_ms, capacity } = load;
    let text = format!("{in_flight}.{queued}.{wait_ms}.{held_ms}");
    let text = match rate {
        Some(RateReport { limit, usable_slots }) => {
            format!("{text}.{usable_slots}.{}", limit.interval_us())
        }
        None => text,
    };
    let text = match capacity {
        Some(CapacityReport { usable_slots, hold_us }) => {
            format!("{text};{usable_slots}.{hold_us}")
        }
        None => text,
    };
    headers.insert(LOAD, value(text));
}

/// Parses the load of a target from its owner's response.
fn load(headers: &HeaderMap) -> Option<TargetLoad> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let (text, capacity) = match text.split_once(';') {
        Some((text, capacity)) => (text, capacity_report(capacity)),
        None => (text, None),
    };
    let mut fields = text.split('.');
    Some(TargetLoad {
        in_flight: fields.next()?.parse().ok()?,
        queued: fields.next()?.parse().ok()?,
        wait_ms: fields.next()?.parse().ok()?,
        held_ms: fields.next()?.parse().ok()?,
        rate: rate_report(fields),
        capacity,
    })
}

fn capacity_report(text: &str) -> Option<CapacityReport> {
    let (usable_slots, hold_us) = text.split_once('.')?;
    Some(CapacityReport {
        usable_slots: usable_slots.parse().ok()?,
        hold_us: hold_us.parse().ok()?,
    })
}

fn rate_report<'a>(mut fields: impl Iterator<Item = &'a str>) -> Option<RateReport> {
    let usable_slots = fields.next()?.parse().ok()?;
    Some(RateReport { limit: interval(fields.next()?)?, usable_slots })
}

/// Parses what a response of a target says about it. The load is measured by its owner, so a
/// target cannot state it.
pub(super) fn target_notice(headers: &HeaderMap, dialect: &CallDialect) -> TargetNotice {
    TargetNotice {
        load: None,
        rate_limit: rate_limit(headers, dialect),
        pace_percent: pace_percent(headers, dialect),
        is_leaving: dialect.is_leaving(headers),
        has_ended: false,
    }
}

/// Parses what a response of an owner says about the target.
pub(super) fn owner_notice(headers: &HeaderMap) -> TargetNotice {
    TargetNotice { load: load(headers), ..TargetNotice::default() }
}

/// Parses the rate limit that a target states; `None` if absent or malformed.
fn rate_limit(headers: &HeaderMap, dialect: &CallDialect) -> Option<RateLimit> {
    let text = headers.get(&dialect.rate_limit)?.to_str().ok()?;
    RateLimit::per_second(text.trim().parse().ok()?)
}

/// Parses the fourth figure of the load that a target states; `None` if absent or malformed.
fn pace_percent(headers: &HeaderMap, dialect: &CallDialect) -> Option<u32> {
    let text = headers.get(&dialect.target_load)?.to_str().ok()?;
    let percent: f64 = text.split(',').nth(3)?.trim().parse().ok()?;
    // The cast saturates at the bounds of `u32`.
    (percent.is_finite() && percent > 0.0).then_some(percent as u32)
}

/// Parses the refusal in an owner's response.
pub(super) fn refusal(headers: &HeaderMap) -> Option<(RefusalCode, Outcome)> {
    let code = headers.get(ERROR)?.to_str().ok()?.parse().ok()?;
    let outcome = headers.get(OUTCOME)?.to_str().ok()?.parse().ok()?;
    Some((code, outcome))
}

/// Returns the outcome as a header value.
pub(super) fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(outcome.into())
}

fn value(text: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::from_str(&text.to_string()).expect("the text is visible ASCII")
}
