//! Test harness: the routing of one proxy, with time and responses controlled by the test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fireflylug_core::config::{Configuration, StoredResource};
use fireflylug_core::context::{Addresses, Context, Identity};
use fireflylug_core::ids::{CallId, Locality, Name, NodeId, TargetId, Version};
use fireflylug_core::membership::{
    Member, MemberStatus, MembershipChange, TargetRecord, TargetState,
};
use fireflylug_core::quota::Quotas;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{
    CallClass, CallEffect, CallEvent, CallHead, CallOrigin, Chain, ForwardHead, Outcome, Refusal,
    RefusalCode, Routing, RoutingMessage, RoutingSettings, TargetNotice, Transit,
};
use fireflylug_core::slo::Slo;
use fireflylug_core::{Effect, Instant};
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub fn name(text: &str) -> Name {
    Name::new(text).expect("the name is well-formed")
}

pub fn locality(zone: &str, region: &str) -> Locality {
    Locality { region: name(region), availability_zone: name(zone) }
}

pub fn identity(host: &str, locality: Locality) -> Identity {
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    Identity {
        id: NodeId::of_host(&name(host)),
        host: name(host),
        locality,
        incarnation: 1,
        started_unix_ms: 0,
        addresses: Addresses { peers: any, forward: any, api: any, calls: any },
        control: false,
        is_link_slow: false,
    }
}

pub fn refusal(code: RefusalCode, outcome: Outcome) -> Refusal {
    Refusal { code, outcome }
}

/// Route `/seats` to service `seatdesk`, whose policy has a deadline of 2 s.
pub fn quick_resources() -> Vec<Resource> {
    let policy = Policy::new(name("quick")).with_deadline_ms(2_000);
    vec![
        Resource::Policy(policy),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
    ]
}

/// Record of a ready target with 4 slots.
pub fn record(service: &str, id: &str, owner: &str) -> TargetRecord {
    TargetRecord {
        target: TargetId { service: name(service), id: name(id) },
        owner: NodeId::of_host(&name(owner)),
        incarnation: 1,
        sequence: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 2)),
        slots: 4,
        connections: 8,
        state: TargetState::Ready,
        load_percent: None,
        cold_ms: 0,
        order: None,
        has_departed: false,
    }
}

/// The routing of one proxy.
pub struct Harness {
    pub routing: Routing,
    pub slo: Slo,
    pub quotas: Quotas,
    pub me: Identity,
    pub now: Instant,
    rng: SmallRng,
    next_call: u64,
    effects: Vec<Effect>,
}

impl Harness {
    /// A proxy on `host` in availability zone `z1` of region `r1`, with these resources.
    pub fn new(host: &str, resources: Vec<Resource>) -> Self {
        let mut harness = Self::without_configuration(host, RoutingSettings::default());
        harness.configure(resources);
        harness
    }

    pub fn without_configuration(host: &str, settings: RoutingSettings) -> Self {
        Self {
            routing: Routing::new(settings),
            slo: Slo::new(),
            quotas: Quotas::new(),
            me: identity(host, locality("z1", "r1")),
            now: Instant::from_ms(1_000),
            rng: SmallRng::seed_from_u64(7),
            next_call: 1,
            effects: Vec::new(),
        }
    }

    /// Replaces the random numbers of the proxy: several proxies of a test must not draw alike.
    pub fn seed(&mut self, seed: u64) {
        self.rng = SmallRng::seed_from_u64(seed);
    }

    pub fn configure(&mut self, resources: Vec<Resource>) {
        self.configure_version(1, resources);
    }

    /// Brings a version into force.
    pub fn configure_version(&mut self, version: u64, resources: Vec<Resource>) {
        let version = Version(version);
        let stored = |resource: Resource| {
            let stored = StoredResource { version, resource: Arc::new(resource.clone()) };
            (resource.key(), stored)
        };
        let all: BTreeMap<_, _> = resources.into_iter().map(stored).collect();
        let configuration = Arc::new(Configuration::new(version, all));
        self.with_context(|routing, _, cx| routing.configure(cx, configuration));
    }

    fn with_context(&mut self, run: impl FnOnce(&mut Routing, &mut Slo, &mut Context<'_>)) {
        self.with_all(|routing, slo, _, cx| run(routing, slo, cx));
    }

    pub fn with_quotas(&mut self, run: impl FnOnce(&mut Quotas, &mut Context<'_>)) {
        self.with_all(|_, _, quotas, cx| run(quotas, cx));
    }

    fn with_all(
        &mut self,
        run: impl FnOnce(&mut Routing, &mut Slo, &mut Quotas, &mut Context<'_>),
    ) {
        let mut cx =
            Context { now: self.now, rng: &mut self.rng, me: &self.me, effects: &mut self.effects };
        run(&mut self.routing, &mut self.slo, &mut self.quotas, &mut cx);
    }

    pub fn set_member(&mut self, host: &str, locality: Locality, status: MemberStatus) {
        let mut member = Member::of(&identity(host, locality));
        member.status = status;
        let change = MembershipChange::Member(member);
        self.with_context(|routing, _, cx| routing.membership_changed(cx, &change));
    }

    pub fn set_target(&mut self, record: TargetRecord) {
        let change = MembershipChange::Target(record);
        self.with_context(|routing, _, cx| routing.membership_changed(cx, &change));
    }

    pub fn step(&mut self, event: CallEvent) {
        self.with_all(|routing, slo, quotas, cx| routing.step(cx, slo, quotas, event));
    }

    pub fn stop(&mut self) {
        self.with_context(|routing, _, cx| routing.stop(cx));
    }

    /// Advances time and runs every tick that becomes due.
    pub fn pass_ms(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.routing.next_deadline() <= end {
            self.now = self.now.max(self.routing.next_deadline());
            self.with_all(|routing, slo, quotas, cx| routing.tick(cx, slo, quotas));
        }
        self.now = end;
    }

    /// Lets a call from a caller arrive.
    pub fn arrive(&mut self, path: &str, is_safe_method: bool) -> CallId {
        self.arrive_with(path, |head| head.is_safe_method = is_safe_method)
    }

    pub fn arrive_with(&mut self, path: &str, change: impl FnOnce(&mut CallHead)) -> CallId {
        let mut head = CallHead::new("", path);
        change(&mut head);
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.step(CallEvent::Arrived { call, head });
        call
    }

    /// Lets a call arrive that another proxy forwarded.
    pub fn arrive_forwarded(&mut self, service: &str, id: &str, remaining_ms: u32) -> CallId {
        self.arrive_after(service, id, remaining_ms, None)
    }

    /// The same, with the send and receive time of the call.
    pub fn arrive_after(
        &mut self,
        service: &str,
        id: &str,
        remaining_ms: u32,
        transit: Option<Transit>,
    ) -> CallId {
        self.arrive_from_proxy(forward_head(service, id, remaining_ms), transit)
    }

    /// Lets a call arrive that another proxy forwarded with this head.
    pub fn arrive_from_proxy(&mut self, head: ForwardHead, transit: Option<Transit>) -> CallId {
        self.arrive_with("/", |call| {
            call.origin = CallOrigin::Proxy(head);
            call.transit = transit;
        })
    }

    pub fn answer(&mut self, call: CallId, attempt: u8, status: u16) {
        self.step(CallEvent::Answered { call, attempt, status, notice: TargetNotice::default() });
    }

    /// Lets the response of the attempt arrive and be relayed completely.
    pub fn complete(&mut self, call: CallId, attempt: u8) {
        self.complete_with(call, attempt, TargetNotice::default());
    }

    /// The same, with what the response says about its target.
    pub fn complete_with(&mut self, call: CallId, attempt: u8, notice: TargetNotice) {
        self.step(CallEvent::Answered { call, attempt, status: 200, notice });
        self.step(CallEvent::Ended { call, attempt, is_complete: true });
    }

    pub fn fail(&mut self, call: CallId, attempt: u8, code: RefusalCode, outcome: Outcome) {
        let refusal = refusal(code, outcome);
        self.step(CallEvent::Failed {
            call,
            attempt,
            refusal,
            is_replayable: true,
            notice: TargetNotice::default(),
        });
    }

    /// Lets a message of another proxy arrive.
    pub fn receive(&mut self, from: NodeId, message: RoutingMessage) {
        self.with_context(|routing, _, cx| routing.handle_message(cx, from, message));
    }

    /// Connects another process.
    pub fn connect(&mut self, peer: NodeId) {
        self.with_context(|routing, _, cx| routing.peer_connected(cx, peer));
    }

    /// Removes and returns all effects since the last time.
    pub fn take_all_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Removes and returns the effects on calls since the last time.
    pub fn take_effects(&mut self) -> Vec<CallEffect> {
        let effects = std::mem::take(&mut self.effects);
        let of_call = |effect| match effect {
            Effect::Call(effect) => Some(effect),
            _ => None,
        };
        effects.into_iter().filter_map(of_call).collect()
    }

    /// Removes the effects since the last time and returns the attempts among them.
    pub fn take_attempts(&mut self) -> Vec<StartedAttempt> {
        self.take_effects().into_iter().filter_map(StartedAttempt::of).collect()
    }

    /// Removes the effects since the last time and returns the refusals among them.
    pub fn take_refusals(&mut self) -> Vec<(CallId, Refusal)> {
        let refusal = |effect| match effect {
            CallEffect::Refuse { call, refusal, .. } => Some((call, refusal)),
            _ => None,
        };
        self.take_effects().into_iter().filter_map(refusal).collect()
    }
}

/// Head of a call that another proxy forwards to the owner of a target.
pub fn forward_head(service: &str, id: &str, remaining_ms: u32) -> ForwardHead {
    ForwardHead {
        target: TargetId { service: name(service), id: name(id) },
        remaining_ms,
        max_queued: 16,
        is_repeatable: false,
        priority: 0,
        useful_ms: remaining_ms,
        class: CallClass::default(),
        is_bulk: false,
        rate_limit: None,
        organisation: None,
        key: None,
    }
}

/// An attempt that routing started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedAttempt {
    pub call: CallId,
    pub attempt: u8,
    pub target: String,
    pub chain: Chain,
}

impl StartedAttempt {
    fn of(effect: CallEffect) -> Option<Self> {
        let (call, attempt, target, chain) = match effect {
            CallEffect::Forward { call, attempt, head, chain, .. } => {
                (call, attempt, head.target, chain)
            }
            CallEffect::Dispatch { call, attempt, target, chain, .. } => {
                (call, attempt, target, chain)
            }
            _ => return None,
        };
        Some(Self { call, attempt, target: target.id.to_string(), chain })
    }
}
