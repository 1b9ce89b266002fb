//! `check`: reports mistakes in an input file before it is sent.

use std::collections::BTreeMap;
use std::sync::Arc;

use fireflylug_core::config::lint::{Difference, Report, check as check_changes};
use fireflylug_core::config::{
    ChangeSet, Configuration, Finding, Operation, StoredResource, parse_change_set,
};
use fireflylug_core::ids::Version;
use fireflylug_core::resource::ResourceKind;
use serde_json::{Value, json};
use strum::IntoEnumIterator;

use crate::args::{Against, Check, Output};
use crate::client::Client;
use crate::{CliError, input, output, read};

/// Attempts to read every kind of resource at one version.
const MAX_READS: u32 = 3;

/// Checks a file and prints the report.
pub async fn check(client: &mut Client, check: &Check, format: Output) -> Result<(), CliError> {
    let text = input::read(&check.file)?;
    let current = match &check.against {
        None => None,
        Some(Against::File(file)) => Some(configuration(file, &input::read(file)?)?),
        Some(Against::InForce) => Some(read_current(client).await?),
    };
    let report = report(&check.file, &text, current.as_ref())?;
    match format {
        Output::Json => output::json(&report)?,
        Output::Table => output::line(&report_text(&report))?,
    }
    match report.errors.len() {
        0 => Ok(()),
        errors => Err(CliError::CheckFailed { errors }),
    }
}

/// Checks the text of a file. Without `current`, the file counts as a complete configuration:
/// expected versions are ignored, and there are no differences.
pub fn report(file: &str, text: &str, current: Option<&Configuration>) -> Result<Report, CliError> {
    let changes = match parse(input::change_set(file, text, None)?) {
        Ok(changes) => changes,
        Err(errors) => return Ok(Report { errors, ..Report::default() }),
    };
    if let Some(current) = current {
        return Ok(check_changes(current, &changes));
    }
    let operations = changes.operations.into_iter().map(|operation| match operation {
        Operation::Put { resource, .. } => Operation::Put { resource, if_version: None },
        other => other,
    });
    let changes = ChangeSet { operations: operations.collect() };
    let report = check_changes(&Configuration::default(), &changes);
    Ok(Report { differences: Vec::new(), ..report })
}

fn parse(changes: Value) -> Result<ChangeSet, Vec<Finding>> {
    let Value::Object(object) = changes else { return Ok(ChangeSet::default()) };
    parse_change_set(object)
}

/// Reads a configuration from one or more JSON texts: outputs of `get --output json`, or the
/// input of `apply`.
pub fn configuration(file: &str, text: &str) -> Result<Configuration, CliError> {
    let mut found = Vec::new();
    for value in serde_json::Deserializer::from_str(text).into_iter::<Value>() {
        let value = value.map_err(|error| CliError::Input(format!("{file}: not JSON: {error}")))?;
        collect(value, &mut found);
    }
    from_values(file, found)
}

/// Finds resources, with the version of each if it is known.
fn collect(value: Value, found: &mut Vec<(Version, Value)>) {
    let mut object = match value {
        Value::Array(values) => return values.into_iter().for_each(|value| collect(value, found)),
        Value::Object(object) => object,
        other => return found.push((Version(0), other)),
    };
    for list in ["resources", "operations"] {
        if let Some(values) = object.remove(list) {
            return collect(values, found);
        }
    }
    match object.remove("resource") {
        Some(resource) => {
            let version = object.get("version").and_then(Value::as_u64).unwrap_or_default();
            found.push((Version(version), resource));
        }
        None => found.push((Version(0), Value::Object(object))),
    }
}

fn from_values(file: &str, found: Vec<(Version, Value)>) -> Result<Configuration, CliError> {
    let (versions, resources): (Vec<_>, Vec<_>) = found.into_iter().unzip();
    let puts: Vec<Value> =
        resources.into_iter().map(|resource| json!({"op": "put", "resource": resource})).collect();
    let changes = parse(json!({ "operations": puts })).map_err(|findings| {
        let of_finding = |finding: &Finding| {
            let place = finding.place.replace("operations[", "resource [");
            format!("\n  {place}: {}", finding.message)
        };
        let findings: String = findings.iter().map(of_finding).collect();
        CliError::Input(format!("{file}: no configuration:{findings}"))
    })?;
    let mut stored = BTreeMap::new();
    for (operation, version) in changes.operations.into_iter().zip(&versions) {
        if let Operation::Put { resource, .. } = operation {
            let resource = Arc::new(resource);
            stored.insert(resource.key(), StoredResource { version: *version, resource });
        }
    }
    let version = versions.into_iter().max().unwrap_or_default();
    Ok(Configuration::new(version, stored))
}

/// Reads every resource through the API. Reads again if the version changes in between.
async fn read_current(client: &mut Client) -> Result<Configuration, CliError> {
    for _ in 0..MAX_READS {
        let mut lists = Vec::new();
        for kind in ResourceKind::iter() {
            lists.push(client.read(&read::path(kind, None)).await?);
        }
        if lists.iter().all(|list| list["version"] == lists[0]["version"]) {
            let mut found = Vec::new();
            lists.into_iter().for_each(|list| collect(list, &mut found));
            return from_values("the configuration in force", found);
        }
    }
    let message = "the configuration changed while it was read; try again";
    Err(CliError::Failed(message.to_owned()))
}

fn report_text(report: &Report) -> String {
    let mut lines = Vec::new();
    let errors = report.errors.iter();
    lines.extend(errors.map(|finding| format!("error: {}: {}", finding.place, finding.message)));
    let remarks = report.remarks.iter();
    lines.extend(remarks.map(|r| format!("{}: {}: {}", r.kind, r.place, r.message)));
    for difference in &report.differences {
        match difference {
            Difference::Added { resource } => lines.push(format!("added: {resource}")),
            Difference::Removed { resource } => lines.push(format!("removed: {resource}")),
            Difference::Changed { resource, fields } => {
                lines.extend(fields.iter().map(|field| format!("changed: {resource}: {field}")));
            }
        }
    }
    lines.push(format!("{} errors, {} remarks", report.errors.len(), report.remarks.len()));
    lines.join("\n")
}
