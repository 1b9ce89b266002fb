//! The demand of one organisation, what was admitted, and the agreed bounds.

use fireflylug_core::ids::Name;
use fireflylug_core::quota::QuotaLimit;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::world::{SECOND, name};

/// Window over which the calls of an organisation are bounded.
const WINDOW: u64 = 5 * SECOND;

pub struct Organisation {
    pub name: Name,
    /// Limits and when they came into force.
    pub limits: Vec<(u64, QuotaLimit)>,
    pub usual_per_s: f64,
    /// Begin, end and factor of bursts of demand.
    pub bursts: Vec<(u64, u64, f64)>,
    cumulative_weights: Vec<f64>,
    pub admitted: Vec<u64>,
    pub refused: Vec<u64>,
}

impl Organisation {
    pub fn new(text: &str, rate_per_s: f64, burst: f64, weights: &[f64]) -> Self {
        let mut organisation = Self {
            name: name(text),
            limits: vec![(0, QuotaLimit { rate_per_s, burst })],
            usual_per_s: rate_per_s / 1.6,
            bursts: Vec::new(),
            cumulative_weights: Vec::new(),
            admitted: Vec::new(),
            refused: Vec::new(),
        };
        organisation.set_weights(weights);
        organisation
    }

    pub fn limit(&self) -> QuotaLimit {
        self.limits.last().expect("there is a limit").1
    }

    pub fn set_weights(&mut self, weights: &[f64]) {
        let mut sum = 0.0;
        self.cumulative_weights = weights
            .iter()
            .map(|weight| {
                sum += weight;
                sum
            })
            .collect();
    }

    pub fn choose_host(&self, rng: &mut SmallRng) -> usize {
        let sum = self.cumulative_weights.last().expect("there are hosts");
        let point = rng.random::<f64>() * sum;
        self.cumulative_weights.partition_point(|weight| *weight <= point)
    }

    pub fn demand_per_s(&self, now: u64) -> f64 {
        let burst = self.bursts.iter().find(|(from, to, _)| (*from..*to).contains(&now));
        self.usual_per_s * burst.map_or(1.0, |(_, _, factor)| *factor)
    }

    /// The largest excess over the bound in any window: calls, bound and end of the window. A
    /// lower limit binds 5 s after it came into force.
    pub fn worst_window(&self) -> (usize, f64, u64) {
        let mut first = 0;
        let mut worst = (0, f64::MAX, 0);
        for (last, end) in self.admitted.iter().enumerate() {
            while self.admitted[first] + WINDOW <= *end {
                first += 1;
            }
            let calls = last - first + 1;
            let bound = self.bound(self.admitted[first], *end);
            if (calls as f64) - bound > (worst.0 as f64) - worst.1 {
                worst = (calls, bound, *end);
            }
        }
        worst
    }

    fn bound(&self, from: u64, to: u64) -> f64 {
        let mut bound: f64 = 0.0;
        for (index, (at, limit)) in self.limits.iter().enumerate() {
            let end = self.limits.get(index + 1).map_or(u64::MAX, |(next, _)| next + WINDOW);
            if *at <= to && from < end {
                bound = bound.max((limit.rate_per_s * 5.0 + limit.burst) * 1.1 + 20.0);
            }
        }
        bound
    }

    /// Share of the decided calls that was refused from a time on.
    pub fn refused_share(&self, from: u64) -> f64 {
        let count = |times: &[u64]| times.iter().filter(|at| **at >= from).count() as f64;
        let refused = count(&self.refused);
        refused / (count(&self.admitted) + refused).max(1.0)
    }
}
