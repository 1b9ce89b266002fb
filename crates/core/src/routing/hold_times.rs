//! Times for which calls hold a slot of one target, as observed by its owner.
//!
//! A target may state how long work takes on its machine at this moment. Observed times are
//! stored as they would have been at the usual pace, and returned for the present one.

use super::call::CallClass;
use super::estimate::{ByClass, Estimate};

/// A class of calls is short if its mean hold time is at most the longest mean of a class
/// divided by this number.
const SHORT_HOLD_DIVISOR: u64 = 2;
/// The same, for classes that are assumed to be calls of running requests. Classes of new work
/// often differ by a factor of two to three in their hold times (120 to 300 ms on the users'
/// platform), calls of running requests by more (30 to 40 ms).
const NESTED_HOLD_DIVISOR: u64 = 3;

/// Hold times over all calls and by class.
#[derive(Debug)]
pub(super) struct HoldTimes {
    all: Estimate,
    by_class: ByClass<Estimate>,
    /// How long work takes at this moment, in percent of the usual time.
    pace_percent: u32,
}

impl Default for HoldTimes {
    fn default() -> Self {
        let (all, by_class) = (Estimate::default(), ByClass::default());
        Self { all, by_class, pace_percent: 100 }
    }
}

impl HoldTimes {
    /// Sets how long work takes at this moment, in percent of the usual time.
    pub fn set_pace(&mut self, percent: u32) {
        self.pace_percent = percent;
    }

    /// Records the hold time of a call, in microseconds, and the mean pace during the call.
    pub fn observe(&mut self, class: CallClass, us: u64, pace_percent: u32) {
        let us = us * 100 / u64::from(pace_percent.max(1));
        self.all.observe(us);
        if let Some(estimate) = self.by_class.entry(class) {
            estimate.observe(us);
        }
    }

    fn at_pace(&self, us: u64) -> u64 {
        us * u64::from(self.pace_percent) / 100
    }

    /// Mean over all calls, in microseconds.
    pub fn mean_us(&self) -> u64 {
        self.at_pace(self.all.mean_us())
    }

    /// Mean of a class, in microseconds.
    pub fn mean_us_of(&self, class: CallClass) -> u64 {
        self.at_pace(self.of(class).mean_us())
    }

    /// Time that few calls of a class exceed, in microseconds.
    pub fn high_us(&self, class: CallClass) -> u64 {
        let estimate = self.of(class);
        self.at_pace(estimate.mean_us() + estimate.deviation_us())
    }

    /// Whether calls of a class hold their slot for a short time, compared with the class that
    /// holds it longest.
    pub fn is_short(&self, class: CallClass) -> bool {
        self.is_shorter(class, SHORT_HOLD_DIVISOR)
    }

    /// Whether calls of a class hold their slot for so short a time that running requests
    /// probably make them.
    pub fn is_nested(&self, class: CallClass) -> bool {
        self.is_shorter(class, NESTED_HOLD_DIVISOR)
    }

    fn is_shorter(&self, class: CallClass, divisor: u64) -> bool {
        let Some(estimate) = self.by_class.get(class) else { return false };
        let longest_us = self.by_class.values().map(Estimate::mean_us).max().unwrap_or(0);
        estimate.mean_us() * divisor <= longest_us
    }

    /// The estimate of a class; that of all calls if the class was not observed.
    fn of(&self, class: CallClass) -> &Estimate {
        self.by_class.get(class).unwrap_or(&self.all)
    }
}
