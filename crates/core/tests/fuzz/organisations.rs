//! Keys that are added, moved and revoked while calls are queued and forwarded.

use std::collections::BTreeMap;

use fireflylug_core::api::ApiRequest;
use fireflylug_core::config::{ChangeRequest, ChangeSet, Configuration, Operation};
use fireflylug_core::ids::{CallId, Name, Version};
use fireflylug_core::organisation::{
    ApiKey, Credential, IdentityHeaders, KeyDigest, Organisation, VerifiedKey,
};
use fireflylug_core::resource::{Resource, ResourceKey, ResourceKind, Route};
use fireflylug_core::routing::CallHead;
use rand::Rng;
use rstest::rstest;

use crate::network::FaultRates;
use crate::oracle::unit_name;
use crate::rate_limits::{crash_and_restart, started_world};
use crate::world::{World, ZONES};

/// Organisations, and keys that belong to one of them or to none.
const ORGANISATIONS: [&str; 2] = ["acme", "zeta"];
const KEYS: [&str; 4] = ["key-0", "key-1", "key-2", "key-3"];

/// Mean time between two calls of all hosts together, in milliseconds. The targets, with two slots
/// each, are full at this rate, so that calls are queued.
const CALL_EVERY_MS: u32 = 6;

/// Mean time between two changes of the keys, in milliseconds.
const CHANGE_EVERY_MS: u32 = 400;

/// Mean time between two splits of the network, in milliseconds, and their duration.
const SPLIT_EVERY_MS: u32 = 4_000;
const SPLIT_FOR_MS: u32 = 1_000;

/// Time for which calls are made, in milliseconds.
const CALLS_FOR_MS: u32 = 15_000;

/// Which keys each organisation has, by version.
type Holders = BTreeMap<KeyDigest, Name>;

/// The caller of a call.
#[derive(Clone, Copy, Default)]
pub struct Caller {
    key: Option<KeyDigest>,
    is_public: bool,
    /// Version of its ingress when it arrived.
    arrived_at: Version,
}

/// The versions seen, and what was checked.
pub struct Organisations {
    /// None for a version without organisations.
    versions: BTreeMap<Version, Option<Holders>>,
    /// Version of the ingress when it forwarded an attempt.
    forwarded_at: BTreeMap<(CallId, u8), Version>,
    named_runs: usize,
    /// Runs whose owner had a newer version than the ingress, and an older one.
    newer_owners: usize,
    older_owners: usize,
    /// Calls that an owner refused because of their key.
    refused_by_owners: usize,
}

impl Organisations {
    /// Makes a state without calls. It knows version 0, which is empty.
    pub fn new() -> Self {
        Self {
            versions: BTreeMap::from([(Version(0), None)]),
            forwarded_at: BTreeMap::new(),
            named_runs: 0,
            newer_owners: 0,
            older_owners: 0,
            refused_by_owners: 0,
        }
    }

    /// Records the organisations of a version that a host holds.
    pub fn record_version(&mut self, configuration: &Configuration) {
        let mut holders = Holders::new();
        for organisation in configuration.organisations() {
            for key in &organisation.keys {
                assert!(matches!(key, ApiKey::Digest(_)), "a proxy holds a key as text");
                holders.insert(key.digest(), organisation.name.clone());
            }
        }
        let is_declared = configuration.organisations().next().is_some();
        self.versions.insert(configuration.version(), is_declared.then_some(holders));
    }

    /// Records that an owner refused a call because of its key.
    pub fn record_refused_by_owner(&mut self) {
        self.refused_by_owners += 1;
    }

    /// Checks the name that goes with a call whose key was last checked in version `at`.
    fn check(&self, caller: Caller, at: Version, name: Option<&Name>) {
        let holder = |version: &Option<Holders>| {
            let holders = version.as_ref()?;
            holders.get(&caller.key?).cloned()
        };
        let expected = holder(&self.versions[&at]);
        if name.is_some() || expected.is_some() {
            // A call that was let in without a name keeps none.
            let mut since = self.versions.range(caller.arrived_at..=at);
            let may_lack_name = since.any(|(_, version)| {
                version.is_none() || (caller.is_public && holder(version).is_none())
            });
            let is_expected = name == expected.as_ref() || (name.is_none() && may_lack_name);
            assert!(is_expected, "a call of {expected:?} at {at} goes on as {name:?}");
            return;
        }
        let mut since = self.versions.range(caller.arrived_at..=at);
        let needs_none = caller.is_public || since.any(|(_, version)| version.is_none());
        assert!(needs_none, "a call goes on without a key that {at} holds");
    }
}

impl World {
    /// Checks a call that its ingress forwards.
    pub fn check_forwarded_identity(
        &mut self,
        host: usize,
        leg: CallId,
        attempt: u8,
        name: Option<&Name>,
        key: Option<VerifiedKey>,
    ) {
        let at = self.serving_version(host);
        let (caller, _) = self.calls.caller_of(leg);
        let has_callers_key = key.is_none_or(|key| Some(key.digest) == caller.key);
        assert!(has_callers_key, "a call is forwarded with the key of another one");
        self.calls.organisations.check(caller, at, name);
        self.calls.organisations.forwarded_at.insert((leg, attempt), at);
    }

    /// Checks a call that the owner of a target sends there.
    pub fn check_dispatched_identity(
        &mut self,
        host: usize,
        leg: CallId,
        identity: &IdentityHeaders,
    ) {
        let name = match identity {
            IdentityHeaders::Replaced(name) => name.as_ref(),
            IdentityHeaders::Unchanged => None,
        };
        let owner_at = self.serving_version(host);
        let (caller, upstream) = self.calls.caller_of(leg);
        let organisations = &mut self.calls.organisations;
        let ingress_at = upstream.map_or(owner_at, |attempt| organisations.forwarded_at[&attempt]);
        organisations.named_runs += usize::from(name.is_some());
        organisations.newer_owners += usize::from(owner_at > ingress_at);
        organisations.older_owners += usize::from(owner_at < ingress_at);
        organisations.check(caller, owner_at.max(ingress_at), name);
    }

    /// Makes a call with one of the keys, or with none.
    fn call_with_random_key(&mut self) {
        let (host, repeatable) = (self.rng.random_range(0..ZONES.len()), self.rng.random());
        if !self.is_up(host) {
            return;
        }
        let key = KEYS.get(self.rng.random_range(0..=KEYS.len()));
        let key = key.map(|key| KeyDigest::of(key));
        let is_public = self.rng.random_ratio(1, 4);
        let arrived_at = self.serving_version(host);
        let path = if is_public { "/unit-0/open" } else { "/unit-0/seat" };
        let credential = key.map_or(Credential::Absent, Credential::Key);
        let head = CallHead::new("caller", path);
        let head = CallHead { is_safe_method: repeatable, credential, ..head };
        self.call_with_head(host, Caller { key, is_public, arrived_at }, head);
    }

    /// Sends a change that gives each key to one of the organisations or to none, or that deletes
    /// the organisations.
    fn change_keys(&mut self) {
        let is_delete = self.rng.random_ratio(1, 10);
        let holders = KEYS.map(|_| self.rng.random_range(0..=ORGANISATIONS.len()));
        let operation = |(index, name): (usize, &str)| {
            let name = Name::new(name).expect("a valid name");
            if is_delete {
                let resource = ResourceKey { kind: ResourceKind::Organisation, name };
                return Operation::Delete { resource, if_version: None };
            }
            let keys = KEYS.iter().zip(holders).filter(|(_, holder)| *holder == index);
            let keys = keys.map(|(key, _)| ApiKey::from(*key)).collect();
            let resource = Resource::Organisation(Organisation::new(name, keys));
            Operation::Put { resource, if_version: None }
        };
        let operations = ORGANISATIONS.into_iter().enumerate().map(operation).collect();
        self.send_operations(operations);
    }

    fn send_operations(&mut self, operations: Vec<Operation>) {
        let host = self.rng.random_range(0..ZONES.len());
        let changes = ChangeSet { operations };
        self.send_api_request(host, ApiRequest::Change(ChangeRequest { key: None, changes }));
    }
}

/// A mesh with short queues, a public route and organisations, whose messages take long.
fn world_with_organisations(seed: u64) -> World {
    let mut world = started_world(seed);
    world.calls.set_slots(2);
    let open = Route::new(Name::new("open").expect("a valid name"), "/unit-0/open", unit_name(0));
    let resource = Resource::Route(open.with_policy(unit_name(0)).with_public(true));
    world.send_operations(vec![Operation::Put { resource, if_version: None }]);
    world.change_keys();
    world.run_ms(3_000);
    let rates = FaultRates { lost_percent: 5, duplicated_percent: 5, max_delay_ms: 150 };
    world.network.set_fault_rates(rates);
    world
}

// Guards against a revoked or moved key that still counts for calls which wait or come from
// another ingress when the change arrives.
#[rstest]
fn a_call_runs_only_with_a_key_that_is_held(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let counts = run(seed);

    println!("seed {seed}: runs with a name, newer owners, older owners, refused: {counts:?}");
    assert!(counts.iter().all(|count| *count > 0), "not every case occurred: {counts:?}");
}

/// The same with as many seeds as `FIREFLYLUG_FUZZ_CASES` says.
#[test]
#[ignore = "takes a third of a second for each seed"]
fn a_call_runs_only_with_a_key_that_is_held_with_many_seeds() {
    let cases = crate::env_number("FIREFLYLUG_FUZZ_CASES").unwrap_or(1_000);
    (1..=cases).for_each(|seed| {
        println!("seed {seed}: {:?}", run(seed));
    });
}

/// Runs a mesh and counts the runs with a name, those whose owner had a newer version than the
/// ingress and an older one, and the calls that owners refused because of their key.
fn run(seed: u64) -> [usize; 4] {
    let mut world = world_with_organisations(seed);

    let mut starts_at_us = BTreeMap::new();
    let mut split_for_ms = 0_u32;
    for _ in 0..CALLS_FOR_MS {
        if world.rng.random_ratio(1, CALL_EVERY_MS) {
            world.call_with_random_key();
        }
        if world.rng.random_ratio(1, CHANGE_EVERY_MS) {
            world.change_keys();
        }
        if split_for_ms == 0 && world.rng.random_ratio(1, SPLIT_EVERY_MS) {
            let sides = world.rng.random_range(1..ZONES.len());
            world.network.split(&(0..sides).collect::<Vec<_>>());
            split_for_ms = SPLIT_FOR_MS;
        } else if split_for_ms == 1 {
            world.network.split(&[]);
        }
        split_for_ms = split_for_ms.saturating_sub(1);
        crash_and_restart(&mut world, &mut starts_at_us);
        world.run_ms(1);
    }

    let seen = &world.calls.organisations;
    [seen.named_runs, seen.newer_owners, seen.older_owners, seen.refused_by_owners]
}
