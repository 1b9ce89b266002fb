//! Outcomes of changes with an idempotency key.
//!
//! They are part of the replicated state: every replica stores the same ones,
//! so a resend to any leader returns the first outcome.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ChangeOutcome;
use super::encoded::encoded_bytes;
use crate::api::{ApiError, ErrorCode};
use crate::collections::HashMap;
use crate::config::ChangeSet;
use crate::ids::{ContentHash, IdempotencyKey};

/// Most outcomes that are kept. The oldest is evicted first.
pub const MAX_OUTCOMES: usize = 4096;

/// Longest time that an outcome is kept, in milliseconds by the timestamps of the log entries.
pub const MAX_OUTCOME_AGE_MS: u64 = 24 * 60 * 60 * 1000;

/// Most bytes of the kept outcomes when encoded. The oldest is evicted first.
///
/// Together with [`MAX_RESOURCES`](crate::config::MAX_RESOURCES), this limit keeps a snapshot
/// within one message.
pub const MAX_OUTCOME_BYTES: usize = 1024 * 1024;

/// Most findings of a refusal that are kept for a resend.
const MAX_KEPT_FINDINGS: usize = 16;

/// The outcome of one change with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// Key of the change.
    pub key: IdempotencyKey,
    /// Hash of the change set, to detect another change set under the same key.
    pub hash: ContentHash,
    /// Unix time of the log entry, in milliseconds.
    pub unix_ms: u64,
    /// The outcome.
    pub outcome: ChangeOutcome,
}

/// Outcomes by key, bounded by [`MAX_OUTCOMES`], [`MAX_OUTCOME_BYTES`] and
/// [`MAX_OUTCOME_AGE_MS`].
#[derive(Clone, Debug, Default)]
pub(super) struct Outcomes {
    /// Oldest first, each with its encoded size in bytes.
    by_age: VecDeque<(Arc<OutcomeRecord>, usize)>,
    bytes: usize,
    by_key: HashMap<IdempotencyKey, Arc<OutcomeRecord>>,
}

impl Outcomes {
    pub(super) fn from_records(records: &[OutcomeRecord]) -> Self {
        let mut outcomes = Self::default();
        for record in records {
            outcomes.push(record.clone());
        }
        outcomes
    }

    pub(super) fn to_records(&self) -> Vec<OutcomeRecord> {
        self.by_age.iter().map(|(record, _)| (**record).clone()).collect()
    }

    /// The stored outcome for this key, or a conflict where the key belongs to another change
    /// set.
    pub(super) fn find(&self, key: &IdempotencyKey, changes: &ChangeSet) -> Option<ChangeOutcome> {
        let record = self.by_key.get(key)?;
        if record.hash == hash_of(changes) {
            return Some(record.outcome.clone());
        }
        let message = "the Idempotency-Key was used for another change set; use a new key";
        Some(ChangeOutcome::Refused(ApiError::new(ErrorCode::Conflict, message)))
    }

    /// Stores the outcome of a change set with the time of its log entry.
    pub(super) fn insert(
        &mut self,
        key: &IdempotencyKey,
        changes: &ChangeSet,
        unix_ms: u64,
        outcome: &ChangeOutcome,
    ) {
        let mut outcome = outcome.clone();
        if let ChangeOutcome::Refused(error) = &mut outcome {
            error.findings.truncate(MAX_KEPT_FINDINGS);
            // Resources would make the outcomes large, and a resend does not need them.
            error.findings.iter_mut().for_each(|finding| finding.current = None);
        }
        self.push(OutcomeRecord { key: key.clone(), hash: hash_of(changes), unix_ms, outcome });
    }

    /// Removes the outcomes that are too old at this timestamp of the log.
    pub(super) fn expire(&mut self, unix_ms: u64) {
        let is_old = |(record, _): &(Arc<OutcomeRecord>, usize)| {
            unix_ms.saturating_sub(record.unix_ms) > MAX_OUTCOME_AGE_MS
        };
        while self.by_age.front().is_some_and(is_old) {
            self.pop();
        }
    }

    fn push(&mut self, record: OutcomeRecord) {
        let bytes = encoded_bytes(&record);
        let record = Arc::new(record);
        self.by_key.insert(record.key.clone(), Arc::clone(&record));
        self.by_age.push_back((record, bytes));
        self.bytes += bytes;
        while self.by_age.len() > MAX_OUTCOMES || self.bytes > MAX_OUTCOME_BYTES {
            self.pop();
        }
    }

    fn pop(&mut self) {
        if let Some((record, bytes)) = self.by_age.pop_front() {
            self.bytes -= bytes;
            self.by_key.remove(&record.key);
        }
    }
}

fn hash_of(changes: &ChangeSet) -> ContentHash {
    // The leader narrows the change set of a release before it is logged, so a release is
    // identified by its content.
    if let Some(step) = changes.release() {
        return step.content;
    }
    let mut hasher = blake3::Hasher::new();
    ciborium::into_writer(changes, &mut hasher).expect("writing to a hasher cannot fail");
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    ContentHash(hash)
}
