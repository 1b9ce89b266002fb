//! Parsing of change sets and resources from JSON. Reports all errors with their places.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{ChangeSet, Finding, FindingCode, Operation};
use crate::ids::Version;
use crate::organisation::message_without_values;
use crate::resource::{
    Limits, Organisation, Policy, Release, Resource, ResourceKey, ResourceKind, Route, Service,
};

/// Maximum number of findings reported for one object.
const MAX_FINDINGS: usize = 32;

/// Parses a resource whose kind and name are known. The object may omit both; if present, they
/// must match.
///
/// # Errors
///
/// Every mistake with its place.
pub fn parse_resource(
    key: &ResourceKey,
    mut object: Map<String, Value>,
) -> Result<Resource, Vec<Finding>> {
    let mut findings = Vec::new();
    check_matches_path(&mut object, "kind", <&str>::from(key.kind), &mut findings);
    check_matches_path(&mut object, "name", key.name.as_str(), &mut findings);
    object.insert("name".to_owned(), Value::from(key.name.as_str()));
    let resource = typed_resource(key.kind, object, "", &mut findings);
    resource.filter(|_| findings.is_empty()).ok_or(findings)
}

/// Parses a change set: `{"operations": [...]}`.
///
/// # Errors
///
/// Every mistake with its place.
pub fn parse_change_set(mut object: Map<String, Value>) -> Result<ChangeSet, Vec<Finding>> {
    let mut findings = Vec::new();
    let listed = object.remove("operations");
    unknown_fields(&object, "", "operations", &mut findings);
    let Some(Value::Array(listed)) = listed else {
        let message = "give a list of operations";
        findings.push(Finding::new(FindingCode::Malformed, "operations", message));
        return Err(findings);
    };
    let mut operations = Vec::new();
    for (index, value) in listed.into_iter().enumerate() {
        operations.extend(operation(value, &format!("operations[{index}]"), &mut findings));
    }
    if findings.is_empty() { Ok(ChangeSet { operations }) } else { Err(findings) }
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
pub fn deserialize_object<T: DeserializeOwned>(
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
