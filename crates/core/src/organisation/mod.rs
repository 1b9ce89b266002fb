//! Organisations: the parties that own callers, and the keys by which the callers of one are
//! recognised.
//!
//! Control replicas store keys as text for the operators that read the configuration back. Every
//! other process holds only their digests, see [`redact`].

mod credential;
mod key;
mod redact;
mod resource;
mod table;

pub use credential::{Credential, IdentityHeaders, VerifiedKey};
pub use key::{ApiKey, KeyDigest, MAX_API_KEY_BYTES, is_token68};
pub use redact::{message_without_values, redact, redacted_resource};
pub use resource::{Decimal, Organisation};
pub use table::{Member, OrganisationTable, Unverified};
