//! Counts of calls against objectives, and the burn report.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fireflylug_core::Instant;
use fireflylug_core::config::{Configuration, StoredResource};
use fireflylug_core::context::{Addresses, Context, Identity};
use fireflylug_core::ids::{Locality, Name, NodeId, Version};
use fireflylug_core::membership::{Membership, MembershipSettings};
use fireflylug_core::message::PeerMessage;
use fireflylug_core::resource::{Objective, Policy, Resource};
use fireflylug_core::slo::{
    BurnRow, CallResult, CountKey, Counts, Leg, ObjectiveKind, Slo, SloMessage, Urgency,
};
use fireflylug_core::{Effect, slo};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const FAST_SUCCESS: CallResult = CallResult::Answered { is_success: true, took_us: 5_000 };
const SLOW_SUCCESS: CallResult = CallResult::Answered { is_success: true, took_us: 500_000 };

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

fn policy() -> Policy {
    // One call in a hundred may fail, one in ten may be slow.
    Policy::new(name("quick")).with_objective(Objective {
        availability_ppm: 990_000,
        latency_ms: 100,
        latency_ppm: 900_000,
    })
}

/// A control replica without other members, with a configuration of one objective.
struct Bench {
    slo: Slo,
    me: Identity,
    membership: Membership,
    rng: SmallRng,
    effects: Vec<Effect>,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let me = Identity {
            id: NodeId::of_host(&name("host-a")),
            host: name("host-a"),
            locality: Locality { region: name("r1"), availability_zone: name("z1") },
            incarnation: 1,
            started_unix_ms: 0,
            addresses: Addresses { peers: address, forward: address, api: address, calls: address },
            control: true,
            is_link_slow: false,
        };
        let membership = Membership::new(MembershipSettings::default(), &me);
        let rng = SmallRng::seed_from_u64(3);
        let now = Instant::from_ms(1);
        let mut bench = Self { slo: Slo::new(), me, membership, rng, effects: Vec::new(), now };
        let resource = Resource::Policy(policy());
        let stored = StoredResource { version: Version(1), resource: Arc::new(resource.clone()) };
        let resources = BTreeMap::from([(resource.key(), stored)]);
        let configuration = Arc::new(Configuration::new(Version(1), resources));
        bench.run(|slo, cx, _| slo.configure(cx, configuration));
        bench
    }

    fn run(&mut self, action: impl FnOnce(&mut Slo, &mut Context<'_>, &Membership)) {
        let mut cx =
            Context { now: self.now, rng: &mut self.rng, me: &self.me, effects: &mut self.effects };
        action(&mut self.slo, &mut cx, &self.membership);
    }

    fn count(&mut self, calls: u32, result: CallResult) {
        (0..calls).for_each(|_| self.slo.count(&name("seatdesk"), &policy(), result));
    }

    fn pass_minutes(&mut self, minutes: u64) {
        let end = self.now.plus_ms(minutes * 60_000);
        while self.slo.next_deadline() <= end {
            self.now = self.slo.next_deadline();
            self.run(|slo, cx, membership| slo.tick(cx, membership));
        }
        self.now = end;
    }

    fn row(&self, kind: ObjectiveKind) -> BurnRow {
        let report: slo::BurnReport = self.slo.report(self.now);
        let row = report.rows.into_iter().find(|row| row.objective == kind);
        row.expect("the objective has a row")
    }
}

#[test]
fn a_burn_of_one_spends_the_budget_exactly() {
    let mut bench = Bench::new();

    bench.count(990, FAST_SUCCESS);
    bench.count(10, CallResult::Refused);
    bench.pass_minutes(1);

    let row = bench.row(ObjectiveKind::Availability);
    assert_eq!((row.counted, row.bad, row.refused), (1_000, 10, 10));
    assert_eq!(row.burn.five_minutes_permille, 1_000);
    assert_eq!(row.budget_left_permille, 0);
}

#[test]
fn cancelled_calls_are_shown_apart() {
    let mut bench = Bench::new();

    bench.count(100, FAST_SUCCESS);
    bench.count(50, CallResult::Cancelled);
    bench.pass_minutes(1);

    let row = bench.row(ObjectiveKind::Availability);
    assert_eq!((row.counted, row.bad, row.cancelled), (100, 0, 50));
    assert_eq!(row.budget_left_permille, 1_000);
}

#[test]
fn a_slow_answer_counts_against_latency_alone() {
    let mut bench = Bench::new();

    bench.count(80, FAST_SUCCESS);
    bench.count(20, SLOW_SUCCESS);
    bench.pass_minutes(1);

    assert_eq!(bench.row(ObjectiveKind::Availability).bad, 0);
    assert_eq!(bench.row(ObjectiveKind::Latency).burn.one_hour_permille, 2_000);
}

#[test]
fn a_fault_that_has_ended_does_not_page() {
    let mut bench = Bench::new();
    bench.count(100, CallResult::Refused);
    bench.pass_minutes(1);
    let during = bench.row(ObjectiveKind::Availability);

    bench.pass_minutes(10);

    let after = bench.row(ObjectiveKind::Availability);
    assert_eq!(during.urgency, Urgency::Page);
    assert_eq!(after.burn.five_minutes_permille, 0);
    assert_ne!(after.urgency, Urgency::Page);
}

#[test]
fn counts_expire_from_the_windows() {
    let mut bench = Bench::new();
    bench.count(100, CallResult::Refused);

    bench.pass_minutes(7 * 60);

    let row = bench.row(ObjectiveKind::Availability);
    assert_eq!(row.burn.six_hours_permille, 0);
    assert_eq!(row.counted, 100);
}

#[test]
fn a_message_that_is_sent_again_counts_once() {
    let mut bench = Bench::new();
    let key = CountKey {
        service: name("seatdesk"),
        policy: name("quick"),
        availability_zone: name("z2"),
    };
    let counts = Counts { counted: 40, failed: 4, ..Counts::default() };
    let message = SloMessage::Counts {
        leg: Leg::Replica,
        incarnation: 1,
        sequence: 1,
        rows: vec![(key, counts)],
    };

    for _ in 0..2 {
        let message = message.clone();
        bench.run(|slo, cx, _| slo.step(cx, NodeId(5), message));
    }

    let row = bench.row(ObjectiveKind::Availability);
    assert_eq!((row.counted, row.bad), (40, 4));
    assert_eq!(row.worst.expect("a zone burns").availability_zone, name("z2"));
    let acknowledged = bench.effects.iter().filter(|effect| {
        let acknowledgement =
            |m: &PeerMessage| matches!(m, PeerMessage::Slo(SloMessage::Acknowledged { .. }));
        matches!(effect, Effect::Send { message, .. } if acknowledgement(message))
    });
    assert_eq!(acknowledged.count(), 2);
}

/// Puts another control replica into the membership, which then receives the counts of the zone.
fn add_replica(bench: &mut Bench) -> NodeId {
    let mut me = bench.me.clone();
    (me.host, me.id) = (name("host-b"), NodeId::of_host(&name("host-b")));
    let replica = me.id;
    let mut effects = Vec::new();
    let mut cx = Context { now: bench.now, rng: &mut bench.rng, me: &me, effects: &mut effects };
    Membership::new(MembershipSettings::default(), &me).peer_connected(&mut cx, bench.me.id);
    let mut cx =
        Context { now: bench.now, rng: &mut bench.rng, me: &bench.me, effects: &mut bench.effects };
    for effect in effects {
        if let Effect::Send { message: PeerMessage::Membership(message), .. } = effect {
            bench.membership.step(&mut cx, replica, message);
        }
    }
    replica
}

/// The counts that were sent last: leg, sequence number and number of calls.
fn last_counts(bench: &Bench) -> Option<(Leg, u64, u32)> {
    let counts = |effect: &Effect| match effect {
        Effect::Send {
            message: PeerMessage::Slo(SloMessage::Counts { leg, sequence, rows, .. }),
            ..
        } => Some((*leg, *sequence, rows.iter().map(|(_, counts)| counts.counted).sum())),
        _ => None,
    };
    bench.effects.iter().rev().find_map(counts)
}

// Guards against an acknowledgement of counts from before a restart dropping those of this run:
// sequence numbers begin anew with each run.
#[test]
fn an_acknowledgement_from_before_a_restart_drops_no_counts() {
    let mut bench = Bench::new();
    bench.me.incarnation = 2;
    let replica = add_replica(&mut bench);
    bench.count(7, FAST_SUCCESS);
    bench.pass_minutes(1);
    let (leg, sequence, calls) = last_counts(&bench).expect("the counts are sent");
    bench.effects.clear();

    let stale = SloMessage::Acknowledged { leg, incarnation: 1, sequence };
    bench.run(|slo, cx, _| slo.step(cx, replica, stale));
    bench.pass_minutes(1);
    let sent_again = last_counts(&bench);
    bench.effects.clear();
    let own = SloMessage::Acknowledged { leg, incarnation: 2, sequence };
    bench.run(|slo, cx, _| slo.step(cx, replica, own));
    bench.pass_minutes(1);

    assert_eq!(calls, 7);
    assert_eq!(sent_again, Some((leg, sequence, calls)));
    assert_eq!(last_counts(&bench), None);
}
