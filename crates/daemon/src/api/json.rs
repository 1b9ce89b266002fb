//! Parsing of JSON bodies. Reports all errors with their places.

use fireflylug_core::api::{ApiError, ApiRequest, ErrorCode};
use fireflylug_core::config::{ChangeSet, Finding, FindingCode, Operation};
use fireflylug_core::ids::{Name, TargetId, Version};
use fireflylug_core::membership::{MAX_LEASE_MS, TargetAnnouncement};
use fireflylug_core::organisation::message_without_values;
use fireflylug_core::resource::{
    Limits, Organisation, Policy, Release, Resource, ResourceKey, ResourceKind, Route, Service,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Maximum number of findings reported for one object.
const MAX_FINDINGS: usize = 32;

/// Parses the resource that a path names. The body may omit kind and name; if present,
/// they must match the path.
pub fn resource(body: &[u8], key: &ResourceKey) -> Result<Resource, ApiError> {
    let mut object = parse_object(body)?;
    let mut findings = Vec::new();
    check_matches_path(&mut object, "kind", <&str>::from(key.kind), &mut findings);
    check_matches_path(&mut object, "name", key.name.as_str(), &mut findings);
    object.insert("name".to_owned(), Value::from(key.name.as_str()));
    let resource = typed_resource(key.kind, object, "", &mut findings);
    into_result(resource, findings)
}

/// Parses a change set: `{"operations": [...]}`.
pub fn change_set(body: &[u8]) -> Result<ChangeSet, ApiError> {
    let mut object = parse_object(body)?;
    let mut findings = Vec::new();
    let listed = object.remove("operations");
    unknown_fields(&object, "", "operations", &mut findings);
    let Some(Value::Array(listed)) = listed else {
        findings.push(Finding::new(
            FindingCode::Malformed,
            "operations",
            "give a list of operations",
        ));
        return into_result(None, findings);
    };
    let mut operations = Vec::new();
    for (index, value) in listed.into_iter().enumerate() {
        operations.extend(operation(value, &format!("operations[{index}]"), &mut findings));
    }
    into_result(Some(ChangeSet { operations }), findings)
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

/// Parses one operation. `resource` is a complete resource for a put, and kind and name
/// for a delete.
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
            let resource: ResourceKey = deserialize_object(resource, &resource_place, findings)?;
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
            "use service, route, policy, limits or organisation",
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
        ResourceKind::Service => {
            deserialize_object::<Service>(object, place, findings).map(Resource::Service)
        }
        ResourceKind::Route => {
            deserialize_object::<Route>(object, place, findings).map(Resource::Route)
        }
        ResourceKind::Policy => {
            deserialize_object::<Policy>(object, place, findings).map(Resource::Policy)
        }
        ResourceKind::Limits => {
            deserialize_object::<Limits>(object, place, findings).map(Resource::Limits)
        }
        ResourceKind::Release => {
            deserialize_object::<Release>(object, place, findings).map(Resource::Release)
        }
        ResourceKind::Organisation => {
            organisation(object, place, findings).map(Resource::Organisation)
        }
    }
}

/// Deserializes an organisation. The findings contain no value of the object and no unknown
/// field: any of them may be a key.
fn organisation(
    object: Map<String, Value>,
    place: &str,
    findings: &mut Vec<Finding>,
) -> Option<Organisation> {
    let mut own = Vec::new();
    let organisation = deserialize_object(object, "", &mut own);
    findings.extend(own.into_iter().map(|finding| {
        let field = ORGANISATION_FIELDS.into_iter().find(|field| {
            let rest = finding.place.strip_prefix(field);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('['))
        });
        let path = if field.is_some() { finding.place.as_str() } else { "" };
        Finding::new(finding.code, join(place, path), message_without_values(&finding.message))
    }));
    organisation
}

const ORGANISATION_FIELDS: [&str; 5] = ["name", "keys", "priority", "rate_per_s", "burst"];

/// Deserializes an object into `T`. Each invalid field is reported and removed, and the
/// object is deserialized again, so that all invalid fields are found.
fn deserialize_object<T: DeserializeOwned>(
    mut object: Map<String, Value>,
    place: &str,
    findings: &mut Vec<Finding>,
) -> Option<T> {
    let previous_count = findings.len();
    while findings.len() - previous_count < MAX_FINDINGS {
        let error = match serde_path_to_error::deserialize(&Value::Object(object.clone())) {
            Ok(value) => return (findings.len() == previous_count).then_some(value),
            Err(error) => error,
        };
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let field = path.split(['.', '[']).next().unwrap_or_default().to_owned();
        // A missing field that was removed above is not reported again.
        let is_missing = object.remove(&field).is_none();
        if is_missing && findings.len() > previous_count {
            return None;
        }
        findings.push(Finding::new(FindingCode::Malformed, join(place, &path), message));
        if is_missing {
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

/// Removes `field` and reports it if its value is not `expected`.
fn check_matches_path(
    object: &mut Map<String, Value>,
    field: &str,
    expected: &str,
    findings: &mut Vec<Finding>,
) {
    if object.remove(field).is_some_and(|value| value != expected) {
        let message = format!("the path says {expected:?}; say the same or leave it out");
        findings.push(Finding::new(FindingCode::OutOfRange, field, message));
    }
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
        _ => Err(ApiError::new(
            ErrorCode::Malformed,
            format!("the body has {} findings; nothing was changed", findings.len()),
        )
        .with_findings(findings)),
    }
}
