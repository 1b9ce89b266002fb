//! Reads JSON bodies, and gathers every mistake with its place.

use fireflylug_core::api::{ApiError, ApiRequest, ErrorCode};
use fireflylug_core::config::{ChangeSet, Finding, FindingCode, Operation};
use fireflylug_core::ids::{Name, TargetId, Version};
use fireflylug_core::membership::{MAX_LEASE_MS, TargetAnnouncement};
use fireflylug_core::resource::{
    Limits, Policy, Release, Resource, ResourceKey, ResourceKind, Route, Service,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Most findings that are gathered from one object.
const MAX_FINDINGS: usize = 32;

/// Reads the resource that a path names. Kind and name may be left out of the
/// body; where given, they must be those of the path.
pub fn resource(body: &[u8], key: &ResourceKey) -> Result<Resource, ApiError> {
    let mut object = object(body)?;
    let mut findings = Vec::new();
    same(&mut object, "kind", <&str>::from(key.kind), &mut findings);
    same(&mut object, "name", key.name.as_str(), &mut findings);
    object.insert("name".to_owned(), Value::from(key.name.as_str()));
    let resource = typed_resource(key.kind, object, "", &mut findings);
    finish(resource, findings)
}

/// Reads a change set: `{"operations": [...]}`.
pub fn change_set(body: &[u8]) -> Result<ChangeSet, ApiError> {
    let mut object = object(body)?;
    let mut findings = Vec::new();
    let listed = object.remove("operations");
    unknown_fields(&object, "", "operations", &mut findings);
    let Some(Value::Array(listed)) = listed else {
        findings.push(Finding::new(
            FindingCode::Malformed,
            "operations",
            "give a list of operations",
        ));
        return finish(None, findings);
    };
    let mut operations = Vec::new();
    for (index, value) in listed.into_iter().enumerate() {
        operations.extend(operation(value, &format!("operations[{index}]"), &mut findings));
    }
    finish(Some(ChangeSet { operations }), findings)
}

/// Reads a target's announcement. Service and id come from the path.
pub fn announcement(body: &[u8], target: &TargetId) -> Result<TargetAnnouncement, ApiError> {
    let mut findings = Vec::new();
    let body: Option<AnnouncementBody> = typed(object(body)?, "", &mut findings);
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
    finish(announcement, findings)
}

/// Reads a change of the voters: `{"old": HOST, "new": HOST}`.
pub fn replace_voter(body: &[u8]) -> Result<ApiRequest, ApiError> {
    let mut findings = Vec::new();
    let body: Option<VotersBody> = typed(object(body)?, "", &mut findings);
    finish(body.map(|body| ApiRequest::ReplaceVoter { old: body.old, new: body.new }), findings)
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
    let mut check = |holds: bool, place: &str, message: &str| {
        if !holds {
            findings.push(Finding::new(FindingCode::OutOfRange, place, message));
        }
    };
    check(announcement.slots > 0, "slots", "a target runs at least 1 call at once");
    check(announcement.connections > 0, "connections", "a target takes at least 1 connection");
    let lease = format!("use 1 to {MAX_LEASE_MS} milliseconds");
    check((1..=MAX_LEASE_MS).contains(&announcement.lease_ms), "lease_ms", &lease);
    check(announcement.address.port() != 0, "address", "give the port of the target");
}

/// Reads one operation. `resource` of a put is a whole resource, of a delete
/// its kind and name.
fn operation(value: Value, place: &str, findings: &mut Vec<Finding>) -> Option<Operation> {
    let Value::Object(mut object) = value else {
        findings.push(Finding::new(FindingCode::Malformed, place, "an operation is an object"));
        return None;
    };
    let op = object.remove("op");
    let if_version = if_version(object.remove("if_version"), place, findings);
    let resource = object.remove("resource");
    unknown_fields(&object, place, "op, resource and if_version", findings);
    let resource_place = format!("{place}.resource");
    let Some(Value::Object(resource)) = resource else {
        findings.push(Finding::new(FindingCode::Malformed, resource_place, "give an object"));
        return None;
    };
    match op.as_ref().and_then(Value::as_str) {
        Some("put") => {
            let resource = tagged_resource(resource, &resource_place, findings)?;
            Some(Operation::Put { resource, if_version })
        }
        Some("delete") => {
            let resource: ResourceKey = typed(resource, &resource_place, findings)?;
            Some(Operation::Delete { resource, if_version })
        }
        _ => {
            let place = format!("{place}.op");
            findings.push(Finding::new(FindingCode::Malformed, place, "use put or delete"));
            None
        }
    }
}

fn if_version(value: Option<Value>, place: &str, findings: &mut Vec<Finding>) -> Option<Version> {
    let value = value.filter(|value| !value.is_null())?;
    let version = value.as_u64().map(Version);
    if version.is_none() {
        let place = format!("{place}.if_version");
        findings.push(Finding::new(FindingCode::Malformed, place, "give a version, such as 7"));
    }
    version
}

fn tagged_resource(
    mut object: Map<String, Value>,
    place: &str,
    findings: &mut Vec<Finding>,
) -> Option<Resource> {
    let kind = object.remove("kind");
    let kind = kind.as_ref().and_then(Value::as_str).and_then(|kind| kind.parse().ok());
    let Some(kind) = kind else {
        let place = format!("{place}.kind");
        findings.push(Finding::new(
            FindingCode::Malformed,
            place,
            "use service, route, policy or limits",
        ));
        return None;
    };
    typed_resource(kind, object, place, findings)
}

fn typed_resource(
    kind: ResourceKind,
    object: Map<String, Value>,
    place: &str,
    findings: &mut Vec<Finding>,
) -> Option<Resource> {
    match kind {
        ResourceKind::Service => typed::<Service>(object, place, findings).map(Resource::Service),
        ResourceKind::Route => typed::<Route>(object, place, findings).map(Resource::Route),
        ResourceKind::Policy => typed::<Policy>(object, place, findings).map(Resource::Policy),
        ResourceKind::Limits => typed::<Limits>(object, place, findings).map(Resource::Limits),
        ResourceKind::Release => typed::<Release>(object, place, findings).map(Resource::Release),
    }
}

/// Reads an object into `T`. Each field that is at fault is noted and left
/// out, so that one pass finds every faulty field.
fn typed<T: DeserializeOwned>(
    mut object: Map<String, Value>,
    place: &str,
    findings: &mut Vec<Finding>,
) -> Option<T> {
    let already = findings.len();
    while findings.len() - already < MAX_FINDINGS {
        let error = match serde_path_to_error::deserialize(&Value::Object(object.clone())) {
            Ok(value) => return (findings.len() == already).then_some(value),
            Err(error) => error,
        };
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let field = path.split(['.', '[']).next().unwrap_or_default().to_owned();
        // A missing field that was left out above is no second finding.
        let missing = object.remove(&field).is_none();
        if missing && findings.len() > already {
            return None;
        }
        findings.push(Finding::new(FindingCode::Malformed, join(place, &path), message));
        if missing {
            return None;
        }
    }
    None
}

fn join(place: &str, path: &str) -> String {
    match (place, path) {
        (place, "." | "") => place.to_owned(),
        ("", path) => path.to_owned(),
        (place, path) => format!("{place}.{path}"),
    }
}

fn unknown_fields(
    object: &Map<String, Value>,
    place: &str,
    known: &str,
    findings: &mut Vec<Finding>,
) {
    for field in object.keys().take(MAX_FINDINGS) {
        let message = format!("unknown field {field:?}; known: {known}");
        findings.push(Finding::new(FindingCode::Malformed, join(place, field), message));
    }
}

/// Removes `field` and notes it where it is not `expected`.
fn same(object: &mut Map<String, Value>, field: &str, expected: &str, findings: &mut Vec<Finding>) {
    if object.remove(field).is_some_and(|value| value != expected) {
        let message = format!("the path says {expected:?}; say the same or leave it out");
        findings.push(Finding::new(FindingCode::OutOfRange, field, message));
    }
}

fn object(body: &[u8]) -> Result<Map<String, Value>, ApiError> {
    let parsed: Result<Value, _> = serde_json::from_slice(body);
    match parsed {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => Err(not_json("body", "give one JSON object")),
        Err(error) => {
            let place = format!("body line {} column {}", error.line(), error.column());
            Err(not_json(&place, &error.to_string()))
        }
    }
}

fn not_json(place: &str, message: &str) -> ApiError {
    ApiError::new(ErrorCode::Malformed, "the body is not the JSON that is expected here")
        .with_findings(vec![Finding::new(FindingCode::Malformed, place, message)])
}

fn finish<T>(value: Option<T>, findings: Vec<Finding>) -> Result<T, ApiError> {
    match value {
        Some(value) if findings.is_empty() => Ok(value),
        _ => Err(ApiError::new(
            ErrorCode::Malformed,
            format!("the body has {} findings; nothing was changed", findings.len()),
        )
        .with_findings(findings)),
    }
}
