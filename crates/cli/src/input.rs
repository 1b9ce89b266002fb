//! Converts the input of `apply` to a change set.

use std::io::Read;

use fireflylug_core::ids::Version;
use serde_json::{Value, json};

use crate::CliError;

/// Reads a file, or standard input if `file` is `-`.
pub fn read(file: &str) -> Result<String, CliError> {
    let mut text = String::new();
    let read = match file {
        "-" => std::io::stdin().read_to_string(&mut text).map(drop),
        file => std::fs::read_to_string(file).map(|read| text = read),
    };
    read.map_err(|error| CliError::Input(format!("{file}: cannot be read: {error}")))?;
    Ok(text)
}

/// Builds a change set from text that holds one resource, a list of resources, or
/// a change set. `if_version` is accepted for a single resource only.
///
/// The fields of resources are not validated here: only the resource API does so.
pub fn change_set(file: &str, text: &str, if_version: Option<Version>) -> Result<Value, CliError> {
    let value: Value = serde_json::from_str(text)
        .map_err(|error| CliError::Input(format!("{file}: not JSON: {error}")))?;
    let mut operations = match value {
        Value::Object(object) if object.contains_key("operations") => {
            return match if_version {
                None => Ok(Value::Object(object)),
                Some(_) => Err(single_resource_error(file)),
            };
        }
        Value::Array(resources) => resources.into_iter().map(put).collect(),
        resource @ Value::Object(_) => vec![put(resource)],
        _ => {
            let message = "give a resource, a list of resources, or {\"operations\": [...]}";
            return Err(CliError::Input(format!("{file}: {message}")));
        }
    };
    if let Some(version) = if_version {
        let [operation] = operations.as_mut_slice() else {
            return Err(single_resource_error(file));
        };
        operation["if_version"] = json!(version);
    }
    Ok(json!({ "operations": operations }))
}

fn put(resource: Value) -> Value {
    json!({ "op": "put", "resource": resource })
}

fn single_resource_error(file: &str) -> CliError {
    CliError::Input(format!(
        "{file}: --if-version is for one resource; in a change set write if_version beside op"
    ))
}
