//! Parsing of JSON bodies. Reports all errors with their places.

use fireflylug_core::api::{ApiError, ApiRequest, ErrorCode};
use fireflylug_core::config::{
    ChangeSet, Finding, FindingCode, deserialize_object, parse_change_set, parse_resource,
};
use fireflylug_core::ids::{Name, TargetId};
use fireflylug_core::membership::{MAX_LEASE_MS, TargetAnnouncement};
use fireflylug_core::resource::{Resource, ResourceKey};
use serde::Deserialize;
use serde_json::{Map, Value};

/// Parses the resource that a path names. The body may omit kind and name; if present,
/// they must match the path.
pub fn resource(body: &[u8], key: &ResourceKey) -> Result<Resource, ApiError> {
    parse_resource(key, parse_object(body)?).map_err(with_findings)
}

/// Parses a change set: `{"operations": [...]}`.
pub fn change_set(body: &[u8]) -> Result<ChangeSet, ApiError> {
    parse_change_set(parse_object(body)?).map_err(with_findings)
}

/// Parses a target's announcement. Service and id come from the path.
pub fn announcement(body: &[u8], target: &TargetId) -> Result<TargetAnnouncement, ApiError> {
    let mut findings = Vec::new();
    let body: Option<AnnouncementBody> = deserialize_object(parse_object(body)?, "", &mut findings);
    let announcement = body.map(|body| TargetAnnouncement {
        target: target.clone(),
        address: body.address,
        slots: body.slots,
        connections: body.connections,
        lease_ms: body.lease_ms,
        load_percent: body.load_percent,
        draining: body.draining,
        cold_ms: 0,
        order: None,
    });
    if let Some(announcement) = &announcement {
        check_announcement(announcement, &mut findings);
    }
    into_result(announcement, findings)
}

/// Parses a replacement of a voter: `{"old": HOST, "new": HOST}`.
pub fn replace_voter(body: &[u8]) -> Result<ApiRequest, ApiError> {
    let mut findings = Vec::new();
    let body: Option<VotersBody> = deserialize_object(parse_object(body)?, "", &mut findings);
    into_result(
        body.map(|body| ApiRequest::ReplaceVoter { old: body.old, new: body.new }),
        findings,
    )
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VotersBody {
    old: Name,
    new: Name,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnouncementBody {
    address: std::net::SocketAddr,
    slots: u32,
    connections: u32,
    lease_ms: u32,
    #[serde(default)]
    load_percent: Option<u8>,
    #[serde(default)]
    draining: bool,
}

fn check_announcement(announcement: &TargetAnnouncement, findings: &mut Vec<Finding>) {
    let mut check = |is_valid: bool, place: &str, message: &str| {
        if !is_valid {
            findings.push(Finding::new(FindingCode::OutOfRange, place, message));
        }
    };
    check(announcement.slots > 0, "slots", "a target runs at least 1 call at once");
    check(announcement.connections > 0, "connections", "a target takes at least 1 connection");
    let lease = format!("use 1 to {MAX_LEASE_MS} milliseconds");
    check((1..=MAX_LEASE_MS).contains(&announcement.lease_ms), "lease_ms", &lease);
    check(announcement.address.port() != 0, "address", "give the port of the target");
}

fn parse_object(body: &[u8]) -> Result<Map<String, Value>, ApiError> {
    let parsed: Result<Value, _> = serde_json::from_slice(body);
    match parsed {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => Err(invalid_json("body", "give one JSON object")),
        Err(error) => {
            let place = format!("body line {} column {}", error.line(), error.column());
            Err(invalid_json(&place, &error.to_string()))
        }
    }
}

fn invalid_json(place: &str, message: &str) -> ApiError {
    ApiError::new(ErrorCode::Malformed, "the body is not the JSON that is expected here")
        .with_findings(vec![Finding::new(FindingCode::Malformed, place, message)])
}

fn into_result<T>(value: Option<T>, findings: Vec<Finding>) -> Result<T, ApiError> {
    match value {
        Some(value) if findings.is_empty() => Ok(value),
        _ => Err(with_findings(findings)),
    }
}

fn with_findings(findings: Vec<Finding>) -> ApiError {
    let message = format!("the body has {} findings; nothing was changed", findings.len());
    ApiError::new(ErrorCode::Malformed, message).with_findings(findings)
}
