//! Limits that contradict each other.

use super::Remark;
use crate::config::Configuration;
use crate::organisation::{Decimal, Organisation};
use crate::resource::{Limits, Policy, Repeatable, Resource, ResourceKey};

/// Returns a remark for each pair of limits that contradict each other.
pub fn check(configuration: &Configuration) -> Vec<Remark> {
    let of_callers = configuration.limits();
    let mut remarks = Vec::new();
    for (key, stored) in configuration.resources() {
        match &*stored.resource {
            Resource::Policy(policy) => check_policy(key, policy, of_callers, &mut remarks),
            Resource::Organisation(organisation) => {
                check_organisation(key, organisation, &mut remarks);
            }
            _ => {}
        }
    }
    remarks
}

fn check_policy(
    key: &ResourceKey,
    policy: &Policy,
    of_callers: Option<&Limits>,
    remarks: &mut Vec<Remark>,
) {
    let mut add = |field: &str, message| remarks.push(Remark::contradiction(key, field, message));
    let deadline_ms = policy.deadline_ms;
    let objective_ms = policy.objective.map(|objective| objective.latency_ms);
    let latencies =
        [("target_latency_ms", policy.target_latency_ms), ("objective.latency_ms", objective_ms)];
    for (field, latency_ms) in latencies {
        if let Some(latency_ms) = latency_ms.filter(|latency_ms| *latency_ms > deadline_ms) {
            add(field, format!("{latency_ms} ms is over the deadline of {deadline_ms} ms"));
        }
    }
    // An attempt is expected to take the latency that callers need, or less.
    let attempt_ms = policy.target_latency_ms.or(objective_ms);
    if let Some(attempt_ms) = attempt_ms.filter(|_| policy.repeatable != Repeatable::Never) {
        let attempts = policy.max_attempts;
        let all_ms = u64::from(attempts) * u64::from(attempt_ms);
        if attempts > 1 && all_ms > u64::from(deadline_ms) {
            let message = format!(
                "{attempts} attempts of {attempt_ms} ms do not fit in the deadline of \
                 {deadline_ms} ms"
            );
            add("max_attempts", message);
        }
    }
    // A policy with the default limit did not choose it.
    let default_bytes = Policy::new(policy.name.clone()).max_body_bytes;
    let body_bytes = policy.max_body_bytes;
    if let Some(limits) = of_callers.filter(|limits| limits.max_body_bytes < body_bytes)
        && body_bytes != default_bytes
    {
        let message = format!(
            "{body_bytes} bytes is over the {} bytes that callers may send",
            limits.max_body_bytes
        );
        add("max_body_bytes", message);
    }
}

fn check_organisation(key: &ResourceKey, organisation: &Organisation, remarks: &mut Vec<Remark>) {
    let is_set = |number: Option<Decimal>| number.is_some_and(|number| number.value() > 0.0);
    if is_set(organisation.burst) && !is_set(organisation.rate_per_s) {
        let message = "a burst without a rate limits nothing; set rate_per_s or remove the burst";
        remarks.push(Remark::contradiction(key, "burst", message));
    }
}
