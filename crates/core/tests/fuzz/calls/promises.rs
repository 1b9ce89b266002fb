//! Checks the guarantees for calls.

use fireflylug_core::routing::Outcome;

use super::Calls;
use crate::targets::TargetStatus;

/// Time after a departure in which new work may still arrive, in microseconds.
const DEPARTURE_US: u64 = 3_000_000;

impl Calls {
    /// Records the outcome that the caller of a call receives.
    pub(super) fn report_outcome(&mut self, call: usize, outcome: Outcome) {
        let call = &mut self.calls[call];
        assert!(call.reported_outcome.is_none(), "promise 4: a call was answered twice");
        let has_run_unreported = outcome == Outcome::NotRun && call.runs > 0;
        assert!(!has_run_unreported, "promise 5: reported as not run, but it ran");
        call.reported_outcome = Some(outcome);
    }

    pub(super) fn record_run(&mut self, call: usize, target: usize, now_us: u64) {
        let call = &mut self.calls[call];
        call.runs += 1;
        call.ran_at = Some(target);
        self.rate_limits.record_run(target, call.host, now_us);
        let is_reported_not_run = call.reported_outcome == Some(Outcome::NotRun);
        assert!(!is_reported_not_run, "promise 5: ran after it was reported as not run");
        assert!(call.repeatable || call.runs == 1, "promise 6: a call ran {} times", call.runs);
        if let TargetStatus::Departing { departed_at_us } = self.targets[target].status {
            let is_late = now_us > departed_at_us + DEPARTURE_US;
            assert!(!is_late, "promise 7: target {target} received new work after its departure");
        }
    }

    /// Checks that a graceful stop cut off no call.
    pub fn check_stopped(&self, host: usize) {
        let cut_off_count =
            self.legs.values().filter(|leg| leg.host == host && !leg.is_abandoned).count();
        assert_eq!(cut_off_count, 0, "promise 8: calls were cut off by the stop of host {host}");
    }

    /// Checks that no caller still waits at a running process after the recovery.
    pub fn check_all_answered(&self) {
        let waiting_count = self.legs.values().filter(|leg| leg.upstream.is_none()).count();
        assert_eq!(waiting_count, 0, "promise 4: calls were never answered");
    }
}
