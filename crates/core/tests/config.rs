//! Change sets: a valid one produces the next version atomically, an invalid one all findings.

use std::collections::BTreeMap;

use fireflylug_core::config::{ChangeSet, Configuration, FindingCode, MAX_RESOURCES, Operation};
use fireflylug_core::ids::{Name, Version};
use fireflylug_core::resource::{
    Objective, Policy, Resource, ResourceKey, ResourceKind, Route, Service,
};
use rstest::rstest;

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

fn service(text: &str) -> Resource {
    Resource::Service(Service::new(name(text)))
}

fn policy(text: &str) -> Resource {
    Resource::Policy(Policy::new(name(text)))
}

fn route(text: &str, path_prefix: &str, service: &str) -> Resource {
    Resource::Route(Route::new(name(text), path_prefix, name(service)))
}

fn put(resource: Resource) -> Operation {
    Operation::Put { resource, if_version: None }
}

fn put_at(resource: Resource, version: u64) -> Operation {
    Operation::Put { resource, if_version: Some(Version(version)) }
}

fn delete(kind: ResourceKind, text: &str) -> Operation {
    Operation::Delete { resource: ResourceKey { kind, name: name(text) }, if_version: None }
}

fn changes(operations: Vec<Operation>) -> ChangeSet {
    ChangeSet { operations }
}

/// Version 1: a service with a policy, and a route to it.
fn initial_configuration() -> Configuration {
    let seatdesk = Service::new(name("seatdesk")).with_policy(name("lookups"));
    let operations = vec![
        put(route("seats", "/seats", "seatdesk")),
        put(Resource::Service(seatdesk)),
        put(policy("lookups")),
    ];
    Configuration::new(Version(0), BTreeMap::new())
        .apply(&changes(operations))
        .expect("the change set is valid")
}

fn findings(operations: Vec<Operation>) -> Vec<(FindingCode, String)> {
    let findings =
        initial_configuration().apply(&changes(operations)).expect_err("the change set is invalid");
    findings.into_iter().map(|finding| (finding.code, finding.place.to_string())).collect()
}

#[test]
fn change_set_makes_one_version_with_all_of_it() {
    let next = initial_configuration()
        .apply(&changes(vec![
            put(service("bookbook")),
            put(route("bookings", "/bookings", "bookbook")),
            delete(ResourceKind::Route, "seats"),
        ]))
        .expect("the change set is valid");

    assert_eq!(next.version(), Version(2));
    assert_eq!(next.resources().len(), 4);
    let versions: Vec<_> = next.resources().values().map(|stored| stored.version.0).collect();
    assert_eq!(versions, [2, 1, 2, 1]);
}

#[rstest]
#[case::empty(vec![])]
#[case::same_again(vec![put(policy("lookups")), put(route("seats", "/seats", "seatdesk"))])]
fn change_set_that_changes_nothing_keeps_the_version(#[case] operations: Vec<Operation>) {
    let next =
        initial_configuration().apply(&changes(operations)).expect("the change set is valid");

    assert_eq!(next, initial_configuration());
}

#[rstest]
#[case::unknown_service(
    vec![put(service("a")), put(route("r", "/r", "gone"))],
    FindingCode::Dangling, "operations[1].resource.service"
)]
#[case::unknown_policy(
    vec![put(Resource::Route(Route::new(name("r"), "/r", name("seatdesk")).with_policy(name("gone"))))],
    FindingCode::Dangling, "operations[0].resource.policy"
)]
#[case::service_still_routed(
    vec![delete(ResourceKind::Service, "seatdesk")],
    FindingCode::Dangling, "operations[0].resource"
)]
#[case::policy_still_used(
    vec![delete(ResourceKind::Policy, "lookups")],
    FindingCode::Dangling, "operations[0].resource"
)]
#[case::named_twice(
    vec![put(service("a")), put(service("a"))],
    FindingCode::Duplicate, "operations[1].resource"
)]
#[case::same_match(
    vec![put(route("other", "/seats", "seatdesk"))],
    FindingCode::Duplicate, "operations[0].resource.path_prefix"
)]
#[case::delete_of_nothing(
    vec![delete(ResourceKind::Route, "gone")],
    FindingCode::Missing, "operations[0].resource"
)]
#[case::other_version(
    vec![put_at(service("seatdesk"), 7)],
    FindingCode::VersionMismatch, "operations[0].if_version"
)]
#[case::exists_already(
    vec![put_at(policy("lookups"), 0)],
    FindingCode::VersionMismatch, "operations[0].if_version"
)]
#[case::share_above_100_percent(
    vec![put(Resource::Service(Service { max_ejected_percent: 101, ..Service::new(name("a")) }))],
    FindingCode::OutOfRange, "operations[0].resource.max_ejected_percent"
)]
#[case::zero_attempts(
    vec![put(Resource::Policy(Policy { max_attempts: 0, ..Policy::new(name("a")) }))],
    FindingCode::OutOfRange, "operations[0].resource.max_attempts"
)]
#[case::no_error_budget(
    vec![put(Resource::Policy(Policy::new(name("a")).with_objective(Objective {
        availability_ppm: 1_000_000, latency_ms: 10, latency_ppm: 990_000,
    })))],
    FindingCode::OutOfRange, "operations[0].resource.objective.availability_ppm"
)]
#[case::host_with_port(
    vec![put(Resource::Route(Route::new(name("r"), "/r", name("seatdesk")).with_host("a.example:80")))],
    FindingCode::OutOfRange, "operations[0].resource.host"
)]
#[case::relative_path(
    vec![put(route("r", "seats", "seatdesk"))],
    FindingCode::OutOfRange, "operations[0].resource.path_prefix"
)]
#[case::parent_in_path(
    vec![put(route("r", "/seats/../fees", "seatdesk"))],
    FindingCode::OutOfRange, "operations[0].resource.path_prefix"
)]
fn mistake_is_found_with_its_place(
    #[case] operations: Vec<Operation>,
    #[case] code: FindingCode,
    #[case] place: &str,
) {
    let found = findings(operations);

    assert_eq!(found, [(code, place.to_owned())]);
}

#[test]
fn configuration_is_bounded() {
    let services = (0..=MAX_RESOURCES).map(|index| put(service(&format!("s-{index}"))));

    let found = findings(services.collect());

    assert_eq!(found, [(FindingCode::OutOfRange, "operations".to_owned())]);
}

#[test]
fn all_mistakes_are_found_together() {
    let found = findings(vec![
        put(route("r", "bad", "gone")),
        delete(ResourceKind::Policy, "lookups"),
        put_at(service("b"), 3),
    ]);

    let places: Vec<_> = found.iter().map(|(_, place)| place.as_str()).collect();
    assert_eq!(
        places,
        [
            "operations[2].if_version",
            "operations[0].resource.path_prefix",
            "operations[0].resource.service",
            "operations[1].resource",
        ]
    );
}

#[test]
fn service_and_its_route_are_deleted_together() {
    let operations = vec![
        delete(ResourceKind::Service, "seatdesk"),
        delete(ResourceKind::Route, "seats"),
        delete(ResourceKind::Policy, "lookups"),
    ];

    let next =
        initial_configuration().apply(&changes(operations)).expect("the change set is valid");

    assert!(next.resources().is_empty());
}
