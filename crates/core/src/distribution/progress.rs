//! How far a version has come.

use serde::{Deserialize, Serialize};

use crate::ids::{Name, Version};

/// How far a version has come in one availability zone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneProgress {
    /// Availability zone.
    pub availability_zone: Name,
    /// Proxies that are known there and not forgotten.
    pub proxies: u32,
    /// Proxies that acknowledged the version or a later one.
    pub in_force: u32,
    /// Hosts whose proxy cannot be reached, at most a few dozen.
    pub unreachable: Vec<Name>,
    /// Whether the availability zone as a whole cannot be reached from here.
    pub cut_off: bool,
}

/// How far the newest version has come everywhere.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The version.
    pub version: Version,
    /// By availability zone, sorted by name.
    pub zones: Vec<ZoneProgress>,
}

impl Progress {
    /// Whether every proxy acknowledged the version. One that cannot be
    /// reached and is not forgotten counts as not having done so.
    pub fn is_in_force(&self) -> bool {
        self.zones.iter().all(|zone| zone.in_force >= zone.proxies && !zone.cut_off)
    }
}
