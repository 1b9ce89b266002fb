//! Startup of a replica at its first event: handles recovery notices and the owner of the data
//! folder, and resets the storage where it cannot be trusted.

use std::sync::Arc;

use rand::Rng;

use super::ControlOutput;
use super::disk::DiskWrite;
use super::entry::{DiskId, HardState, VoterSet};
use super::floors::Floors;
use super::log::Log;
use super::replica::ControlReplica;
use super::role::{Bootstrap, Role};
use super::state_machine::StateMachine;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};

/// Results of opening the disk that are handled at the first event.
#[derive(Debug)]
pub(super) struct PendingStart {
    pub(super) owner: Option<NodeId>,
    pub(super) notices: Vec<String>,
}

impl ControlReplica {
    /// Starts the replica at its first event. Returns false where its disk has failed and it
    /// must not take part in consensus.
    pub(super) fn ensure_started(&mut self, cx: &mut Context<'_>) -> bool {
        if let Some(start) = self.pending_start.take() {
            for notice in start.notices {
                cx.log(LogLevel::Warn, LogPart::Disk, notice);
            }
            match start.owner {
                None => {
                    self.storage.write(cx, DiskWrite::Owner(cx.me.id));
                }
                Some(owner) if owner != cx.me.id => {
                    let text =
                        "The data folder belongs to another host; resetting it to an empty one.";
                    cx.log(LogLevel::Warn, LogPart::Disk, text.to_owned());
                    self.reset_storage(cx);
                }
                Some(_) => {}
            }
            self.publish_recovered(cx);
            self.start_role(cx);
        }
        !self.storage.has_failed()
    }

    fn publish_recovered(&mut self, cx: &mut Context<'_>) {
        let configuration = self.state_machine.configuration();
        if configuration.version() > Version(0) {
            let version = configuration.version();
            let text = format!("Recovered committed version {version} from disk.");
            cx.log(LogLevel::Info, LogPart::Consensus, text);
            let configuration = Arc::clone(configuration);
            self.output(ControlOutput::Recovered(configuration));
        }
    }

    fn start_role(&mut self, cx: &mut Context<'_>) {
        if matches!(self.role, Role::Blank(_)) {
            self.begin_bootstrap(cx);
            return;
        }
        self.floors.begin_confirmation();
        self.confirm_on_quorum(cx);
        // A sole voter needs no confirmation by others and has no leader to wait for.
        if self.floors.is_confirmed() {
            self.role_deadline = cx.now;
        } else {
            self.role_deadline = self.election_deadline(cx);
            self.send_hellos(cx);
        }
    }

    /// Resets the data folder under a new storage identity. Votes and acknowledged
    /// entries may be missing from it, so this replica must not vote under the old
    /// identity.
    pub(super) fn reset_storage(&mut self, cx: &mut Context<'_>) {
        self.disk = DiskId(cx.rng.random());
        self.generation = 1;
        self.storage.write(cx, DiskWrite::Reset { disk: self.disk, owner: cx.me.id });
        self.hard_state = HardState::default();
        self.role = Role::Blank(Bootstrap::default());
        self.leader = None;
        self.log = Log::new(0, 0);
        self.pending_voters.clear();
        self.state_machine = StateMachine::default();
        self.commit_index = 0;
        self.verified_index = 0;
        self.first_voters = VoterSet::default();
        self.floors = Floors::default();
        self.unsent_votes.clear();
        self.is_confirmed = false;
        self.is_publishing = false;
        self.caught_up_at = None;
        self.outputs.clear();
        self.hello_at = cx.now;
    }
}
