//! Linearizable reads by read index: a read is answered once a quorum has
//! confirmed the leader after the read arrived, and every entry that was
//! committed before the read is applied.

use std::sync::Arc;

use super::message::ConsensusMessage;
use super::pending::{Read, RemoteRead};
use super::replica::ControlReplica;
use super::role::Role;
use super::{ControlOutput, Origin, READ_TIMEOUT_MS};
use crate::api::{ApiError, ErrorCode};
use crate::context::Context;
use crate::ids::NodeId;

impl ControlReplica {
    /// Requests a linearizable read. The result is output as a [`ControlOutput::Read`].
    pub fn read(&mut self, cx: &mut Context<'_>, origin: Origin) {
        match (&self.role, self.leader) {
            _ if self.storage.has_failed() => self.refuse_read(origin),
            (Role::Leader(_), _) => self.queue_read(cx, origin, None),
            (_, Some(leader)) => {
                self.pending.remote_reads.insert(origin, RemoteRead::new(cx.now));
                cx.send(leader, ConsensusMessage::ReadRequest { origin });
            }
            (_, None) => self.refuse_read(origin),
        }
    }

    pub(super) fn handle_read_request(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        origin: Origin,
    ) {
        if matches!(self.role, Role::Leader(_)) {
            self.queue_read(cx, origin, Some(from));
        } else {
            cx.send(from, ConsensusMessage::ReadResponse { origin, index: None });
        }
    }

    pub(super) fn handle_read_response(&mut self, origin: Origin, index: Option<u64>) {
        let Some(read) = self.pending.remote_reads.get_mut(&origin) else { return };
        match index {
            Some(_) => {
                read.index = index;
                self.answer_remote_reads();
            }
            None => {
                self.pending.remote_reads.remove(&origin);
                self.refuse_read(origin);
            }
        }
    }

    fn queue_read(&mut self, cx: &mut Context<'_>, origin: Origin, follower: Option<NodeId>) {
        let Role::Leader(leadership) = &self.role else { return };
        // A heartbeat that was sent before the read does not confirm the leader for it.
        let round = leadership.round + 1;
        // Before its first entry is committed, a leader's commit index may be outdated.
        let index = self.commit_index.max(leadership.first_index);
        let deadline = cx.now.plus_ms(READ_TIMEOUT_MS);
        self.pending.reads.push_back(Read { origin, follower, index, round, deadline });
        self.send_heartbeats(cx);
        self.answer_reads(cx);
    }

    /// Answers the reads whose heartbeat round a quorum has echoed.
    pub(super) fn answer_reads(&mut self, cx: &mut Context<'_>) {
        let Role::Leader(leadership) = &self.role else { return };
        if self.pending.reads.is_empty() {
            return;
        }
        let me = self.me(cx);
        let round = self.quorum_value(|voter| {
            if *voter == me {
                return u64::MAX;
            }
            let peer = leadership.peers.get(&voter.node);
            peer.filter(|peer| peer.has_disk(voter.disk)).map_or(0, |peer| peer.echoed_round)
        });
        while let Some(read) = self.pending.reads.front()
            && read.round <= round
            && read.index <= self.state_machine.index()
            && let Some(read) = self.pending.reads.pop_front()
        {
            let index = Some(read.index);
            match read.follower {
                Some(to) => {
                    cx.send(to, ConsensusMessage::ReadResponse { origin: read.origin, index });
                }
                None => self.complete_read(read.origin),
            }
        }
    }

    /// Answers the reads requested at this follower whose read index is applied.
    pub(super) fn answer_remote_reads(&mut self) {
        let applied = self.state_machine.index();
        let is_ready = |read: &RemoteRead| read.index.is_some_and(|index| index <= applied);
        let reads = self.pending.remote_reads.iter();
        let ready: Vec<_> =
            reads.filter(|(_, read)| is_ready(read)).map(|(origin, _)| *origin).collect();
        for origin in ready {
            self.pending.remote_reads.remove(&origin);
            self.complete_read(origin);
        }
    }

    /// Refuses every pending read at this leader.
    pub(super) fn refuse_reads(&mut self, cx: &mut Context<'_>) {
        while let Some(read) = self.pending.reads.pop_front() {
            self.refuse_queued_read(cx, &read);
        }
    }

    /// Refuses the reads whose deadline has passed.
    pub(super) fn refuse_expired_reads(&mut self, cx: &mut Context<'_>) {
        while let Some(read) = self.pending.reads.front()
            && read.deadline <= cx.now
            && let Some(read) = self.pending.reads.pop_front()
        {
            self.refuse_queued_read(cx, &read);
        }
        let remote = self.pending.remote_reads.iter();
        let expired: Vec<_> =
            remote.filter(|(_, read)| read.deadline <= cx.now).map(|(origin, _)| *origin).collect();
        for origin in expired {
            self.pending.remote_reads.remove(&origin);
            self.refuse_read(origin);
        }
    }

    /// Sends the read requests again whose response is late.
    pub(super) fn resend_read_requests(&mut self, cx: &mut Context<'_>) {
        let due = self.pending.take_reads_to_resend(cx.now);
        let Some(leader) = self.leader.filter(|leader| *leader != cx.me.id) else { return };
        for origin in due {
            cx.send(leader, ConsensusMessage::ReadRequest { origin });
        }
    }

    /// Refuses every read at this follower that waits for the leader.
    pub(super) fn refuse_remote_reads(&mut self) {
        for origin in std::mem::take(&mut self.pending.remote_reads).into_keys() {
            self.refuse_read(origin);
        }
    }

    fn refuse_queued_read(&mut self, cx: &mut Context<'_>, read: &Read) {
        match read.follower {
            Some(to) => {
                let origin = read.origin;
                cx.send(to, ConsensusMessage::ReadResponse { origin, index: None });
            }
            None => self.refuse_read(read.origin),
        }
    }

    fn complete_read(&mut self, origin: Origin) {
        let configuration = Arc::clone(self.state_machine.configuration());
        self.output(ControlOutput::Read(origin, Ok(configuration)));
    }

    fn refuse_read(&mut self, origin: Origin) {
        let message =
            "this control replica has no contact with a quorum; send the request to another one";
        let error = ApiError::new(ErrorCode::Unavailable, message);
        self.output(ControlOutput::Read(origin, Err(error)));
    }
}
