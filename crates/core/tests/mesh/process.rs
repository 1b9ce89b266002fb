//! One process of the simulated mesh: membership and distribution.

use fireflylug_core::context::{Context, Identity};
use fireflylug_core::distribution::{Distribution, Progress};
use fireflylug_core::ids::NodeId;
use fireflylug_core::membership::{Membership, MembershipChange};
use fireflylug_core::message::PeerMessage;
use fireflylug_core::{Effect, Event, Instant};
use rand::rngs::SmallRng;

/// A running process.
pub struct Process {
    pub me: Identity,
    pub membership: Membership,
    pub distribution: Distribution,
    pub progress: Option<Progress>,
    pub(super) rng: SmallRng,
    pub(super) started_us: u64,
    /// Whether a control replica counts as current, as it does under a leader.
    pub has_leader: bool,
}

impl Process {
    pub fn version(&self) -> u64 {
        self.distribution.current().version().0
    }

    pub(super) fn with_context<T>(
        &mut self,
        now_us: u64,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(&mut Self, &mut Context<'_>) -> T,
    ) -> T {
        let now = Instant::from_us(now_us - self.started_us);
        let mut rng = self.rng.clone();
        let me = self.me.clone();
        let mut cx = Context { now, rng: &mut rng, me: &me, effects };
        let result = act(self, &mut cx);
        self.rng = rng;
        result
    }

    pub(super) fn handle_event(&mut self, cx: &mut Context<'_>, event: Event) {
        match event {
            Event::Tick => {
                self.membership.tick(cx);
                self.distribution.tick(cx, &self.membership);
            }
            Event::PeerConnected { peer } => {
                self.membership.peer_connected(cx, peer);
                self.distribution.peer_connected(cx, &self.membership, peer);
            }
            Event::PeerDisconnected { peer } => {
                self.membership.peer_disconnected(cx, peer);
                self.distribution.peer_disconnected(cx, &self.membership, peer);
            }
            Event::PeerMessage { from, message } => {
                self.membership.record_contact(cx.now, from);
                self.handle_message(cx, from, message);
            }
            _ => {}
        }
    }

    fn handle_message(&mut self, cx: &mut Context<'_>, from: NodeId, message: PeerMessage) {
        match message {
            PeerMessage::Membership(message) => self.membership.step(cx, from, message),
            PeerMessage::Distribution(message) => {
                self.distribution.step(cx, &self.membership, from, message);
            }
            _ => {}
        }
    }

    pub(super) fn propagate_changes(&mut self, now_us: u64, effects: &mut Vec<Effect>) {
        self.with_context(now_us, effects, |process, cx| {
            for change in process.membership.take_changes() {
                let MembershipChange::Target(_) = change else {
                    process.distribution.membership_changed(cx, &process.membership, &change);
                    continue;
                };
            }
            process.distribution.take_new_configuration();
            if process.me.control && process.has_leader {
                process.distribution.record_control_contact(cx.now);
            }
            if let Some(progress) = process.distribution.take_progress() {
                process.progress = Some(progress);
            }
        });
    }
}
