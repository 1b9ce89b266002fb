//! Checks the guarantees of the product without using its logic.
//!
//! Each change carries a unique marker in two of the resources that it puts. The markers show
//! which changes a version contains and whether it contains them completely.

use std::collections::BTreeMap;

use fireflylug_core::config::Configuration;
use fireflylug_core::ids::{ContentHash, Name, Version};
use fireflylug_core::resource::{Resource, ResourceKey, ResourceKind};

/// Number of units. A unit is a group of resources that changes put and delete together.
pub const UNITS: usize = 3;

/// Deadline of a policy whose marker is 0, in milliseconds.
pub const DEADLINE_MS: u32 = 2_000;

/// For each unit, the marker of its last change and the version of that change.
type Content = [Option<(u32, Version)>; UNITS];

/// The outcome of a change as reported to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// No answer yet, or an answer that the outcome is unknown.
    Open,
    /// Accepted at this version.
    Accepted(Version),
    /// Not accepted, and it never will be.
    Refused,
}

/// A change that an operator sent.
#[derive(Clone, Debug)]
pub struct Change {
    /// The unit that it changes.
    pub unit: usize,
    /// Whether it deletes the unit.
    pub is_delete: bool,
    /// Whether the product has to refuse it.
    pub is_invalid: bool,
    /// The version that the unit must have.
    pub if_version: Option<Version>,
    /// How often it was sent.
    pub sent: u32,
    /// Its outcome, as reported to the operator.
    pub outcome: ReportedOutcome,
}

/// The changes sent and the observations made so far.
pub struct Oracle {
    /// Changes by marker.
    pub changes: BTreeMap<u32, Change>,
    versions: BTreeMap<Version, (ContentHash, Content)>,
    served: BTreeMap<usize, Version>,
    newest_accepted: Version,
}

impl Oracle {
    /// Makes an oracle without observations.
    pub fn new() -> Self {
        Self {
            changes: BTreeMap::new(),
            versions: BTreeMap::new(),
            served: BTreeMap::new(),
            newest_accepted: Version(0),
        }
    }

    /// The newest version reported as accepted to an operator.
    pub fn newest_accepted(&self) -> Version {
        self.newest_accepted
    }

    /// The version of this unit in the newest version that any host has served.
    pub fn unit_version(&self, unit: usize) -> Option<Version> {
        let (_, content) = self.versions.values().next_back()?;
        content[unit].map(|(_, version)| version)
    }

    /// Records that a host holds a configuration and may serve calls by it.
    pub fn record_serving(&mut self, host: usize, configuration: &Configuration) {
        let version = configuration.version();
        let last_served = self.served.entry(host).or_default();
        assert!(
            version >= *last_served,
            "promise 1: host {host} returned from {last_served} to {version}"
        );
        *last_served = version;
        if let Some((hash, _)) = self.versions.get(&version) {
            let is_same = *hash == configuration.hash();
            assert!(is_same, "promise 3: two contents of version {version}, one at host {host}");
            return;
        }
        let content = content(configuration);
        self.check_markers(version, &content);
        self.versions.insert(version, (configuration.hash(), content));
    }

    /// Records the answer that an operator received for a change.
    pub fn record_answer(&mut self, marker: u32, outcome: ReportedOutcome) {
        let change = self.changes.get_mut(&marker).expect("a change that was sent");
        match (change.outcome, outcome) {
            // A refusal of a resend without a quorum does not show the outcome of the first one.
            (_, ReportedOutcome::Open)
            | (ReportedOutcome::Accepted(_), ReportedOutcome::Refused) => return,
            (ReportedOutcome::Open, ReportedOutcome::Refused) if change.sent > 1 => return,
            (ReportedOutcome::Open, _) => change.outcome = outcome,
            (first, again) => {
                assert_eq!(first, again, "promise 9: two outcomes of change {marker}");
            }
        }
        if let ReportedOutcome::Accepted(version) = outcome {
            assert!(!change.is_invalid, "promise 2: change {marker} leaves a dangling route");
            self.newest_accepted = self.newest_accepted.max(version);
        }
        self.check_all_markers();
    }

    /// Checks the report to an operator that a version is in force on every proxy.
    pub fn check_in_force(&self, version: Version, serving: &[(usize, Version)]) {
        for (host, holds) in serving {
            let has_reached = *holds >= version;
            assert!(
                has_reached,
                "promise 9: {version} in force, yet host {host} serves by {holds}"
            );
        }
    }

    /// Checks a read marked as current. `newest` was the newest accepted version at its start.
    pub fn check_read(&self, newest: Version, answered: Version) {
        assert!(
            answered >= newest,
            "promise 9: a current read returned {answered}, older than {newest}"
        );
    }

    /// Checks the configuration after the recovery from all faults.
    pub fn check_final(&self, configuration: &Configuration) {
        let version = configuration.version();
        assert!(
            version >= self.newest_accepted,
            "promise 9: accepted version {} is lost",
            self.newest_accepted
        );
        let content = content(configuration);
        for (marker, change) in &self.changes {
            let ReportedOutcome::Accepted(version) = change.outcome else { continue };
            self.check_kept(*marker, change, version, content[change.unit]);
            self.check_condition(*marker, change, version);
        }
    }

    fn check_kept(&self, marker: u32, change: &Change, at: Version, now: Option<(u32, Version)>) {
        match now {
            Some((_, version)) => {
                let is_kept = version > at || (version == at && !change.is_delete);
                assert!(is_kept, "promise 9: change {marker} at {at} was replaced by {version}");
            }
            None => {
                let is_deleted = self.changes.values().any(|other| {
                    let later = match other.outcome {
                        ReportedOutcome::Accepted(version) => version >= at,
                        ReportedOutcome::Open => true,
                        ReportedOutcome::Refused => false,
                    };
                    other.is_delete && other.unit == change.unit && later
                });
                assert!(is_deleted, "promise 9: change {marker} at {at} is lost");
            }
        }
    }

    /// Checks that a conditional change follows directly on the version of its unit that it expects.
    fn check_condition(&self, marker: u32, change: &Change, at: Version) {
        let Some(expected) = change.if_version else { return };
        let earlier = self.changes.values().filter(|other| other.unit == change.unit);
        let earlier = earlier.filter_map(|other| match other.outcome {
            ReportedOutcome::Accepted(version) if version < at => Some((version, other.is_delete)),
            _ => None,
        });
        let Some((version, is_delete)) = earlier.max() else { return };
        let may_be_deleted_since = self.changes.values().any(|other| {
            other.unit == change.unit && other.is_delete && other.outcome == ReportedOutcome::Open
        });
        let is_expected = match expected {
            Version(0) => is_delete || may_be_deleted_since,
            expected => version <= expected,
        };
        assert!(
            is_expected,
            "promise 9: change {marker} expects {expected} and overwrote {version}"
        );
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
            match change.outcome {
                ReportedOutcome::Open => {}
                ReportedOutcome::Accepted(at) => {
                    assert_eq!(at, *changed_at, "promise 9: change {marker} was accepted at {at}");
                }
                ReportedOutcome::Refused => {
                    panic!("promise 9: refused change {marker} is in {version}")
                }
            }
        }
        for (marker, change) in &self.changes {
            let is_accepted_here = change.outcome == ReportedOutcome::Accepted(version);
            let Some(held) = (is_accepted_here && !change.is_delete).then(|| content[change.unit])
            else {
                continue;
            };
            assert_eq!(held, Some((*marker, version)), "promise 9: {version} lacks its change");
        }
    }
}

/// Reads the marker of each unit, and checks that each unit is complete.
fn content(configuration: &Configuration) -> Content {
    std::array::from_fn(|unit| unit_content(configuration, unit))
}

fn unit_content(configuration: &Configuration, unit: usize) -> Option<(u32, Version)> {
    let version = configuration.version();
    let name = unit_name(unit);
    let find = |kind| configuration.get(&ResourceKey { kind, name: name.clone() });
    let stored = [ResourceKind::Service, ResourceKind::Policy, ResourceKind::Route].map(find);
    let [Some(service), Some(policy), Some(_)] = stored else {
        let is_absent = stored.iter().all(Option::is_none);
        assert!(is_absent, "promise 2 and 3: {version} holds a part of {name}");
        return None;
    };
    let Resource::Service(held_service) = &*service.resource else { panic!("a service") };
    let Resource::Policy(held_policy) = &*policy.resource else { panic!("a policy") };
    let is_complete = held_service.slow_start_ms + DEADLINE_MS == held_policy.deadline_ms
        && service.version == policy.version;
    assert!(is_complete, "promise 3: {version} holds parts of two changes of {name}");
    Some((held_service.slow_start_ms, service.version))
}

/// Name of the service, the policy and the route of a unit.
pub fn unit_name(unit: usize) -> Name {
    Name::new(format!("unit-{unit}")).expect("a valid name")
}
