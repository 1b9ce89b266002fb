//! The actions of the fuzz test, and the reference state that decides which ones are allowed.

use fireflylug_core::Instant;
use fireflylug_core::api::{ApiRequest, Freshness};
use fireflylug_core::config::{ChangeRequest, ChangeSet, Operation};
use fireflylug_core::consensus::ControlRole;
use fireflylug_core::ids::{IdempotencyKey, Version};
use fireflylug_core::resource::{Policy, Resource, ResourceKey, ResourceKind, Route, Service};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::network::FaultRates;
use crate::oracle::{Change, DEADLINE_MS, ReportedOutcome, UNITS, unit_name};
use crate::targets::TARGETS;
use crate::world::{CONTROL_HOSTS, World, ZONES};

/// Time for the recovery after the last fault, in milliseconds.
const RECOVERY_MS: u64 = 30_000;

/// Maximum time for a change to come into force everywhere without faults, in milliseconds.
const IN_FORCE_MS: u64 = 10_000;

/// One action of the test.
#[derive(Clone, Debug)]
pub enum Action {
    Run {
        ms: u16,
    },
    Crash {
        host: usize,
    },
    CrashZone {
        zone: usize,
    },
    Start {
        host: usize,
    },
    Stop {
        host: usize,
    },
    /// Replaces the disk of a stopped control host and starts it.
    Blank {
        host: usize,
    },
    CutZone {
        zone: usize,
    },
    Isolate {
        host: usize,
    },
    /// Cuts hosts of any zones off from all others, and lets time pass.
    Split {
        hosts: Vec<usize>,
        ms: u16,
    },
    Heal,
    SetFaultRates(FaultRates),
    Put {
        host: usize,
        unit: usize,
        is_conditional: bool,
    },
    Delete {
        host: usize,
        unit: usize,
    },
    InvalidChange {
        host: usize,
        unit: usize,
    },
    Race {
        hosts: [usize; 2],
        unit: usize,
    },
    Resend {
        host: usize,
        back: usize,
    },
    Read {
        host: usize,
    },
    Watch {
        host: usize,
    },
    TargetUp {
        target: usize,
    },
    TargetDeparts {
        target: usize,
        is_leaving: bool,
    },
    TargetDies {
        target: usize,
    },
    Call {
        host: usize,
        repeatable: bool,
    },
}

/// Which hosts run, as far as the actions determine it.
#[derive(Clone, Debug)]
pub struct Reference {
    pub seed: u64,
    is_up: [bool; ZONES.len()],
}

impl Reference {
    /// Makes the state in which every host runs. All random choices derive from the seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, is_up: [true; ZONES.len()] }
    }
}

/// The state machine under test.
pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Reference;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<Reference> {
        any::<u64>().prop_map(Reference::new).boxed()
    }

    fn transitions(_state: &Reference) -> BoxedStrategy<Action> {
        let host = 0..ZONES.len();
        let control = 0..CONTROL_HOSTS;
        let unit = 0..UNITS;
        let target = 0..TARGETS;
        prop_oneof![
            12 => (1..3_000_u16).prop_map(|ms| Action::Run { ms }),
            4 => host.clone().prop_map(|host| Action::Crash { host }),
            1 => (0..3_usize).prop_map(|zone| Action::CrashZone { zone }),
            6 => host.clone().prop_map(|host| Action::Start { host }),
            2 => host.clone().prop_map(|host| Action::Stop { host }),
            2 => control.clone().prop_map(|host| Action::Blank { host }),
            2 => (0..3_usize).prop_map(|zone| Action::CutZone { zone }),
            2 => control.clone().prop_map(|host| Action::Isolate { host }),
            2 => (split_side(), 1..12_000_u16)
                .prop_map(|(hosts, ms)| Action::Split { hosts, ms }),
            3 => Just(Action::Heal),
            1 => fault_rates().prop_map(Action::SetFaultRates),
            8 => (host.clone(), unit.clone(), any::<bool>())
                .prop_map(|(host, unit, is_conditional)| Action::Put { host, unit, is_conditional }),
            1 => (host.clone(), unit.clone()).prop_map(|(host, unit)| Action::Delete { host, unit }),
            1 => (host.clone(), unit.clone())
                .prop_map(|(host, unit)| Action::InvalidChange { host, unit }),
            2 => (host.clone(), host.clone(), unit)
                .prop_map(|(a, b, unit)| Action::Race { hosts: [a, b], unit }),
            2 => (host.clone(), 0..4_usize).prop_map(|(host, back)| Action::Resend { host, back }),
            2 => host.clone().prop_map(|host| Action::Read { host }),
            1 => host.clone().prop_map(|host| Action::Watch { host }),
            3 => target.clone().prop_map(|target| Action::TargetUp { target }),
            2 => (target.clone(), any::<bool>())
                .prop_map(|(target, is_leaving)| Action::TargetDeparts { target, is_leaving }),
            1 => target.prop_map(|target| Action::TargetDies { target }),
            12 => (host, any::<bool>())
                .prop_map(|(host, repeatable)| Action::Call { host, repeatable }),
        ]
        .boxed()
    }

    fn preconditions(state: &Reference, action: &Action) -> bool {
        match action {
            Action::Crash { host } | Action::Stop { host } => state.is_up[*host],
            Action::Start { host } => !state.is_up[*host],
            // Two blank disks at once lose accepted changes under any protocol.
            Action::Blank { host } => {
                !state.is_up[*host]
                    && (0..CONTROL_HOSTS).all(|other| other == *host || state.is_up[other])
            }
            _ => true,
        }
    }

    fn apply(mut state: Reference, action: &Action) -> Reference {
        match action {
            Action::Crash { host } | Action::Stop { host } => state.is_up[*host] = false,
            Action::CrashZone { zone } => in_zone(*zone).for_each(|host| state.is_up[host] = false),
            Action::Start { host } | Action::Blank { host } => state.is_up[*host] = true,
            _ => {}
        }
        state
    }
}

fn fault_rates() -> impl Strategy<Value = FaultRates> {
    (0..20_u8, 0..20_u8, 5..300_u16).prop_map(|(lost_percent, duplicated_percent, max_delay_ms)| {
        FaultRates { lost_percent, duplicated_percent, max_delay_ms }
    })
}

/// Hosts on one side of a split: some, but not all.
fn split_side() -> impl Strategy<Value = Vec<usize>> {
    let hosts: Vec<usize> = (0..ZONES.len()).collect();
    prop::sample::subsequence(hosts, 1..ZONES.len())
}

fn in_zone(zone: usize) -> impl Iterator<Item = usize> {
    (0..ZONES.len()).filter(move |host| ZONES[*host] == zone)
}

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Self;

    fn init_test(state: &Reference) -> World {
        let mut world = World::new(state.seed);
        world.run_ms(5_000);
        world.put(0, 0, None);
        (0..TARGETS).for_each(|target| world.target_up(target));
        world.run_ms(2_000);
        world
    }

    fn apply(mut world: World, _state: &Reference, action: Action) -> World {
        world.act(&action);
        world
    }

    fn teardown(mut world: World, _state: Reference) {
        world.recover_and_check();
    }
}

impl World {
    fn act(&mut self, action: &Action) {
        match action {
            Action::Run { ms } => self.run_ms(u64::from(*ms)),
            Action::Crash { host } => self.crash(*host),
            Action::CrashZone { zone } => {
                in_zone(*zone).for_each(|host| self.crash(host));
            }
            Action::Start { host } => self.start_if_down(*host),
            Action::Stop { host } => self.submit(*host, fireflylug_core::Event::Stop),
            Action::Blank { host } => self.replace_disk(*host),
            Action::CutZone { zone } => self.network.cut_zone(*zone),
            Action::Isolate { host } => self.network.isolate(*host),
            Action::Split { hosts, ms } => {
                self.network.split(hosts);
                self.run_ms(u64::from(*ms));
            }
            Action::Heal => self.network.heal(),
            Action::SetFaultRates(fault_rates) => self.network.set_fault_rates(*fault_rates),
            Action::Put { host, unit, is_conditional } => {
                let expected = self.oracle.unit_version(*unit).unwrap_or_default();
                self.put(*host, *unit, is_conditional.then_some(expected));
            }
            Action::Delete { host, unit } => self.delete(*host, *unit),
            Action::InvalidChange { host, unit } => self.send_invalid_change(*host, *unit),
            Action::Race { hosts, unit } => {
                let expected = self.oracle.unit_version(*unit).unwrap_or_default();
                hosts.iter().for_each(|host| self.put(*host, *unit, Some(expected)));
            }
            Action::Resend { host, back } => self.resend(*host, *back),
            Action::Read { host } => self.read(*host),
            Action::Watch { host } => {
                self.send_api_request(*host, ApiRequest::Watch { from: None })
            }
            Action::TargetUp { target } => self.target_up(*target),
            Action::TargetDeparts { target, is_leaving } => {
                self.target_departs(*target, *is_leaving)
            }
            Action::TargetDies { target } => self.target_dies(*target),
            Action::Call { host, repeatable } => self.call(*host, *repeatable),
        }
    }

    fn start_if_down(&mut self, host: usize) {
        if !self.is_up(host) {
            self.start(host);
        }
    }

    /// Replaces a disk if every other replica has everything accepted on its disk.
    fn replace_disk(&mut self, host: usize) {
        if self.is_up(host) {
            return;
        }
        if self.other_replicas_are_current(host) {
            self.install_blank_disk(host);
        }
        self.start(host);
    }

    /// Whether each other control replica is a voter that holds everything accepted.
    fn other_replicas_are_current(&self, host: usize) -> bool {
        let newest = self.oracle.newest_accepted();
        let holds = |other: usize| {
            let state = self.hosts[other].state.as_ref()?;
            let now = Instant::from_us(self.now_us - self.hosts[other].started_us);
            let status = state.control()?.status(self.hosts[other].id, now);
            let votes = matches!(status.role, ControlRole::Follower | ControlRole::Leader);
            Some(votes && status.version >= newest)
        };
        (0..CONTROL_HOSTS).filter(|other| *other != host).all(|other| holds(other) == Some(true))
    }

    /// Sends a change that puts a unit.
    pub fn put(&mut self, host: usize, unit: usize, if_version: Option<Version>) {
        let marker = self.next_marker();
        let operations = put_unit(unit, marker, if_version);
        let change = Change { unit, is_delete: false, is_invalid: false, if_version, ..CHANGE };
        self.send_change(host, marker, change, operations);
    }

    /// Sends a linearizable read.
    pub fn read(&mut self, host: usize) {
        let body = ApiRequest::List(ResourceKind::Service, Freshness::Linearizable);
        self.send_api_request(host, body);
    }

    fn delete(&mut self, host: usize, unit: usize) {
        let marker = self.next_marker();
        let change = Change { unit, is_delete: true, ..CHANGE };
        self.send_change(host, marker, change, delete_unit(unit));
    }

    /// Puts a unit together with a route whose service does not exist.
    fn send_invalid_change(&mut self, host: usize, unit: usize) {
        let marker = self.next_marker();
        let mut operations = put_unit(unit, marker, None);
        let name = unit_name(UNITS);
        let route = Route::new(name.clone(), "/nowhere", name);
        operations.push(Operation::Put { resource: Resource::Route(route), if_version: None });
        let change = Change { unit, is_invalid: true, ..CHANGE };
        self.send_change(host, marker, change, operations);
    }

    fn next_marker(&self) -> u32 {
        1 + self.oracle.changes.keys().next_back().copied().unwrap_or(0)
    }

    fn send_change(
        &mut self,
        host: usize,
        marker: u32,
        change: Change,
        operations: Vec<Operation>,
    ) {
        if !self.is_up(host) {
            return;
        }
        self.oracle.changes.insert(marker, Change { sent: 1, ..change });
        self.send_change_request(host, marker, request(marker, operations));
    }

    fn resend(&mut self, host: usize, back: usize) {
        let Some((marker, change)) =
            self.oracle.changes.iter_mut().rev().filter(|(_, change)| !change.is_invalid).nth(back)
        else {
            return;
        };
        change.sent += 1;
        if change.outcome == ReportedOutcome::Refused {
            // Resent, the change may be accepted after all.
            change.outcome = ReportedOutcome::Open;
        }
        let marker = *marker;
        let operations = if change.is_delete {
            delete_unit(change.unit)
        } else {
            put_unit(change.unit, marker, change.if_version)
        };
        self.send_change_request(host, marker, request(marker, operations));
    }

    /// Ends every fault, waits for the recovery and checks what must hold then.
    fn recover_and_check(&mut self) {
        self.network.heal();
        // A stop that has begun must end before its host is started again.
        self.run_ms(RECOVERY_MS);
        (0..ZONES.len()).for_each(|host| self.start_if_down(host));
        self.run_ms(RECOVERY_MS);
        self.calls.check_all_answered();
        let marker = self.next_marker();
        self.put(3, 1, None);
        self.run_ms(IN_FORCE_MS);
        let outcome = self.oracle.changes[&marker].outcome;
        let ReportedOutcome::Accepted(version) = outcome else {
            panic!("promise 9: the outcome of a change after the recovery is {outcome:?}");
        };
        let serving = self.serving();
        let in_force = serving.iter().filter(|(_, holds)| *holds >= version).count();
        assert_eq!(in_force, ZONES.len(), "promise 9: {version} is not in force: {serving:?}");
        let held = self.hosts[3].state.as_ref().expect("up").distribution().current().clone();
        self.oracle.check_final(&held);
    }
}

const CHANGE: Change = Change {
    unit: 0,
    is_delete: false,
    is_invalid: false,
    if_version: None,
    sent: 0,
    outcome: ReportedOutcome::Open,
};

fn request(marker: u32, operations: Vec<Operation>) -> ApiRequest {
    let key = IdempotencyKey::new(format!("change-{marker}")).expect("a valid key");
    ApiRequest::Change(ChangeRequest { key: Some(key), changes: ChangeSet { operations } })
}

fn put_unit(unit: usize, marker: u32, if_version: Option<Version>) -> Vec<Operation> {
    let name = unit_name(unit);
    let mut service = Service::new(name.clone()).with_policy(name.clone());
    service.slow_start_ms = marker;
    let policy = Policy::new(name.clone()).with_deadline_ms(DEADLINE_MS + marker);
    let route = Route::new(name.clone(), &format!("/{name}"), name.clone()).with_policy(name);
    let service = Operation::Put { resource: Resource::Service(service), if_version };
    let others = [Resource::Policy(policy), Resource::Route(route)];
    let others = others.map(|resource| Operation::Put { resource, if_version: None });
    [service].into_iter().chain(others).collect()
}

fn delete_unit(unit: usize) -> Vec<Operation> {
    let kinds = [ResourceKind::Service, ResourceKind::Policy, ResourceKind::Route];
    kinds
        .map(|kind| {
            let resource = ResourceKey { kind, name: unit_name(unit) };
            Operation::Delete { resource, if_version: None }
        })
        .into()
}
