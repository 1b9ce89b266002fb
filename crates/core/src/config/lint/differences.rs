//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use serde_json::Value;

use crate::config::Configuration;
use crate::organisation::{KeyDigest, Organisation};
use crate::resource::{Resource, ResourceKey};

/// What happens to a resource.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Difference {
    /// The resource is new.
    Added {
        /// Kind and name of the resource.
        resource: ResourceKey,
    },
    /// The resource is deleted.
    Removed {
        /// Kind and name of the resource.
        resource: ResourceKey,
    },
    /// Fields of the resource change.
    Changed {
        /// Kind and name of the resource.
        resource: ResourceKey,
        /// Each field with its old and new value in JSON; of keys, their numbers.
        fields: Vec<CompactString>,
    },
}

/// Returns the differences between two configurations, ordered by kind and name. Keys are
/// compared by their digests, because `from` may be a stale read.
pub fn differences(from: &Configuration, to: &Configuration) -> Vec<Difference> {
    let keys: BTreeSet<&ResourceKey> =
        from.resources().keys().chain(to.resources().keys()).collect();
    let difference = |key: &ResourceKey| {
        let resource = key.clone();
        match (from.get(key), to.get(key)) {
            (None, Some(_)) => Some(Difference::Added { resource }),
            (Some(_), None) => Some(Difference::Removed { resource }),
            (Some(old), Some(new)) => {
                let fields = changed_fields(&old.resource, &new.resource);
                (!fields.is_empty()).then_some(Difference::Changed { resource, fields })
            }
            (None, None) => None,
        }
    };
    keys.into_iter().filter_map(difference).collect()
}

fn changed_fields(old: &Resource, new: &Resource) -> Vec<CompactString> {
    let (old_values, new_values) = (values(old), values(new));
    let names: BTreeSet<&String> = old_values.keys().chain(new_values.keys()).collect();
    let text = |value: Option<&Value>| value.map_or("none".to_owned(), Value::to_string);
    let changed = names.into_iter().filter_map(|name| {
        let (old, new) = (old_values.get(name), new_values.get(name));
        (old != new).then(|| format!("{name}: {} -> {}", text(old), text(new)).into())
    });
    changed.chain(changed_keys(old, new)).collect()
}

/// The fields of a resource, without its kind, its name and keys.
fn values(resource: &Resource) -> BTreeMap<String, Value> {
    let Ok(Value::Object(object)) = serde_json::to_value(resource) else { return BTreeMap::new() };
    let is_shown = |name: &str| !["kind", "name", "keys"].contains(&name);
    object.into_iter().filter(|(name, _)| is_shown(name)).collect()
}

fn changed_keys(old: &Resource, new: &Resource) -> Option<CompactString> {
    let (Resource::Organisation(old), Resource::Organisation(new)) = (old, new) else {
        return None;
    };
    let digests = |organisation: &Organisation| -> BTreeSet<KeyDigest> {
        organisation.keys.iter().map(|key| key.digest()).collect()
    };
    let (old, new) = (digests(old), digests(new));
    let (added, removed) = (new.difference(&old).count(), old.difference(&new).count());
    let is_changed = added + removed > 0;
    is_changed.then(|| format!("keys: {added} added, {removed} removed").into())
}
