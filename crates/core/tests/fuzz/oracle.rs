//! What must always hold, known without the product's logic.
//!
//! Each change carries a marker that no other carries, in two of the resources
//! that it puts, so that a version shows which changes it holds and whether
//! it holds them whole.

use std::collections::BTreeMap;

use fireflylug_core::config::Configuration;
use fireflylug_core::ids::{ContentHash, Name, Version};
use fireflylug_core::resource::{Resource, ResourceKey, ResourceKind};

/// Groups of resources that changes put and delete together.
pub const UNITS: usize = 3;

/// Deadline of a policy whose marker is 0, in milliseconds.
pub const DEADLINE_MS: u32 = 2_000;

/// Marker of a unit's change, with the version that holds it.
type Content = [Option<(u32, Version)>; UNITS];

/// What an operator was told of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing yet, or that the outcome is unknown.
    Open,
    /// Accepted at this version.
    Accepted(Version),
    /// Not done, and never will be.
    Refused,
}

/// A change that an operator sent.
#[derive(Clone, Debug)]
pub struct Change {
    /// Group of resources that it changes.
    pub unit: usize,
    /// Whether it deletes the group.
    pub deletes: bool,
    /// Whether it must be refused.
    pub bad: bool,
    /// Version that the group must be at.
    pub if_version: Option<Version>,
    /// How often it was sent.
    pub sent: u32,
    /// What was said of it.
    pub verdict: Verdict,
}

/// Everything that was promised, and what was seen.
pub struct Oracle {
    /// Changes by marker.
    pub changes: BTreeMap<u32, Change>,
    versions: BTreeMap<Version, (ContentHash, Content)>,
    shown: BTreeMap<usize, Version>,
    newest_accepted: Version,
}

impl Oracle {
    /// Makes an oracle that has seen nothing.
    pub fn new() -> Self {
        Self {
            changes: BTreeMap::new(),
            versions: BTreeMap::new(),
            shown: BTreeMap::new(),
            newest_accepted: Version(0),
        }
    }

    /// The newest version that an operator was told of.
    pub fn newest_accepted(&self) -> Version {
        self.newest_accepted
    }

    /// The newest version that any host showed for this unit.
    pub fn unit_version(&self, unit: usize) -> Option<Version> {
        let (_, content) = self.versions.values().next_back()?;
        content[unit].map(|(_, version)| version)
    }

    /// A host holds a configuration and may serve calls by it.
    pub fn shows(&mut self, host: usize, configuration: &Configuration) {
        let version = configuration.version();
        let shown = self.shown.entry(host).or_default();
        assert!(version >= *shown, "promise 1: host {host} went back from {shown} to {version}");
        *shown = version;
        if let Some((hash, _)) = self.versions.get(&version) {
            let same = *hash == configuration.hash();
            assert!(same, "promise 3: two contents of version {version}, one at host {host}");
            return;
        }
        let content = content(configuration);
        self.check_markers(version, &content);
        self.versions.insert(version, (configuration.hash(), content));
    }

    /// An operator was told of a change.
    pub fn told(&mut self, marker: u32, verdict: Verdict) {
        let change = self.changes.get_mut(&marker).expect("a change that was sent");
        match (change.verdict, verdict) {
            // A resend that was refused for want of a quorum says nothing of the first sending.
            (_, Verdict::Open) | (Verdict::Accepted(_), Verdict::Refused) => return,
            (Verdict::Open, Verdict::Refused) if change.sent > 1 => return,
            (Verdict::Open, _) => change.verdict = verdict,
            (first, again) => {
                assert_eq!(first, again, "promise 9: two outcomes of change {marker}");
            }
        }
        if let Verdict::Accepted(version) = verdict {
            assert!(!change.bad, "promise 2: change {marker} leaves a route dangling");
            self.newest_accepted = self.newest_accepted.max(version);
        }
        self.check_all_markers();
    }

    /// An operator was told that a version is in force on every proxy.
    pub fn in_force(&self, version: Version, serving: &[(usize, Version)]) {
        for (host, holds) in serving {
            let reached = *holds >= version;
            assert!(reached, "promise 9: {version} in force, yet host {host} serves by {holds}");
        }
    }

    /// A read that claims to be current, asked for when `newest` was accepted.
    pub fn read(&self, newest: Version, answered: Version) {
        assert!(answered >= newest, "promise 9: a current read says {answered}, not {newest}");
    }

    /// Everything has healed and settled on this configuration.
    pub fn settled(&self, configuration: &Configuration) {
        let version = configuration.version();
        assert!(version >= self.newest_accepted, "promise 9: {} is lost", self.newest_accepted);
        let content = content(configuration);
        for (marker, change) in &self.changes {
            let Verdict::Accepted(version) = change.verdict else { continue };
            self.check_kept(*marker, change, version, content[change.unit]);
            self.check_race(*marker, change, version);
        }
    }

    fn check_kept(&self, marker: u32, change: &Change, at: Version, now: Option<(u32, Version)>) {
        match now {
            Some((_, version)) => {
                let kept = version > at || (version == at && !change.deletes);
                assert!(kept, "promise 9: change {marker} at {at} was replaced by {version}");
            }
            None => {
                let deleted = self.changes.values().any(|other| {
                    let later = match other.verdict {
                        Verdict::Accepted(version) => version >= at,
                        Verdict::Open => true,
                        Verdict::Refused => false,
                    };
                    other.deletes && other.unit == change.unit && later
                });
                assert!(deleted, "promise 9: change {marker} at {at} is lost");
            }
        }
    }

    /// A change that expects a version of a unit follows on that version.
    fn check_race(&self, marker: u32, change: &Change, at: Version) {
        let Some(expected) = change.if_version else { return };
        let earlier = self.changes.values().filter(|other| other.unit == change.unit);
        let earlier = earlier.filter_map(|other| match other.verdict {
            Verdict::Accepted(version) if version < at => Some((version, other.deletes)),
            _ => None,
        });
        let Some((version, deletes)) = earlier.max() else { return };
        let deleted_since = self.changes.values().any(|other| {
            other.unit == change.unit && other.deletes && other.verdict == Verdict::Open
        });
        let follows = match expected {
            Version(0) => deletes || deleted_since,
            expected => version <= expected,
        };
        assert!(follows, "promise 9: {marker} expects {expected} and overwrote {version}");
    }

    fn check_all_markers(&self) {
        for (version, (_, content)) in &self.versions {
            self.check_markers(*version, content);
        }
    }

    fn check_markers(&self, version: Version, content: &Content) {
        for (unit, held) in content.iter().enumerate() {
            let Some((marker, changed_at)) = held else { continue };
            let change = &self.changes[marker];
            assert_eq!(change.unit, unit, "promise 3: change {marker} is in the wrong place");
            match change.verdict {
                Verdict::Open => {}
                Verdict::Accepted(at) => {
                    assert_eq!(at, *changed_at, "promise 9: change {marker} was accepted at {at}");
                }
                Verdict::Refused => panic!("promise 9: refused {marker} is in {version}"),
            }
        }
        for (marker, change) in &self.changes {
            let accepted_here = change.verdict == Verdict::Accepted(version);
            let Some(held) = (accepted_here && !change.deletes).then(|| content[change.unit])
            else {
                continue;
            };
            assert_eq!(held, Some((*marker, version)), "promise 9: {version} lacks its change");
        }
    }
}

/// Reads the marker of each unit, and checks that the unit is whole.
fn content(configuration: &Configuration) -> Content {
    std::array::from_fn(|unit| unit_content(configuration, unit))
}

fn unit_content(configuration: &Configuration, unit: usize) -> Option<(u32, Version)> {
    let version = configuration.version();
    let name = unit_name(unit);
    let find = |kind| configuration.get(&ResourceKey { kind, name: name.clone() });
    let stored = [ResourceKind::Service, ResourceKind::Policy, ResourceKind::Route].map(find);
    let [Some(service), Some(policy), Some(_)] = stored else {
        let none = stored.iter().all(Option::is_none);
        assert!(none, "promise 2 and 3: {version} holds a part of {name}");
        return None;
    };
    let Resource::Service(held_service) = &*service.resource else { panic!("a service") };
    let Resource::Policy(held_policy) = &*policy.resource else { panic!("a policy") };
    let whole = held_service.slow_start_ms + DEADLINE_MS == held_policy.deadline_ms
        && service.version == policy.version;
    assert!(whole, "promise 3: {version} holds parts of two changes of {name}");
    Some((held_service.slow_start_ms, service.version))
}

/// Name of the service, policy and route of a unit.
pub fn unit_name(unit: usize) -> Name {
    Name::new(format!("unit-{unit}")).expect("in form")
}
