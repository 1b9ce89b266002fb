//! Resource API: the reported outcome of a change, and the events of a watch.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fireflylug_core::api::{
    Api, ApiError, ApiMessage, ApiParts, ApiRequest, ApiResponse, ErrorCode, Freshness,
    MAX_HISTORY_EVENTS, ReadAnswer, WatchEvent,
};
use fireflylug_core::config::{ChangeRequest, ChangeSet, Configuration, Operation, StoredResource};
use fireflylug_core::consensus::ChangeOutcome;
use fireflylug_core::context::{Addresses, Context, Identity};
use fireflylug_core::distribution::{Distribution, DistributionSettings, Progress, ZoneProgress};
use fireflylug_core::ids::{Locality, Name, NodeId, RequestId, TargetId, Version};
use fireflylug_core::membership::{
    AnnouncementOrder, Membership, MembershipMessage, MembershipSettings, TargetAnnouncement,
    TargetState,
};
use fireflylug_core::message::PeerMessage;
use fireflylug_core::resource::{Resource, Service};
use fireflylug_core::slo::Slo;
use fireflylug_core::{Effect, Instant};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const SEED: u64 = 7;
const REQUEST: RequestId = RequestId(1);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn identity(host: &str, control: bool) -> Identity {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let locality = Locality { region: name("kochi"), availability_zone: name("kochi-aluva") };
    Identity {
        id: NodeId::of_host(&name(host)),
        host: name(host),
        locality,
        incarnation: 1,
        started_unix_ms: 0,
        addresses: Addresses { peers: address, forward: address, api: address, calls: address },
        control,
        is_link_slow: false,
    }
}

/// The resource API of one process, with the parts of the state that it uses.
struct Process {
    me: Identity,
    rng: SmallRng,
    api: Api,
    distribution: Distribution,
    membership: Membership,
    slo: Slo,
    now: Instant,
}

impl Process {
    fn new(me: Identity) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(SEED),
            api: Api::new(),
            distribution: Distribution::new(DistributionSettings::default()),
            membership: Membership::new(MembershipSettings::default(), &me),
            slo: Slo::new(),
            now: Instant::ZERO,
            me,
        }
    }

    /// A proxy that has the control replicas on `hosts` as members.
    fn proxy_with_replicas(hosts: &[&str]) -> Self {
        let mut process = Self::new(identity("proxy", false));
        for host in hosts {
            let replica = identity(host, true);
            for message in greeting(&replica, process.me.id) {
                let mut effects = Vec::new();
                let mut cx = Context {
                    now: process.now,
                    rng: &mut process.rng,
                    me: &process.me,
                    effects: &mut effects,
                };
                process.membership.step(&mut cx, replica.id, message);
            }
        }
        process
    }

    fn run(
        &mut self,
        action: impl FnOnce(&mut Api, &mut Context<'_>, ApiParts<'_>),
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut cx =
            Context { now: self.now, rng: &mut self.rng, me: &self.me, effects: &mut effects };
        let parts = ApiParts {
            control: None,
            distribution: &self.distribution,
            membership: &mut self.membership,
            slo: &self.slo,
        };
        action(&mut self.api, &mut cx, parts);
        effects
    }

    fn request(&mut self, request: RequestId, body: ApiRequest) -> Vec<Effect> {
        self.run(|api, cx, parts| api.request(cx, parts, request, body))
    }

    fn receive(&mut self, from: NodeId, message: ApiMessage) -> Vec<Effect> {
        self.run(|api, cx, parts| api.step(cx, parts, from, message))
    }

    /// Calls `tick` at each deadline up to `until_ms`.
    fn run_until_ms(&mut self, until_ms: u64) -> Vec<Effect> {
        let until = Instant::from_ms(until_ms);
        let mut effects = Vec::new();
        while self.api.next_deadline() <= until {
            self.now = self.api.next_deadline().max(self.now);
            effects.extend(self.run(|api, cx, parts| api.tick(cx, parts)));
        }
        self.now = until;
        effects
    }

    fn commit(&mut self, version: u64) -> Vec<Effect> {
        let configuration = Arc::new(configuration(version));
        self.run(|api, cx, _| api.committed(cx, &configuration))
    }

    fn progress(&mut self, progress: Progress) -> Vec<Effect> {
        self.run(|api, cx, _| api.progress(cx, progress))
    }
}

/// Membership messages that a process sends first on a new connection.
fn greeting(me: &Identity, to: NodeId) -> Vec<MembershipMessage> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut effects = Vec::new();
    let mut cx = Context { now: Instant::ZERO, rng: &mut rng, me, effects: &mut effects };
    Membership::new(MembershipSettings::default(), me).peer_connected(&mut cx, to);
    let sent = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send { message: PeerMessage::Membership(message), .. } => Some(message),
        _ => None,
    });
    sent.collect()
}

fn service(text: &str) -> Resource {
    Resource::Service(Service::new(name(text)))
}

fn change() -> ApiRequest {
    let operations = vec![Operation::Put { resource: service("seatdesk"), if_version: None }];
    ApiRequest::Change(ChangeRequest { key: None, changes: ChangeSet { operations } })
}

fn configuration(version: u64) -> Configuration {
    let resource = Arc::new(service("seatdesk"));
    let stored = StoredResource { version: Version(version), resource };
    Configuration::new(Version(version), BTreeMap::from([(service("seatdesk").key(), stored)]))
}

fn progress(version: u64, zones: &[(u32, u32, bool)]) -> Progress {
    let zone = |(index, (proxies, in_force, cut_off)): (usize, &(u32, u32, bool))| ZoneProgress {
        availability_zone: name(&format!("zone-{index}")),
        proxies: *proxies,
        in_force: *in_force,
        unreachable: Vec::new(),
        cut_off: *cut_off,
    };
    Progress { version: Version(version), zones: zones.iter().enumerate().map(zone).collect() }
}

/// Key of the last attempt that was sent. The response must carry it.
fn attempt_key(effects: &[Effect]) -> RequestId {
    let key = |effect: &Effect| match effect {
        Effect::Send {
            message:
                PeerMessage::Api(ApiMessage::Propose { request, .. } | ApiMessage::Read { request, .. }),
            ..
        } => Some(*request),
        _ => None,
    };
    effects.iter().rev().find_map(key).expect("an attempt was sent")
}

fn proposals(effects: &[Effect]) -> Vec<(NodeId, ChangeRequest)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send { to, message: PeerMessage::Api(ApiMessage::Propose { change, .. }) } => {
                Some((*to, change.clone()))
            }
            _ => None,
        })
        .collect()
}

fn responses(effects: &[Effect]) -> Vec<ApiResponse> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Answer { response, .. } => Some(response.clone()),
            _ => None,
        })
        .collect()
}

fn events(effects: &[Effect]) -> Vec<WatchEvent> {
    responses(effects)
        .into_iter()
        .filter_map(|response| match response {
            ApiResponse::Watch(event) => Some(event),
            _ => None,
        })
        .collect()
}

fn error_code(effects: &[Effect]) -> Option<ErrorCode> {
    responses(effects).iter().find_map(|response| match response {
        ApiResponse::Error(error) => Some(error.code),
        _ => None,
    })
}

#[rstest]
fn change_without_a_replica_in_reach_is_refused_because_nothing_was_sent() {
    let mut process = Process::proxy_with_replicas(&[]);

    process.request(REQUEST, change());
    let effects = process.run_until_ms(6_000);

    assert_eq!(proposals(&effects).len(), 0);
    assert_eq!(error_code(&effects), Some(ErrorCode::Unavailable));
}

#[rstest]
fn change_without_an_answer_is_resent_under_one_key_and_ends_unknown() {
    let mut process = Process::proxy_with_replicas(&["replica-a", "replica-b", "replica-c"]);

    let mut effects = process.request(REQUEST, change());
    effects.extend(process.run_until_ms(6_000));

    let proposals = proposals(&effects);
    let replicas: std::collections::BTreeSet<NodeId> =
        proposals.iter().map(|(to, _)| *to).collect();
    let keys: std::collections::BTreeSet<_> =
        proposals.iter().map(|(_, change)| change.key.clone()).collect();
    assert_eq!(replicas.len(), 3);
    assert_eq!(keys.len(), 1);
    assert!(!keys.contains(&None));
    assert_eq!(error_code(&effects), Some(ErrorCode::OutcomeUnknown));
}

#[rstest]
fn change_follows_a_redirect_to_the_leader_and_returns_its_version() {
    let mut process = Process::proxy_with_replicas(&["replica-a"]);
    let leader = NodeId::of_host(&name("leader"));
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let sent = process.request(REQUEST, change());
    let first = proposals(&sent);

    let request = attempt_key(&sent);
    let redirect = ApiMessage::NotLeader { request, leader: Some((leader, address)) };
    let mut effects = process.receive(first[0].0, redirect);
    effects.extend(process.run_until_ms(10));
    let outcome = ChangeOutcome::Accepted { version: Version(3) };
    let request = attempt_key(&effects);
    let response = process.receive(leader, ApiMessage::Outcome { request, outcome });

    assert_eq!(proposals(&effects), [(leader, first[0].1.clone())]);
    let is_leader_address = |effect: &Effect| matches!(effect, Effect::StorePeerAddress { peer, .. } if *peer == leader);
    assert!(effects.iter().any(is_leader_address));
    assert!(matches!(
        responses(&response).as_slice(),
        [ApiResponse::Accepted { version: Version(3) }]
    ));
}

#[rstest]
#[case::by_the_log(ErrorCode::Conflict, Some(ErrorCode::Conflict))]
#[case::by_a_replica_that_does_not_lead(ErrorCode::Unavailable, None)]
fn refusal_is_final_only_where_the_log_refused(
    #[case] code: ErrorCode,
    #[case] expected: Option<ErrorCode>,
) {
    let mut process = Process::proxy_with_replicas(&["replica-a"]);
    let sent = process.request(REQUEST, change());
    let first = proposals(&sent);

    let outcome = ChangeOutcome::Refused(ApiError::new(code, "refused"));
    let request = attempt_key(&sent);
    let effects = process.receive(first[0].0, ApiMessage::Outcome { request, outcome });

    assert_eq!(error_code(&effects), expected);
}

#[rstest]
fn change_is_attempted_again_when_the_attempted_replica_disconnects() {
    let mut process = Process::proxy_with_replicas(&["replica-a", "replica-b"]);
    let first = proposals(&process.request(REQUEST, change()));

    let lost = first[0].0;
    process.run(|api, cx, _| api.peer_disconnected(cx, lost));
    let effects = process.run_until_ms(200);

    let again = proposals(&effects);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, lost);
    assert_eq!(again[0].1.key, first[0].1.key);
}

/// A proxy that restarted after it had sent `first`, and sent `second` under the same request key.
struct Restarted {
    process: Process,
    replica: NodeId,
    /// Key of the attempt that the earlier run sent.
    stale_attempt: RequestId,
    /// Key of the attempt that waits for its response.
    attempt: RequestId,
}

impl Restarted {
    fn new(first: ApiRequest, second: ApiRequest) -> Self {
        let sent_before = Process::proxy_with_replicas(&["replica-a"]).request(REQUEST, first);
        let mut process = Process::proxy_with_replicas(&["replica-a"]);
        process.me.incarnation += 1;
        process.rng = SmallRng::seed_from_u64(SEED + 1);
        let sent = process.request(REQUEST, second);
        let replica = NodeId::of_host(&name("replica-a"));
        let (stale_attempt, attempt) = (attempt_key(&sent_before), attempt_key(&sent));
        Self { process, replica, stale_attempt, attempt }
    }
}

fn refused(code: ErrorCode) -> ChangeOutcome {
    ChangeOutcome::Refused(ApiError::new(code, "refused"))
}

fn read_all() -> ApiRequest {
    ApiRequest::ListAll(Freshness::Linearizable)
}

fn old_list() -> ReadAnswer {
    ReadAnswer::List { version: Version(1), resources: Vec::new() }
}

// Guards against the outcome of an order that a process forwarded before its restart being taken for
// that of another operator's order, which gets the same request key after the restart.
#[rstest]
#[case::accepted(ChangeOutcome::Accepted { version: Version(2) })]
#[case::refused_by_the_log(refused(ErrorCode::Conflict))]
#[case::not_proposed(refused(ErrorCode::Unavailable))]
fn an_outcome_from_before_a_restart_answers_no_request(#[case] stale: ChangeOutcome) {
    let Restarted { mut process, replica, stale_attempt, attempt } =
        Restarted::new(change(), change());

    let request = stale_attempt;
    let effects = process.receive(replica, ApiMessage::Outcome { request, outcome: stale });
    let later = process.run_until_ms(100);
    let outcome = ChangeOutcome::Accepted { version: Version(3) };
    let own = process.receive(replica, ApiMessage::Outcome { request: attempt, outcome });

    assert!(responses(&effects).is_empty(), "{effects:?}");
    assert!(proposals(&later).is_empty(), "the attempt was not awaited any more: {later:?}");
    assert!(matches!(responses(&own)[..], [ApiResponse::Accepted { version: Version(3) }]));
}

// Guards against the answer of a read from before a restart being given to another request: to a
// read, which may then see an older version, or to an order, which then counts as accepted.
#[rstest]
#[case::to_a_read(read_all(), Ok(old_list()))]
#[case::to_an_order(change(), Ok(old_list()))]
#[case::an_error_to_a_read(read_all(), Err(ApiError::new(ErrorCode::NotFound, "not there")))]
fn a_read_answer_from_before_a_restart_answers_no_request(
    #[case] second: ApiRequest,
    #[case] answer: Result<ReadAnswer, ApiError>,
) {
    let Restarted { mut process, replica, stale_attempt, .. } = Restarted::new(read_all(), second);

    let request = stale_attempt;
    let effects = process.receive(replica, ApiMessage::ReadAnswer { request, answer });

    assert!(responses(&effects).is_empty(), "{effects:?}");
}

// Guards against a redirect of an attempt from before a restart moving a new request to the process
// that led then.
#[rstest]
fn a_redirect_from_before_a_restart_moves_no_request() {
    let Restarted { mut process, replica, stale_attempt, .. } = Restarted::new(change(), change());
    let leader = Some((NodeId::of_host(&name("leader")), SocketAddr::from(([127, 0, 0, 1], 9))));

    let request = stale_attempt;
    let mut effects = process.receive(replica, ApiMessage::NotLeader { request, leader });
    effects.extend(process.run_until_ms(100));

    assert!(proposals(&effects).is_empty(), "{effects:?}");
}

#[rstest]
fn watch_at_a_proxy_names_the_control_replicas() {
    let mut process = Process::proxy_with_replicas(&["replica-a"]);

    let effects = process.request(REQUEST, ApiRequest::Watch { from: None });

    let [ApiResponse::Error(error)] = &responses(&effects)[..] else {
        panic!("not one error: {effects:?}");
    };
    assert_eq!(error.code, ErrorCode::Misdirected);
    assert_eq!(error.addresses.len(), 1);
}

#[rstest]
fn watch_sends_accepted_progress_and_in_force_in_order() {
    let mut process = Process::new(identity("replica", true));
    process.request(REQUEST, ApiRequest::Watch { from: None });

    let mut effects = process.commit(1);
    effects.extend(process.progress(progress(1, &[(3, 1, false)])));
    effects.extend(process.run_until_ms(500));
    effects.extend(process.progress(progress(1, &[(3, 3, false)])));

    let names: Vec<&str> = events(&effects)
        .iter()
        .map(|event| match event {
            WatchEvent::Started { .. } => "started",
            WatchEvent::Accepted { .. } => "accepted",
            WatchEvent::Progress(_) => "progress",
            WatchEvent::InForce { .. } => "in-force",
        })
        .collect();
    assert_eq!(names, ["accepted", "progress", "in-force"]);
}

#[rstest]
#[case::no_proxy_is_known(&[])]
#[case::one_proxy_is_behind(&[(3, 3, false), (3, 2, false)])]
#[case::a_zone_is_cut_off(&[(3, 3, false), (3, 3, true)])]
fn in_force_is_not_reported_early(#[case] zones: &[(u32, u32, bool)]) {
    let mut process = Process::new(identity("replica", true));
    process.request(REQUEST, ApiRequest::Watch { from: None });
    process.commit(1);

    let mut effects = process.progress(progress(1, zones));
    effects.extend(process.run_until_ms(1_000));

    let in_force = |event: &WatchEvent| matches!(event, WatchEvent::InForce { .. });
    assert!(!events(&effects).iter().any(in_force), "{effects:?}");
}

#[rstest]
fn watch_that_resumes_gets_what_it_missed_and_nothing_older() {
    let mut process = Process::new(identity("replica", true));
    for version in 1..=4 {
        process.commit(version);
    }
    process.progress(progress(4, &[(2, 2, false)]));

    let effects = process.request(REQUEST, ApiRequest::Watch { from: Some(Version(2)) });

    let events = events(&effects);
    assert_eq!(events[0], WatchEvent::Started { version: Version(4), in_force: Version(4) });
    let accepted = |event: &WatchEvent| match event {
        WatchEvent::Accepted { version, .. } => Some(version.0),
        _ => None,
    };
    assert_eq!(events.iter().filter_map(accepted).collect::<Vec<_>>(), [3, 4]);
    assert_eq!(events.last(), Some(&WatchEvent::InForce { version: Version(4), proxies: 2 }));
}

#[rstest]
fn watch_from_a_compacted_version_is_refused() {
    let mut process = Process::new(identity("replica", true));
    for version in 1..=MAX_HISTORY_EVENTS as u64 + 10 {
        process.commit(version);
    }

    let effects = process.request(REQUEST, ApiRequest::Watch { from: Some(Version(5)) });

    assert_eq!(error_code(&effects), Some(ErrorCode::Compacted));
}

/// Lease of the announcements, in milliseconds.
const LEASE_MS: u32 = 5_000;

fn announcement(order: AnnouncementOrder) -> TargetAnnouncement {
    TargetAnnouncement {
        target: TargetId { service: name("seatdesk"), id: name("a") },
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        slots: 12,
        connections: 120,
        lease_ms: LEASE_MS,
        load_percent: None,
        draining: false,
        cold_ms: 0,
        order: Some(order),
    }
}

// Guards against one odd announcement, of another writer, after which all later ones of the target
// count as older: its lease expires although it goes on announcing itself.
#[rstest]
#[case::start_far_in_the_future(AnnouncementOrder { started_unix_ms: u64::MAX, sequence: 1 })]
#[case::start_in_other_units(AnnouncementOrder { started_unix_ms: 1_800_000_000_000_000, sequence: 1 })]
#[case::number_too_high(AnnouncementOrder { started_unix_ms: 1, sequence: u64::MAX })]
fn an_odd_announcement_does_not_silence_its_target(#[case] odd: AnnouncementOrder) {
    let mut process = Process::new(identity("host", false));
    let announce = |process: &mut Process, order| {
        process.request(REQUEST, ApiRequest::Announce(announcement(order)))
    };

    let refused = announce(&mut process, odd);
    for sequence in 1..=5 {
        announce(&mut process, AnnouncementOrder { started_unix_ms: 1, sequence });
        process.run_until_ms(process.now.as_ms() + u64::from(LEASE_MS) / 2);
    }

    assert_eq!(error_code(&refused), Some(ErrorCode::Invalid));
    let states: Vec<_> = process.membership.targets().map(|target| target.state).collect();
    assert_eq!(states, [TargetState::Ready]);
}
