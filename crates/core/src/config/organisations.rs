//! Validation of organisations: the form of keys and numbers, and that each key belongs to one
//! organisation.

use super::validate::{FieldChecker, Resources};
use super::{ChangeSet, Finding, FindingCode, Operation};
use crate::collections::{HashMap, HashSet};
use crate::ids::Name;
use crate::organisation::{ApiKey, Decimal, MAX_API_KEY_BYTES, Organisation, is_token68};
use crate::resource::Resource;

impl FieldChecker<'_> {
    pub(super) fn check_organisation(&mut self, organisation: &Organisation) {
        for (index, key) in organisation.keys.iter().enumerate() {
            if let Some(message) = key_fault(key) {
                self.add(&format!("keys[{index}]"), message);
            }
        }
        self.check_number("rate_per_s", organisation.rate_per_s);
        self.check_number("burst", organisation.burst);
    }

    fn check_number(&mut self, field: &str, number: Option<Decimal>) {
        let Some(value) = number.map(Decimal::value) else { return };
        if !value.is_finite() || value < 0.0 {
            self.add(field, format!("{field} is {value}; use a finite number of at least 0"));
        }
    }
}

/// What is wrong with the form of a key. The text does not contain the key.
fn key_fault(key: &ApiKey) -> Option<String> {
    match key {
        ApiKey::Digest(_) => Some("give the key itself, not its digest".to_owned()),
        ApiKey::Text(text) if text.is_empty() => Some("the key is empty".to_owned()),
        ApiKey::Text(text) if text.len() > MAX_API_KEY_BYTES => {
            let length = text.len();
            Some(format!("the key has {length} bytes; use at most {MAX_API_KEY_BYTES}"))
        }
        ApiKey::Text(text) if !is_token68(text) => {
            Some("the key is invalid: use A-Z a-z 0-9 - . _ ~ + / and then any =".to_owned())
        }
        ApiKey::Text(_) => None,
    }
}

/// Checks that no key that the change set puts occurs twice.
pub(super) fn check_keys(changes: &ChangeSet, next: &Resources, findings: &mut Vec<Finding>) {
    let puts = || {
        let operations = changes.operations.iter().enumerate();
        operations.filter_map(|(index, operation)| match operation {
            Operation::Put { resource: Resource::Organisation(organisation), .. } => {
                Some((index, organisation))
            }
            _ => None,
        })
    };
    let put_names: HashSet<&Name> = puts().map(|(_, organisation)| &organisation.name).collect();
    if put_names.is_empty() {
        return;
    }
    let mut owners: HashMap<&ApiKey, &Name> = HashMap::default();
    for stored in next.values() {
        if let Resource::Organisation(organisation) = &*stored.resource
            && !put_names.contains(&organisation.name)
        {
            owners.extend(organisation.keys.iter().map(|key| (key, &organisation.name)));
        }
    }
    for (index, organisation) in puts() {
        for (key_index, key) in organisation.keys.iter().enumerate() {
            if let Some(owner) = owners.insert(key, &organisation.name) {
                let place = format!("operations[{index}].resource.keys[{key_index}]");
                let message = format!("organisation/{owner} already has this key; remove one");
                findings.push(Finding::new(FindingCode::Duplicate, place, message));
            }
        }
    }
}
