//! The replicated state machine: applying the same committed entries yields the same state
//! on every replica.

use std::sync::Arc;

use super::ChangeOutcome;
use super::entry::{Entry, Payload, VoterSet};
use super::outcomes::Outcomes;
use super::snapshot::Snapshot;
use crate::api::{ApiError, ErrorCode};
use crate::config::{ChangeRequest, Configuration, FindingCode};

/// The state after the last applied entry.
#[derive(Debug, Default)]
pub(super) struct StateMachine {
    index: u64,
    term: u64,
    unix_ms: u64,
    voters: VoterSet,
    configuration: Arc<Configuration>,
    outcomes: Outcomes,
}

impl StateMachine {
    pub(super) fn from_snapshot(snapshot: &Snapshot) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            unix_ms: snapshot.unix_ms,
            voters: snapshot.voters.clone(),
            configuration: snapshot.configuration(),
            outcomes: Outcomes::from_records(&snapshot.outcomes),
        }
    }

    pub(super) fn to_snapshot(&self) -> Snapshot {
        Snapshot {
            index: self.index,
            term: self.term,
            unix_ms: self.unix_ms,
            voters: self.voters.clone(),
            version: self.configuration.version(),
            resources: self.configuration.resources().values().cloned().collect(),
            outcomes: self.outcomes.to_records(),
        }
    }

    /// Index of the last applied entry.
    pub(super) fn index(&self) -> u64 {
        self.index
    }

    /// Unix time of that entry, in milliseconds.
    pub(super) fn unix_ms(&self) -> u64 {
        self.unix_ms
    }

    pub(super) fn voters(&self) -> &VoterSet {
        &self.voters
    }

    pub(super) fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Applies the next entry. Returns the outcome of a change; none for a no-op.
    pub(super) fn apply(&mut self, entry: &Entry) -> Option<ChangeOutcome> {
        self.index = entry.index;
        self.term = entry.term;
        self.unix_ms = entry.unix_ms;
        match &entry.payload {
            Payload::Noop => None,
            Payload::Voters(voters) => {
                self.voters = voters.clone();
                Some(ChangeOutcome::Accepted { version: self.configuration.version() })
            }
            Payload::Change { change, .. } => Some(self.apply_change(change)),
        }
    }

    fn apply_change(&mut self, change: &ChangeRequest) -> ChangeOutcome {
        self.outcomes.expire(self.unix_ms);
        if let Some(key) = &change.key
            && let Some(first) = self.outcomes.find(key, &change.changes)
        {
            return first;
        }
        let outcome = self.apply_change_set(change);
        if let Some(key) = &change.key {
            self.outcomes.insert(key, &change.changes, self.unix_ms, &outcome);
        }
        outcome
    }

    fn apply_change_set(&mut self, change: &ChangeRequest) -> ChangeOutcome {
        match self.configuration.apply(&change.changes) {
            Ok(next) => {
                let version = next.version();
                if version != self.configuration.version() {
                    self.configuration = Arc::new(next);
                }
                ChangeOutcome::Accepted { version }
            }
            Err(findings) => {
                let is_race = |code| code == FindingCode::VersionMismatch;
                let (code, message) = if findings.iter().any(|finding| is_race(finding.code)) {
                    (ErrorCode::Conflict, "a resource is not at the expected version")
                } else {
                    (ErrorCode::Invalid, "the change set is invalid; nothing of it was applied")
                };
                ChangeOutcome::Refused(ApiError::new(code, message).with_findings(findings))
            }
        }
    }
}
