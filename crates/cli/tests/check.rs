//! `check`: what it reports about a file, without a mesh.

use fireflylug_cli::check::{configuration, report};
use fireflylug_cli::{CliError, ExitStatus};
use fireflylug_core::config::lint::Report;
use rstest::rstest;
use serde_json::{Value, json};

/// A valid configuration without remarks, as a list of resources.
fn resources() -> Value {
    json!([
        {"kind": "policy", "name": "lookup", "deadline_ms": 1200, "target_latency_ms": 400},
        {"kind": "service", "name": "seatdesk", "policy": "lookup"},
        {"kind": "route", "name": "seats", "path_prefix": "/seats", "service": "seatdesk"},
        {"kind": "organisation", "name": "acme", "keys": ["s3cret-1", "s3cret-2"], "rate_per_s": 5},
        {"kind": "limits", "name": "callers", "max_head_bytes": 1000, "max_body_bytes": 1000,
         "head_timeout_ms": 100, "idle_timeout_ms": 100},
    ])
}

/// Checks the resources after one value was replaced or added.
fn check_with(pointer: &str, value: Value) -> Report {
    let mut changed = resources();
    if let Some(present) = changed.pointer_mut(pointer) {
        *present = value;
    } else {
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        changed.pointer_mut(parent).unwrap()[field] = value;
    }
    report("f.json", &changed.to_string(), None).unwrap()
}

#[rstest]
fn a_consistent_configuration_gets_no_remark() {
    assert_eq!(report("f.json", &resources().to_string(), None).unwrap(), Report::default());
}

// Guards against contradictions that the mesh accepts and that show only under load.
#[rstest]
#[case::latency("/0/target_latency_ms", json!(1300), "policy/lookup.target_latency_ms")]
#[case::objective(
    "/0/objective",
    json!({"availability_ppm": 999_000, "latency_ms": 1300, "latency_ppm": 990_000}),
    "policy/lookup.objective.latency_ms"
)]
#[case::attempts("/0/max_attempts", json!(4), "policy/lookup.max_attempts")]
#[case::body("/0/max_body_bytes", json!(1001), "policy/lookup.max_body_bytes")]
#[case::rate_of_zero("/3/rate_per_s", json!(0), "")]
#[case::burst("/3", json!({"kind": "organisation", "name": "acme", "keys": ["s3cret"], "burst": 5}),
    "organisation/acme.burst")]
#[case::no_keys("/3/keys", json!([]), "organisation/acme.keys")]
#[case::unused_policy("/1/policy", json!(null), "policy/lookup")]
#[case::no_organisation(
    "/3", json!({"kind": "route", "name": "open", "path_prefix": "/open", "service": "seatdesk",
    "public": true}), "route/open.public"
)]
#[case::weight(
    "/2/split", json!([{"service": "seatdesk", "weight": 0}, {"service": "seatdesk", "weight": 1}]),
    "route/seats.split"
)]
#[case::unused_service("/3", json!({"kind": "service", "name": "idle"}), "service/idle")]
fn a_contradiction_or_an_entry_without_effect_is_named(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let report = check_with(pointer, value);

    assert_eq!(report.errors, []);
    let places: Vec<&str> = report.remarks.iter().map(|remark| remark.place.as_str()).collect();
    let is_expected = match expected {
        "" => places.is_empty(),
        expected => places.contains(&expected),
    };
    assert!(is_expected, "{places:?}");
}

#[rstest]
#[case::dangling("/2/service", json!("missing"), "operations[2].resource.service")]
#[case::out_of_range("/0/deadline_ms", json!(0), "operations[0].resource.deadline_ms")]
#[case::unknown_field("/0/colour", json!("red"), "operations[0].resource.colour")]
#[case::key_twice("/3/keys", json!(["s3cret", "s3cret"]), "operations[3].resource.keys[1]")]
#[case::key_elsewhere("/3/priority", json!("s3cret"), "operations[3].resource.priority")]
fn an_error_is_reported_with_its_place_and_without_keys(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] place: &str,
) {
    let report = check_with(pointer, value);

    assert_eq!(report.errors.iter().map(|error| &*error.place).collect::<Vec<_>>(), [place]);
    assert!(!serde_json::to_string(&report).unwrap().contains("s3cret"), "{report:?}");
    let failed = CliError::CheckFailed { errors: report.errors.len() };
    assert_eq!(failed.exit_status(), ExitStatus::Refused);
}

// Guards against keys in the output, and against a stale read that looks like a change of all keys.
#[rstest]
fn differences_name_fields_and_count_keys() {
    let digest =
        |key: &str| format!("blake3:{}", fireflylug_core::organisation::KeyDigest::of(key));
    let mut acme = resources()[3].clone();
    acme["keys"] = json!([digest("s3cret-1"), digest("s3cret-0")]);
    let rest: Vec<Value> = resources().as_array().unwrap()[..3].to_vec();
    let listed = rest.iter().map(|resource| json!({"version": 4, "resource": resource}));
    let lists = json!({"version": 7, "resources": listed.collect::<Vec<_>>()});
    let texts = format!("{lists}\n{}", json!({"version": 7, "resource": acme}));
    let current = configuration("current.json", &texts).unwrap();
    let mut changed = resources();
    changed[0]["deadline_ms"] = json!(2000);

    let report = report("f.json", &changed.to_string(), Some(&current)).unwrap();

    assert_eq!((report.errors.len(), report.remarks.len()), (0, 0));
    let text = serde_json::to_string(&report.differences).unwrap();
    assert!(!text.contains("s3cret") && !text.contains(&digest("s3cret-1")), "{text}");
    for expected in ["deadline_ms: 1200 -> 2000", "keys: 1 added, 1 removed", r#""added""#] {
        assert!(text.contains(expected), "{text}");
    }
    assert_eq!(report.differences.len(), 3, "{text}");
}

/// Validation compares keys as they are written, so it does not find this one.
#[rstest]
fn a_key_whose_digest_another_organisation_has_is_an_error() {
    let digest = fireflylug_core::organisation::KeyDigest::of("s3cret-1");
    let zeta =
        json!({"kind": "organisation", "name": "zeta", "keys": [format!("blake3:{digest}")]});
    let current = configuration("current.json", &zeta.to_string()).unwrap();

    let report = report("f.json", &resources().to_string(), Some(&current)).unwrap();

    assert_eq!(report.errors.len(), 1);
    assert_eq!(report.errors[0].place, "organisation/zeta.keys");
}
