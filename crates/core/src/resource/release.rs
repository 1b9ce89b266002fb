//! The release number of a configuration.

use serde::{Deserialize, Serialize};

use super::{ResourceKey, ResourceKind};
use crate::ids::Name;

/// The number that operators assign to the whole configuration. Changed only by a
/// change set that names the previous number.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Name of the release: [`CURRENT_RELEASE`].
    pub name: Name,
    /// The number.
    pub number: u64,
}

/// Name of the only [`Release`] resource.
pub const CURRENT_RELEASE: &str = "current";

impl Release {
    /// Creates the release with this number.
    pub fn new(number: u64) -> Self {
        Self { name: release_name(), number }
    }

    /// Kind and name of the release.
    pub fn key() -> ResourceKey {
        ResourceKey { kind: ResourceKind::Release, name: release_name() }
    }
}

fn release_name() -> Name {
    Name::new(CURRENT_RELEASE).expect("the name is valid")
}
