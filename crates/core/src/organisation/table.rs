//! The organisations of one configuration version, by key.

use super::credential::VerifiedKey;
use super::key::KeyDigest;
use crate::collections::HashMap;
use crate::config::Configuration;
use crate::ids::{Name, Version};

/// The properties of an organisation that apply to each of its calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the organisation.
    pub name: Name,
    /// Priority of its calls, if it has one.
    pub priority: Option<u8>,
}

/// The key of a call is not valid any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unverified;

/// Finds the organisation of a key. Built once for each configuration version.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    version: Version,
    organisations: Vec<Member>,
    /// Index of the organisation of each key.
    by_key: HashMap<KeyDigest, u32>,
}

impl OrganisationTable {
    /// Creates the table of a version.
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = Self { version: configuration.version(), ..Self::default() };
        let key_count = configuration.organisations().map(|o| o.keys.len()).sum();
        table.by_key.reserve(key_count);
        for organisation in configuration.organisations() {
            let index = table.organisations.len() as u32;
            let name = organisation.name.clone();
            table.organisations.push(Member { name, priority: organisation.priority });
            table.by_key.extend(organisation.keys.iter().map(|key| (key.digest(), index)));
        }
        table
    }

    /// Whether any organisation is declared.
    pub fn is_declared(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// The organisation of a key.
    pub fn find(&self, key: KeyDigest) -> Option<&Member> {
        self.organisations.get(*self.by_key.get(&key)? as usize)
    }

    /// Checks a key again that was found in a version of this or another process.
    ///
    /// Returns `None` if that version is newer than this one, or the same: the result stands.
    /// Otherwise returns the organisation to which the key belongs in this version. It has none
    /// if the key is gone and the call needs none.
    ///
    /// # Errors
    ///
    /// The key is gone, and the call needs a valid one.
    pub fn recheck(&self, key: VerifiedKey) -> Result<Option<Option<&Member>>, Unverified> {
        if self.version <= key.version {
            return Ok(None);
        }
        match self.find(key.digest) {
            None if key.is_required && self.is_declared() => Err(Unverified),
            found => Ok(Some(found)),
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }
}
