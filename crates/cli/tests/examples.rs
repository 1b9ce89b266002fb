//! The example settings and resources are valid and consistent.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use fireflylug_cli::change_set;
use fireflylug_core::config::{ChangeSet, Operation};
use fireflylug_core::resource::{Resource, ResourceKind};
use fireflylug_settings::Settings;
use rstest::rstest;

fn example(deployment: &str, file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment).join(file)
}

#[rstest]
#[case::malabar("malabar")]
#[case::punarpatra("punarpatra")]
fn example_settings_are_valid(#[case] deployment: &str) {
    let proxy = Settings::from_file(&example(deployment, "proxy.ini"));
    let control = Settings::from_file(&example(deployment, "control.ini"));

    assert_eq!(proxy.unwrap().control, None);
    assert_eq!(control.unwrap().control.unwrap().initial_voters.len(), 3);
}

#[rstest]
#[case::malabar("malabar")]
#[case::punarpatra("punarpatra")]
fn example_resources_refer_to_each_other(#[case] deployment: &str) {
    let file = example(deployment, "resources.json");
    let text = std::fs::read_to_string(&file).unwrap();

    let body = change_set("resources.json", &text, None).unwrap();
    let changes: ChangeSet = serde_json::from_value(body).unwrap();

    let mut names: BTreeMap<ResourceKind, Vec<String>> = BTreeMap::new();
    for operation in &changes.operations {
        names.entry(operation.key().kind).or_default().push(operation.key().name.to_string());
    }
    let known = |kind, name: &str| names[&kind].iter().any(|known| known == name);
    for operation in &changes.operations {
        let Operation::Put { resource, .. } = operation else { panic!("a delete") };
        match resource {
            Resource::Service(service) => {
                let policy = service.policy.as_ref().unwrap();
                assert!(known(ResourceKind::Policy, policy.as_str()), "{policy}");
            }
            Resource::Route(route) => {
                assert!(known(ResourceKind::Service, route.service.as_str()), "{}", route.service);
            }
            Resource::Policy(policy) => assert!(policy.objective.is_some(), "{}", policy.name),
            Resource::Limits(_) | Resource::Release(_) | Resource::Organisation(_) => {
                panic!("{}", resource.key())
            }
        }
    }
    assert_eq!(names.values().map(Vec::len).collect::<Vec<_>>(), [3, 3, 3]);
}
