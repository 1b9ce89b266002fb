//! Smoothed estimates of observed times.

use super::call::CallClass;
use crate::collections::HashMap;

/// A new observation has a weight of one in this number.
const SMOOTHING: u64 = 8;
/// Number of observations from which on the high estimate is available.
const MIN_SAMPLES: u32 = 16;
/// Maximum number of call classes for which one target keeps separate estimates.
const MAX_CLASSES: usize = 64;

/// Smoothed mean and mean deviation of an observed time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    mean_us: u64,
    deviation_us: u64,
    samples: u32,
}

impl Estimate {
    pub fn observe(&mut self, us: u64) {
        if self.samples == 0 {
            self.mean_us = us;
            self.deviation_us = us / 2;
        } else {
            let error_us = us.abs_diff(self.mean_us);
            self.mean_us = (self.mean_us * (SMOOTHING - 1) + us) / SMOOTHING;
            self.deviation_us = (self.deviation_us * (SMOOTHING - 1) + error_us) / SMOOTHING;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Smoothed mean, in microseconds; 0 before the first observation.
    pub fn mean_us(&self) -> u64 {
        self.mean_us
    }

    /// Smoothed mean deviation, in microseconds.
    pub fn deviation_us(&self) -> u64 {
        self.deviation_us
    }

    /// A time that few observations exceed, in microseconds. None before enough observations.
    pub fn high_us(&self) -> Option<u64> {
        (self.samples >= MIN_SAMPLES).then(|| self.mean_us + 4 * self.deviation_us)
    }
}

/// Observations at one target by class of calls, for a limited number of classes.
#[derive(Clone, Debug)]
pub(super) struct ByClass<T>(HashMap<CallClass, T>);

impl<T> Default for ByClass<T> {
    fn default() -> Self {
        Self(HashMap::default())
    }
}

impl<T: Default> ByClass<T> {
    pub fn get(&self, class: CallClass) -> Option<&T> {
        self.0.get(&class)
    }

    /// The observations of every class.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.0.values()
    }

    /// The entry of a class. None if there are too many classes.
    pub fn entry(&mut self, class: CallClass) -> Option<&mut T> {
        let has_room = self.0.len() < MAX_CLASSES || self.0.contains_key(&class);
        has_room.then(|| self.0.entry(class).or_default())
    }
}
