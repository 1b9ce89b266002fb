//! Brings each version to every proxy, and acknowledgements back.
//!
//! Control replicas publish. One relay in each availability zone pulls from a
//! control replica; inside the availability zone proxies pass versions on.
//! A proxy swaps a whole verified version in, or nothing of it.

mod progress;

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use progress::{Progress, ZoneProgress};

use crate::config::Configuration;
use crate::context::Context;
use crate::ids::{ContentHash, NodeId, Version};
use crate::membership::{Membership, MembershipChange};
use crate::time::Instant;

/// Messages about versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DistributionMessage {
    /// The sender holds this version.
    Holds {
        /// The version.
        version: Version,
        /// Hash of its content.
        hash: ContentHash,
    },
    /// A whole version.
    Snapshot {
        /// The version.
        version: Version,
        /// Its resources.
        resources: Vec<crate::config::StoredResource>,
    },
}

/// Settings of distribution.
#[derive(Clone, Debug, Default)]
pub struct DistributionSettings {}

/// What the process holds and knows of what others hold.
pub struct Distribution {
    current: Arc<Configuration>,
    applied: bool,
    peers: BTreeSet<NodeId>,
}

impl Distribution {
    /// Makes the state of a process that holds nothing.
    pub fn new(_settings: DistributionSettings) -> Self {
        Self { current: Arc::default(), applied: false, peers: BTreeSet::new() }
    }

    /// The version in force at this process. Version 0 holds nothing.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Whether the process may serve calls: it holds a version and is not below
    /// one that it had acknowledged before it was restarted.
    pub fn is_ready(&self) -> bool {
        self.current.version() > Version(0)
    }

    /// A control replica learned that a version is committed.
    pub fn publish(&mut self, cx: &mut Context<'_>, committed: Arc<Configuration>) {
        if committed.version() > self.current.version() {
            self.apply(cx, committed);
        }
    }

    fn apply(&mut self, cx: &mut Context<'_>, next: Arc<Configuration>) {
        self.current = next;
        self.applied = true;
        for peer in &self.peers {
            cx.send(*peer, self.snapshot());
        }
    }

    fn snapshot(&self) -> DistributionMessage {
        let resources = self.current.resources().values().cloned().collect();
        DistributionMessage::Snapshot { version: self.current.version(), resources }
    }

    /// Takes the version that came into force at this process since the last call.
    pub fn take_applied(&mut self) -> Option<Arc<Configuration>> {
        std::mem::take(&mut self.applied).then(|| Arc::clone(&self.current))
    }

    /// Takes the progress over all availability zones if it changed since the
    /// last call. Control replicas only.
    pub fn take_progress(&mut self) -> Option<Progress> {
        None
    }

    /// When [`Distribution::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        Instant::NEVER
    }

    /// Does what is due.
    pub fn tick(&mut self, _cx: &mut Context<'_>, _membership: &Membership) {}

    /// The view of hosts changed.
    pub fn membership_changed(
        &mut self,
        _cx: &mut Context<'_>,
        _membership: &Membership,
        _change: &MembershipChange,
    ) {
    }

    /// A connection to another process is ready.
    pub fn peer_connected(&mut self, cx: &mut Context<'_>, _m: &Membership, peer: NodeId) {
        self.peers.insert(peer);
        if self.current.version() > Version(0) {
            cx.send(peer, self.snapshot());
        }
    }

    /// The last connection to another process closed.
    pub fn peer_disconnected(&mut self, _cx: &mut Context<'_>, _m: &Membership, peer: NodeId) {
        self.peers.remove(&peer);
    }

    /// A message from another process.
    pub fn step(
        &mut self,
        cx: &mut Context<'_>,
        _membership: &Membership,
        _from: NodeId,
        message: DistributionMessage,
    ) {
        let DistributionMessage::Snapshot { version, resources } = message else { return };
        if version > self.current.version() {
            let keyed = resources.into_iter().map(|stored| (stored.resource.key(), stored));
            let next = Configuration::new(version, keyed.collect());
            self.apply(cx, Arc::new(next));
        }
    }
}
