//! Ejection of a target by the outcomes of its calls.

use crate::time::Instant;

/// Failures in a row after which a target is ejected.
const MAX_FAILURES: u32 = 4;
/// First time for which a target is ejected, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Ejections in a row that double the time.
const MAX_DOUBLINGS: u32 = 5;

/// Whether a target may be given calls, by its outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
}

impl Health {
    /// A call went well: the target is given calls again.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// A call failed. Returns whether the target ought to be ejected.
    pub fn fail(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        self.failures >= MAX_FAILURES || self.ejected_until.is_some()
    }

    /// Ejects the target, or again where its last ejection is over.
    pub fn eject(&mut self, now: Instant) {
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejections = self.ejections.saturating_add(1);
        self.probing = false;
        self.ejected_until = Some(now.plus_ms(FIRST_EJECTION_MS << doublings));
    }

    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether an ejected target may be given one call to see how it goes.
    pub fn may_probe(&self, now: Instant) -> bool {
        !self.probing && self.ejected_until.is_some_and(|until| until <= now)
    }

    pub fn begin_probe(&mut self) {
        self.probing = true;
    }

    /// A probe ended without saying anything of the target.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }
}
