//! `apply`, `delete` and `replace-voter`: one change, resent under one key until
//! it is answered.

use std::time::Duration;

use fireflylug_core::api::ErrorCode;
use fireflylug_core::ids::Version;
use hyper::Method;
use rand::Rng;
use serde_json::{Value, json};

use crate::args::{Apply, ChangeOptions, Delete, Output, ReplaceVoter};
use crate::client::{ApiCall, Client, Failure};
use crate::{CliError, input, output, read, watch};

/// Rounds over all addresses before the outcome is given up as unknown.
const MAX_ROUNDS: usize = 3;
/// Wait before a resend.
const RESEND_WAIT: Duration = Duration::from_millis(300);

/// Puts the resources of a file.
pub async fn apply(client: &mut Client, apply: Apply, form: Output) -> Result<(), CliError> {
    let text = input::read(&apply.file)?;
    let body = input::change_set(&apply.file, &text, apply.options.if_version)?;
    let call = ApiCall {
        method: Method::POST,
        path: "/v1/changes".to_owned(),
        key: Some(key(&apply.options)),
        if_version: None,
        body: Some(body),
    };
    finish(client, &call, &apply.options, form).await
}

/// Deletes a resource.
pub async fn delete(client: &mut Client, delete: Delete, form: Output) -> Result<(), CliError> {
    let call = ApiCall {
        method: Method::DELETE,
        path: read::path(delete.resource.kind, Some(&delete.resource.name)),
        key: Some(key(&delete.options)),
        if_version: delete.options.if_version.map(|version| version.0),
        body: None,
    };
    finish(client, &call, &delete.options, form).await
}

/// Lets one control replica vote in the place of another. Sent twice, it has
/// the effect of once.
pub async fn replace_voter(
    client: &mut Client,
    replace: ReplaceVoter,
    form: Output,
) -> Result<(), CliError> {
    let call = ApiCall {
        method: Method::POST,
        path: "/v1/voters".to_owned(),
        key: None,
        if_version: None,
        body: Some(json!({ "old": replace.old, "new": replace.new })),
    };
    let answer = send_change(client, &call).await?;
    match form {
        Output::Json => output::json(&answer),
        Output::Table => {
            output::line(&format!("{} votes in the place of {}", replace.new, replace.old))
        }
    }
}

async fn finish(
    client: &mut Client,
    call: &ApiCall,
    options: &ChangeOptions,
    form: Output,
) -> Result<(), CliError> {
    let answer = send_change(client, call).await?;
    let version = answer["version"].as_u64().unwrap_or_default();
    match form {
        Output::Json => output::json(&answer)?,
        Output::Table => output::line(&format!("accepted at version {version}"))?,
    }
    match options.wait_limit_s {
        Some(limit_s) => watch::wait_in_force(client, Version(version), limit_s).await,
        None => Ok(()),
    }
}

/// Sends a change, and again after a lost answer. The key makes that safe.
pub async fn send_change(client: &mut Client, call: &ApiCall) -> Result<Value, CliError> {
    let mut sent = false;
    let mut failures = Vec::new();
    for attempt in 0..MAX_ROUNDS * client.address_count() {
        if attempt > 0 {
            tokio::time::sleep(RESEND_WAIT).await;
        }
        let failure = match client.ask(call).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) if error.code == ErrorCode::OutcomeUnknown => {
                sent = true;
                error.to_string()
            }
            // Refused here; another process may reach a quorum.
            Ok(Err(error)) if error.code == ErrorCode::Unavailable && !sent => {
                if attempt + 1 >= client.address_count() {
                    return Err(CliError::Refused(error));
                }
                error.to_string()
            }
            // After an attempt whose outcome is open, a refusal does not close it,
            // unless the replicated log itself answered.
            Ok(Err(error)) if error.code != ErrorCode::Unavailable => {
                return Err(CliError::Refused(error));
            }
            Ok(Err(error)) => error.to_string(),
            Err(failure) => {
                sent |= matches!(failure, Failure::NoAnswer(_));
                failure.to_string()
            }
        };
        failures.push(format!("{}: {failure}", client.address()));
        client.next_address();
    }
    failures.dedup();
    let reason = failures.join("; ");
    if sent {
        return Err(CliError::Unknown { reason, key: call.key.clone() });
    }
    Err(CliError::Unreachable(reason))
}

/// The key that was given, or a new one.
fn key(options: &ChangeOptions) -> String {
    match &options.key {
        Some(key) => key.as_str().to_owned(),
        None => format!("cli-{:032x}", rand::rng().random::<u128>()),
    }
}
