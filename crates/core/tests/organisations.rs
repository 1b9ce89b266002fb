//! Organisations as resources: validation, redaction, read-back and the table of keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use fireflylug_core::config::{ChangeSet, Configuration, Finding, FindingCode, Operation};
use fireflylug_core::ids::{Name, Version};
use fireflylug_core::organisation::{
    ApiKey, Decimal, KeyDigest, Organisation, OrganisationTable, redact,
};
use fireflylug_core::resource::Resource;
use rstest::rstest;
use serde_json::{Value, json};

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

fn organisation(text: &str, keys: &[&str]) -> Organisation {
    Organisation::new(name(text), keys.iter().map(|key| ApiKey::from(*key)).collect())
}

fn put(organisation: Organisation) -> Operation {
    Operation::Put { resource: Resource::Organisation(organisation), if_version: None }
}

fn empty() -> Configuration {
    Configuration::new(Version(0), BTreeMap::new())
}

fn apply(base: &Configuration, all: Vec<Organisation>) -> Result<Configuration, Vec<Finding>> {
    base.apply(&ChangeSet { operations: all.into_iter().map(put).collect() })
}

const LONGEST: &str = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.";

/// Keys that callers could not send, or that identify two organisations, must be refused with
/// their place and without their text.
#[rstest]
#[case::empty_key("", "operations[0].resource.keys[1]", FindingCode::OutOfRange)]
#[case::space("a b", "operations[0].resource.keys[1]", FindingCode::OutOfRange)]
#[case::only_padding("==", "operations[0].resource.keys[1]", FindingCode::OutOfRange)]
#[case::padding_inside("a=b", "operations[0].resource.keys[1]", FindingCode::OutOfRange)]
#[case::too_long(&LONGEST.repeat(5), "operations[0].resource.keys[1]", FindingCode::OutOfRange)]
#[case::digest(
    "blake3:00112233445566778899aabbccddeeff",
    "operations[0].resource.keys[1]",
    FindingCode::OutOfRange
)]
#[case::twice("k-first", "operations[0].resource.keys[1]", FindingCode::Duplicate)]
#[case::of_another("k-other", "operations[1].resource.keys[0]", FindingCode::Duplicate)]
#[case::of_a_stored_one("k-stored", "operations[0].resource.keys[1]", FindingCode::Duplicate)]
fn a_bad_key_is_found(#[case] key: &str, #[case] place: &str, #[case] code: FindingCode) {
    let base = apply(&empty(), vec![organisation("stored", &["k-stored"])]).expect("valid");
    let all = vec![organisation("acme", &["k-first", key]), organisation("other", &["k-other"])];

    let findings = apply(&base, all).expect_err("the key is invalid");

    let found: Vec<_> = findings.iter().map(|finding| (finding.code, &*finding.place)).collect();
    assert_eq!(found, [(code, place)]);
    if !key.is_empty() && key != "==" {
        assert!(!format!("{findings:?}").contains(key));
    }
}

#[rstest]
#[case::longest(&LONGEST.repeat(4))]
#[case::alphabet("-._~+/A9z===")]
fn a_key_of_the_alphabet_is_accepted(#[case] key: &str) {
    apply(&empty(), vec![organisation("acme", &[key])]).expect("the key is valid");
}

/// A key may move within one change set; the earlier owner is not a duplicate.
#[test]
fn a_key_may_move_to_another_organisation() {
    let base = apply(&empty(), vec![organisation("acme", &["moving"])]).expect("valid");

    let all = vec![organisation("other", &["moving"]), organisation("acme", &[])];
    let next = apply(&base, all).expect("the key is in one organisation");

    let table = OrganisationTable::new(&next);
    assert_eq!(table.find(KeyDigest::of("moving")).map(|found| &found.name), Some(&name("other")));
}

#[rstest]
#[case::negative(Decimal::Negative(-1))]
#[case::negative_fraction(Decimal::Fraction(-0.5))]
#[case::infinite(Decimal::Fraction(f64::INFINITY))]
#[case::not_a_number(Decimal::Fraction(f64::NAN))]
fn a_bad_quota_is_found(#[case] number: Decimal) {
    let findings = apply(&empty(), vec![organisation("acme", &[]).with_quota(number, number)])
        .expect_err("the quota is invalid");

    let places: Vec<&str> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["operations[0].resource.rate_per_s", "operations[0].resource.burst"]);
    assert!(findings.iter().all(|finding| finding.code == FindingCode::OutOfRange));
}

/// Operators compare what they read with what they sent: 0 and absent, 539 and 539.0, and the
/// order of keys must survive the log, which is CBOR, and the API, which is JSON.
#[rstest]
#[case(json!({"kind": "organisation", "name": "acme", "keys": []}))]
#[case(json!({"kind": "organisation", "name": "acme", "keys": ["z", "a", "m"], "priority": 0,
              "rate_per_s": 0, "burst": 539}))]
#[case(json!({"kind": "organisation", "name": "a-1", "keys": ["a"], "rate_per_s": 0.0,
              "burst": 539.0}))]
#[case(json!({"kind": "organisation", "name": "1", "keys": ["a"], "rate_per_s": 0.1,
              "burst": 18_446_744_073_709_551_615_u64}))]
fn an_organisation_reads_back_as_it_was_sent(#[case] sent: Value) {
    let resource: Resource = serde_json::from_value(sent.clone()).unwrap();
    let mut stored = Vec::new();
    ciborium::into_writer(&resource, &mut stored).unwrap();
    let restored: Resource = ciborium::from_reader(stored.as_slice()).unwrap();

    assert_eq!(restored, resource);
    assert_eq!(serde_json::to_string(&restored).unwrap(), {
        let resource: Resource = serde_json::from_value(sent.clone()).unwrap();
        serde_json::to_string(&resource).unwrap()
    });
    assert_eq!(serde_json::to_value(&restored).unwrap(), sent);
}

/// Errors and `Debug` texts end up in logs, so they must not contain a key.
#[rstest]
#[case(json!({"name": "acme", "keys": [90817263]}))]
#[case(json!({"name": "acme", "keys": [-90817263]}))]
#[case(json!({"name": "acme", "keys": "90817263"}))]
#[case(json!({"name": "acme", "keys": 90817263}))]
#[case(json!({"name": "acme", "keys": [["90817263"]]}))]
fn errors_contain_no_key(#[case] sent: Value) {
    let error = serde_json::from_value::<Organisation>(sent).expect_err("not a list of texts");

    assert!(!error.to_string().contains("90817263"), "{error}");
}

#[test]
fn debug_texts_contain_no_key() {
    let configuration = apply(&empty(), vec![organisation("acme", &["s3cret"])]).expect("valid");
    let digest = KeyDigest::of("s3cret");

    let redacted = redact(&Arc::new(configuration.clone()), &empty());

    let text = format!("{configuration:?} {redacted:?} {digest:?}");
    assert!(!text.contains("s3cret") && !text.contains(&digest.to_string()), "{text}");
}

/// A version conflict reports the stored resource, also to a client of a log or a proxy.
#[test]
fn a_version_conflict_contains_no_key() {
    let base = apply(&empty(), vec![organisation("acme", &["s3cret"])]).expect("valid");
    let resource = Resource::Organisation(organisation("acme", &["newer-key"]));
    let operation = Operation::Put { resource, if_version: Some(Version(9)) };

    let findings = base.apply(&ChangeSet { operations: vec![operation] }).expect_err("a conflict");

    let text = serde_json::to_string(&findings).unwrap();
    assert!(text.contains("blake3:") && !text.contains("s3cret"), "{text}");
}

/// Proxies hold digests, which route like the keys themselves. Unchanged organisations keep
/// theirs from version to version.
#[test]
fn redaction_keeps_everything_but_the_keys() {
    let first = apply(&empty(), vec![organisation("acme", &["one", "two"])]).expect("valid");
    let second = apply(&first, vec![organisation("other", &["three"])]).expect("valid");
    let (first, second) = (Arc::new(first), Arc::new(second));

    let redacted_first = redact(&first, &empty());
    let redacted = redact(&second, &redacted_first);

    assert_eq!(redacted.version(), second.version());
    let json = serde_json::to_string(&redacted.resources().values().collect::<Vec<_>>()).unwrap();
    assert!(
        !json.contains("\"one\"") && json.contains(&format!("blake3:{}", KeyDigest::of("one")))
    );
    let table = OrganisationTable::new(&redacted);
    for (key, owner) in [("one", "acme"), ("two", "acme"), ("three", "other")] {
        assert_eq!(table.find(KeyDigest::of(key)).map(|found| found.name.as_str()), Some(owner));
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&redacted.resources(), &mut bytes).unwrap();
    let restored: BTreeMap<_, _> = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(Configuration::new(redacted.version(), restored).hash(), redacted.hash());
    let again = redact(&second, &redacted);
    assert_eq!(again.hash(), redacted.hash());
}

/// Without an organisation nothing is copied and the hash of a version stays the same.
#[test]
fn a_configuration_without_organisations_is_not_redacted() {
    let configuration = Arc::new(empty());

    assert!(Arc::ptr_eq(&redact(&configuration, &empty()), &configuration));
}
