//! Distributes the calls of a route over services by weight.
//!
//! Each proxy steps through a low-discrepancy sequence for each route, starting at a random
//! position: the shares are accurate after few calls at one proxy, and the proxies do not all
//! start with the same service.

use rand::Rng;
use rand::rngs::SmallRng;

use super::table::RouteRule;
use crate::collections::HashMap;
use crate::ids::Name;

/// The fractional part of the golden ratio times 2^64: steps of this size fill a range evenly.
const STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Position of this proxy in the sequence of each route.
#[derive(Debug, Default)]
pub(super) struct Splits {
    positions: HashMap<Name, u64>,
}

impl Splits {
    /// The service for the next call of a route.
    pub fn choose<'a>(&mut self, rng: &mut SmallRng, rule: &'a RouteRule) -> &'a Name {
        let total: u64 = rule.split.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return &rule.service;
        }
        let position = self.positions.entry(rule.route.clone()).or_insert_with(|| rng.random());
        *position = position.wrapping_add(STEP);
        let mut point = (u128::from(*position) * u128::from(total)) >> 64;
        for part in &rule.split {
            let weight = u128::from(part.weight);
            if point < weight {
                return &part.service;
            }
            point -= weight;
        }
        &rule.service
    }

    /// Removes routes that are no longer declared.
    pub fn retain(&mut self, is_declared: impl Fn(&Name) -> bool) {
        self.positions.retain(|route, _| is_declared(route));
    }
}
