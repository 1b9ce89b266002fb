//! `apply`, `delete` and `replace-voter`: each sends one change and retries it until
//! a response is received, with the same idempotency key if it has one.

use std::time::Duration;

use fireflylug_core::api::ErrorCode;
use fireflylug_core::ids::Version;
use hyper::Method;
use rand::Rng;
use serde_json::{Value, json};

use crate::args::{Apply, ChangeOptions, Delete, Output, ReplaceVoter};
use crate::client::{ApiCall, Client, Failure};
use crate::{CliError, input, output, read, watch};

/// Attempts per address before the outcome is reported as unknown.
const MAX_ATTEMPTS_PER_ADDRESS: usize = 3;
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Sends a change that puts the resources of a file.
pub async fn apply(client: &mut Client, apply: Apply, format: Output) -> Result<(), CliError> {
    let text = input::read(&apply.file)?;
    let body = input::change_set(&apply.file, &text, apply.options.if_version)?;
    let call = ApiCall {
        method: Method::POST,
        path: "/v1/changes".to_owned(),
        key: Some(key_or_random(&apply.options)),
        if_version: None,
        body: Some(body),
    };
    send_and_report(client, &call, &apply.options, format).await
}

/// Sends a change that deletes a resource.
pub async fn delete(client: &mut Client, delete: Delete, format: Output) -> Result<(), CliError> {
    let call = ApiCall {
        method: Method::DELETE,
        path: read::path(delete.resource.kind, Some(&delete.resource.name)),
        key: Some(key_or_random(&delete.options)),
        if_version: delete.options.if_version.map(|version| version.0),
        body: None,
    };
    send_and_report(client, &call, &delete.options, format).await
}

/// Replaces a voter by another control replica. The request is idempotent and
/// therefore needs no key.
pub async fn replace_voter(
    client: &mut Client,
    replace: ReplaceVoter,
    format: Output,
) -> Result<(), CliError> {
    let call = ApiCall {
        method: Method::POST,
        path: "/v1/voters".to_owned(),
        key: None,
        if_version: None,
        body: Some(json!({ "old": replace.old, "new": replace.new })),
    };
    let response = send_change(client, &call).await?;
    match format {
        Output::Json => output::json(&response),
        Output::Table => {
            output::line(&format!("{} now votes instead of {}", replace.new, replace.old))
        }
    }
}

async fn send_and_report(
    client: &mut Client,
    call: &ApiCall,
    options: &ChangeOptions,
    format: Output,
) -> Result<(), CliError> {
    let response = send_change(client, call).await?;
    let version = response["version"].as_u64().unwrap_or_default();
    match format {
        Output::Json => output::json(&response)?,
        Output::Table => output::line(&format!("accepted at version {version}"))?,
    }
    match options.wait_limit_s {
        Some(limit_s) => watch::wait_in_force(client, Version(version), limit_s).await,
        None => Ok(()),
    }
}

/// Sends a change and retries it after a lost response. The idempotency key makes
/// the retry safe.
pub async fn send_change(client: &mut Client, call: &ApiCall) -> Result<Value, CliError> {
    let mut is_outcome_unknown = false;
    let mut failures = Vec::new();
    for attempt in 0..MAX_ATTEMPTS_PER_ADDRESS * client.address_count() {
        if attempt > 0 {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let failure = match client.request(call).await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(error)) if error.code == ErrorCode::OutcomeUnknown => {
                is_outcome_unknown = true;
                error.to_string()
            }
            // Unavailable on this process; another one may reach a quorum.
            Ok(Err(error)) if error.code == ErrorCode::Unavailable && !is_outcome_unknown => {
                if attempt + 1 >= client.address_count() {
                    return Err(CliError::Refused(error));
                }
                error.to_string()
            }
            // Once an attempt has an unknown outcome, only a response of the replicated
            // log resolves it; `Unavailable` does not.
            Ok(Err(error)) if error.code != ErrorCode::Unavailable => {
                return Err(CliError::Refused(error));
            }
            Ok(Err(error)) => error.to_string(),
            Err(failure) => {
                is_outcome_unknown |= matches!(failure, Failure::NoResponse(_));
                failure.to_string()
            }
        };
        failures.push(format!("{}: {failure}", client.address()));
        client.next_address();
    }
    failures.dedup();
    let reason = failures.join("; ");
    if is_outcome_unknown {
        return Err(CliError::Unknown { reason, key: call.key.clone() });
    }
    Err(CliError::Unreachable(reason))
}

/// Returns the given idempotency key or a random one.
fn key_or_random(options: &ChangeOptions) -> String {
    match &options.key {
        Some(key) => key.as_str().to_owned(),
        None => format!("cli-{:032x}", rand::rng().random::<u128>()),
    }
}
