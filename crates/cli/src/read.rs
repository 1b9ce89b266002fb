//! Commands `get` and `status`.

use fireflylug_core::api::{ReplicaReport, StatusReport};
use fireflylug_core::config::StoredResource;
use fireflylug_core::ids::Name;
use fireflylug_core::resource::ResourceKind;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tabled::Tabled;

use crate::args::{Get, Output};
use crate::client::Client;
use crate::{CliError, output};

/// Returns the API path of a resource kind, or of one resource.
pub fn path(kind: ResourceKind, name: Option<&Name>) -> String {
    let plural = match kind {
        ResourceKind::Service => "services",
        ResourceKind::Route => "routes",
        ResourceKind::Policy => "policies",
        ResourceKind::Limits => "limits",
        ResourceKind::Release => "releases",
        ResourceKind::Organisation => "organisations",
    };
    match name {
        Some(name) => format!("/v1/{plural}/{name}"),
        None => format!("/v1/{plural}"),
    }
}

#[derive(Tabled)]
struct ResourceRow {
    kind: String,
    name: String,
    version: u64,
    fields: String,
}

/// Prints one resource, or all resources of a kind.
pub async fn get(client: &mut Client, get: &Get, format: Output) -> Result<(), CliError> {
    let stale = if get.stale { "?stale=true" } else { "" };
    let response = client.read(&format!("{}{stale}", path(get.kind, get.name.as_ref()))).await?;
    if format == Output::Json {
        return output::json(&response);
    }
    let resources: Vec<StoredResource> = match &get.name {
        Some(_) => vec![decode(response)?],
        None => decode(response["resources"].clone())?,
    };
    let rows: Result<Vec<ResourceRow>, CliError> = resources.iter().map(resource_row).collect();
    output::table(&rows?)
}

fn resource_row(stored: &StoredResource) -> Result<ResourceRow, CliError> {
    let key = stored.resource.key();
    let value = serde_json::to_value(&*stored.resource);
    let mut value = value.map_err(|error| CliError::Failed(error.to_string()))?;
    if let Some(fields) = value.as_object_mut() {
        fields.remove("kind");
        fields.remove("name");
    }
    Ok(ResourceRow {
        kind: key.kind.to_string(),
        name: key.name.to_string(),
        version: stored.version.0,
        fields: fields_text(&value),
    })
}

fn fields_text(value: &Value) -> String {
    let fields = value.as_object().into_iter().flatten();
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    fields.join("\n")
}

#[derive(Tabled)]
struct ZoneRow {
    availability_zone: String,
    alive: u32,
    suspect: u32,
    leaving: u32,
    dead: u32,
    unreachable: String,
}

#[derive(Tabled)]
struct TargetRow {
    service: String,
    ready: u32,
    draining: u32,
    gone: u32,
    slots: u32,
}

/// Prints the status of the mesh.
pub async fn status(client: &mut Client, format: Output) -> Result<(), CliError> {
    let response = client.read("/v1/status").await?;
    if format == Output::Json {
        return output::json(&response);
    }
    let status: StatusReport = decode(response)?;
    output::line(&format!(
        "{} in {} ({}): version {}, {}",
        status.host,
        status.availability_zone,
        status.region,
        status.version,
        if status.ready { "ready" } else { "not ready" }
    ))?;
    if let Some(since_unix_ms) = status.cut_off_since_unix_ms {
        output::line(&format!(
            "cut off from every control replica since Unix time {} s",
            since_unix_ms / 1_000
        ))?;
    }
    if let Some(control) = &status.control {
        print_replica(control)?;
    }
    for replica in &status.control_replicas {
        output::line(&format!("reachable control replica: {} at {}", replica.host, replica.api))?;
    }
    output::table(&zone_rows(&status))?;
    output::table(&target_rows(&status))
}

fn print_replica(replica: &ReplicaReport) -> Result<(), CliError> {
    output::line(&format!(
        "control replica: {} in term {}, leader {}, committed version {}, voters {}",
        replica.role,
        replica.term,
        replica.leader.as_deref().unwrap_or("unknown"),
        replica.committed,
        replica.voters.join(" ")
    ))?;
    if let Some(not_current_ms) = replica.not_current_for_ms {
        output::line(&format!(
            "NOT CURRENT: no contact with a quorum for {} s",
            not_current_ms / 1_000
        ))?;
    }
    Ok(())
}

fn zone_rows(status: &StatusReport) -> Vec<ZoneRow> {
    let row = |zone: &fireflylug_core::api::ZoneMembers| {
        let hosts: Vec<&str> = zone.unreachable.iter().map(Name::as_str).collect();
        let cut_off = if zone.cut_off { " (cut off)" } else { "" };
        ZoneRow {
            availability_zone: format!("{}{cut_off}", zone.availability_zone),
            alive: zone.alive,
            suspect: zone.suspect,
            leaving: zone.leaving,
            dead: zone.dead,
            unreachable: hosts.join(" "),
        }
    };
    status.members.iter().map(row).collect()
}

fn target_rows(status: &StatusReport) -> Vec<TargetRow> {
    let row = |counts: &fireflylug_core::api::TargetCounts| TargetRow {
        service: counts.service.to_string(),
        ready: counts.ready,
        draining: counts.draining,
        gone: counts.gone,
        slots: counts.slots,
    };
    status.targets.iter().map(row).collect()
}

pub fn decode<T: DeserializeOwned>(value: Value) -> Result<T, CliError> {
    serde_json::from_value(value)
        .map_err(|error| CliError::Failed(format!("the response is malformed: {error}")))
}
