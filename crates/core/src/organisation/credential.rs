//! What a call states about the organisation of its caller, and what was derived from it.

use super::key::KeyDigest;
use crate::ids::{Name, Version};

/// The credential that a caller sent with a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Credential {
    /// None.
    #[default]
    Absent,
    /// One key, which may be unknown.
    Key(KeyDigest),
    /// Several, or one of another form.
    Malformed,
}

/// The key by which a call was assigned to an organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VerifiedKey {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Version of the configuration in which the key was found last.
    pub version: Version,
    /// Whether the call must not run without a valid key: its route is not public.
    pub is_required: bool,
}

/// What is done with the headers that identify the organisation of a caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum IdentityHeaders {
    /// Nothing: no organisation is declared.
    #[default]
    Unchanged,
    /// The credential and the name that the caller sent are removed. The name that the mesh
    /// determined is added, if there is one.
    Replaced(Option<Name>),
}
