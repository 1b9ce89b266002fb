//! Spreads the calls of a route over services by weight.
//!
//! Each proxy steps through a low-discrepancy sequence for each route, from a
//! place at random: the shares are close after few calls at one proxy, and
//! proxies do not all begin with the same service.

use rand::Rng;
use rand::rngs::SmallRng;

use super::table::RouteRule;
use crate::collections::HashMap;
use crate::ids::Name;

/// The golden ratio's fraction of 2^64: steps by it fill a range evenly.
const STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Where this proxy is in the sequence of each route.
#[derive(Debug, Default)]
pub(super) struct Splits {
    places: HashMap<Name, u64>,
}

impl Splits {
    /// The service for the next call of a route.
    pub fn choose<'a>(&mut self, rng: &mut SmallRng, rule: &'a RouteRule) -> &'a Name {
        let total: u64 = rule.split.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return &rule.service;
        }
        let place = self.places.entry(rule.route.clone()).or_insert_with(|| rng.random());
        *place = place.wrapping_add(STEP);
        let mut point = (u128::from(*place) * u128::from(total)) >> 64;
        for part in &rule.split {
            let weight = u128::from(part.weight);
            if point < weight {
                return &part.service;
            }
            point -= weight;
        }
        &rule.service
    }

    /// Forgets routes that are declared no more.
    pub fn retain(&mut self, is_declared: impl Fn(&Name) -> bool) {
        self.places.retain(|route, _| is_declared(route));
    }
}
