//! Parsing of HTTP requests into requests to the reducer.

use fireflylug_core::api::{ApiError, ApiRequest, ErrorCode, Freshness};
use fireflylug_core::config::{ChangeRequest, ChangeSet, Finding, FindingCode, Operation};
use fireflylug_core::ids::{IdempotencyKey, Name, TargetId, Version};
use fireflylug_core::resource::{ResourceKey, ResourceKind};
use xitca_web::http::{HeaderMap, Method, Uri};

use super::json;

/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Relevant parts of a request head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty when absent.
    pub query: String,
    headers: HeaderMap,
}

/// Endpoint that a path names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `/healthz`.
    Health,
    /// `/readyz`.
    Ready,
    /// `/metrics`.
    Metrics,
    /// `/v1/status`.
    Status,
    /// `/v1/burn`.
    Burn,
    /// `/v1/watch`.
    Watch,
    /// `/v1/changes`.
    Changes,
    /// `/v1/voters`.
    Voters,
    /// `/v1/{kind}s`.
    List(ResourceKind),
    /// `/v1/{kind}s/{name}`.
    Resource(ResourceKey),
    /// `/v1/targets/{service}/{id}`.
    Target(TargetId),
}

/// A valid request.
#[derive(Clone, Debug)]
pub enum Parsed {
    /// Request to the reducer.
    Reducer(ApiRequest),
    /// Request for the metrics of this process.
    Metrics,
    /// Liveness check of this process.
    Health,
    /// Readiness check of this process.
    Ready,
}

impl RequestHead {
    /// Extracts the relevant parts of a head.
    pub fn new(method: Method, uri: &Uri, headers: &HeaderMap) -> Self {
        Self {
            method,
            path: uri.path().to_owned(),
            query: uri.query().unwrap_or_default().to_owned(),
            headers: headers.clone(),
        }
    }

    /// Returns the key that the client presents in `Authorization: Bearer KEY`.
    pub fn bearer(&self) -> Option<&[u8]> {
        self.headers.get("authorization")?.as_bytes().strip_prefix(b"Bearer ")
    }

    fn header(&self, name: &'static str) -> Result<Option<&str>, ApiError> {
        let Some(value) = self.headers.get(name) else {
            return Ok(None);
        };
        let text = value.to_str().map_err(|_| malformed(name, "use visible ASCII characters"))?;
        Ok(Some(text.trim()))
    }

    fn query_value(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| match pair.split_once('=') {
            Some((key, value)) if key == name => Some(value),
            None if pair == name => Some(""),
            _ => None,
        })
    }
}

impl Endpoint {
    /// Returns the endpoint of a path. The error for an unknown path lists the known ones.
    pub fn of_path(path: &str) -> Result<Self, ApiError> {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match segments.as_slice() {
            ["healthz"] => Ok(Self::Health),
            ["readyz"] => Ok(Self::Ready),
            ["metrics"] => Ok(Self::Metrics),
            ["v1", "status"] => Ok(Self::Status),
            ["v1", "burn"] => Ok(Self::Burn),
            ["v1", "watch"] => Ok(Self::Watch),
            ["v1", "changes"] => Ok(Self::Changes),
            ["v1", "voters"] => Ok(Self::Voters),
            ["v1", "targets", service, id] => {
                Ok(Self::Target(TargetId { service: name(service)?, id: name(id)? }))
            }
            ["v1", plural] => kind(plural).map(Self::List).ok_or_else(|| unknown_path(path)),
            ["v1", plural, given] => match kind(plural) {
                Some(kind) => Ok(Self::Resource(ResourceKey { kind, name: name(given)? })),
                None => Err(unknown_path(path)),
            },
            _ => Err(unknown_path(path)),
        }
    }

    /// Whether the endpoint is accessible without the shared key.
    pub fn is_public(&self) -> bool {
        matches!(self, Self::Health | Self::Ready)
    }

    /// Whether the endpoint reports on this process alone. Such endpoints also respond during
    /// a graceful shutdown.
    pub fn is_about_process(&self) -> bool {
        matches!(self, Self::Health | Self::Ready | Self::Metrics)
    }

    /// Returns the allowed methods of the endpoint.
    pub fn methods(&self) -> &'static str {
        match self {
            Self::Changes | Self::Voters => "POST",
            Self::Resource(_) => "GET, PUT, DELETE",
            Self::Target(_) => "PUT, DELETE",
            _ => "GET",
        }
    }
}

/// Validates a request. `body` is the complete body.
pub fn parse(head: &RequestHead, endpoint: &Endpoint, body: &[u8]) -> Result<Parsed, ApiError> {
    let request = match (endpoint, &head.method) {
        (Endpoint::Health, &Method::GET) => return Ok(Parsed::Health),
        (Endpoint::Ready, &Method::GET) => return Ok(Parsed::Ready),
        (Endpoint::Metrics, &Method::GET) => return Ok(Parsed::Metrics),
        (Endpoint::Status, &Method::GET) => ApiRequest::Status,
        (Endpoint::Burn, &Method::GET) => ApiRequest::Burn,
        (Endpoint::Watch, &Method::GET) => ApiRequest::Watch { from: watch_from(head)? },
        (Endpoint::List(kind), &Method::GET) => ApiRequest::List(*kind, freshness(head)),
        (Endpoint::Resource(key), &Method::GET) => ApiRequest::Get(key.clone(), freshness(head)),
        (Endpoint::Resource(key), &Method::PUT) => {
            let resource = json::resource(body, key)?;
            change(head, vec![Operation::Put { resource, if_version: if_version(head)? }])?
        }
        (Endpoint::Resource(key), &Method::DELETE) => {
            let resource = key.clone();
            change(head, vec![Operation::Delete { resource, if_version: if_version(head)? }])?
        }
        (Endpoint::Changes, &Method::POST) => change(head, json::change_set(body)?.operations)?,
        (Endpoint::Voters, &Method::POST) => json::replace_voter(body)?,
        (Endpoint::Target(target), &Method::PUT) => {
            ApiRequest::Announce(json::announcement(body, target)?)
        }
        (Endpoint::Target(target), &Method::DELETE) => ApiRequest::Leave(target.clone()),
        _ => return Err(method_not_allowed(head, endpoint)),
    };
    Ok(Parsed::Reducer(request))
}

fn change(head: &RequestHead, operations: Vec<Operation>) -> Result<ApiRequest, ApiError> {
    let key = head.header("idempotency-key")?.map(IdempotencyKey::new).transpose();
    let key = key.map_err(|error| malformed("Idempotency-Key", &error.to_string()))?;
    Ok(ApiRequest::Change(ChangeRequest { key, changes: ChangeSet { operations } }))
}

/// Returns the required version of a resource from `If-Match: 7`, or from
/// `If-None-Match: *` (equivalent to `If-Match: 0`) if the resource must not exist.
fn if_version(head: &RequestHead) -> Result<Option<Version>, ApiError> {
    if let Some(text) = head.header("if-match")? {
        return version(text).map(Some).ok_or_else(|| {
            malformed("If-Match", "give the version of the resource, such as 7 or \"7\"")
        });
    }
    match head.header("if-none-match")? {
        None => Ok(None),
        Some("*") => Ok(Some(Version(0))),
        Some(_) => Err(malformed("If-None-Match", "only * is known: the resource must not exist")),
    }
}

fn watch_from(head: &RequestHead) -> Result<Option<Version>, ApiError> {
    let Some(text) = head.query_value("from") else {
        return Ok(None);
    };
    let from = version(text);
    from.map(Some).ok_or_else(|| malformed("query.from", "give the last version seen, such as 7"))
}

fn version(text: &str) -> Option<Version> {
    let digits = text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(text);
    digits.parse().ok().map(Version)
}

fn freshness(head: &RequestHead) -> Freshness {
    match head.query_value("stale") {
        Some("" | "true") => Freshness::Stale,
        _ => Freshness::Linearizable,
    }
}

fn kind(plural: &str) -> Option<ResourceKind> {
    match plural {
        "services" => Some(ResourceKind::Service),
        "routes" => Some(ResourceKind::Route),
        "policies" => Some(ResourceKind::Policy),
        "limits" => Some(ResourceKind::Limits),
        "releases" => Some(ResourceKind::Release),
        "organisations" => Some(ResourceKind::Organisation),
        _ => None,
    }
}

fn name(text: &str) -> Result<Name, ApiError> {
    Name::new(text).map_err(|error| malformed("path", &error.to_string()))
}

fn malformed(place: &str, message: &str) -> ApiError {
    let finding = Finding::new(FindingCode::OutOfRange, place, message);
    ApiError::new(ErrorCode::Malformed, format!("the request is malformed at {place}"))
        .with_findings(vec![finding])
}

fn unknown_path(path: &str) -> ApiError {
    let shown: String = path.chars().take(MAX_SHOWN_PATH_CHARS).collect();
    ApiError::new(
        ErrorCode::NotFound,
        format!(
            "path {shown:?} is not known; use /v1/services, /v1/routes, /v1/policies, \
             /v1/organisations, \
             /v1/changes, /v1/voters, /v1/targets/SERVICE/ID, /v1/watch, /v1/status, /v1/burn, \
             /metrics, /healthz or /readyz"
        ),
    )
}

/// Maximum length of an unknown path in an error message, in characters.
const MAX_SHOWN_PATH_CHARS: usize = 200;

fn method_not_allowed(head: &RequestHead, endpoint: &Endpoint) -> ApiError {
    ApiError::new(
        ErrorCode::MethodNotAllowed,
        format!(
            "method {} is not supported at {}; use {}",
            head.method,
            head.path,
            endpoint.methods()
        ),
    )
}
