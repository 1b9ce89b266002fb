//! Keys of organisations, as text and as digests.

use std::fmt;

use compact_str::CompactString;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of a key, in bytes.
pub const MAX_API_KEY_BYTES: usize = 256;

/// Prefix of the text form of a digest. The colon is not in the alphabet of keys.
const DIGEST_PREFIX: &str = "blake3:";

/// The first 16 bytes of the BLAKE3 hash of a key.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest(pub [u8; 16]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        let hash = blake3::hash(key.as_bytes());
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash.as_bytes()[..16]);
        Self(digest)
    }

    /// Parses 32 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
        let mut digest = [0; 16];
        if text.len() != 2 * digest.len() {
            return None;
        }
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks(2)) {
            *byte = digit(pair[0])? << 4 | digit(pair[1])?;
        }
        Some(Self(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A key of an organisation. Its `Debug` output does not contain the key.
///
/// In text formats a digest is written as `blake3:` and 32 hexadecimal digits, in binary formats
/// as 16 bytes.
#[derive(Clone, Eq, Hash, PartialEq)]
pub enum ApiKey {
    /// The key itself.
    Text(CompactString),
    /// The digest of the key.
    Digest(KeyDigest),
}

impl ApiKey {
    /// The digest of the key.
    pub fn digest(&self) -> KeyDigest {
        match self {
            Self::Text(text) => KeyDigest::of(text),
            Self::Digest(digest) => *digest,
        }
    }
}

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        let digest = text.strip_prefix(DIGEST_PREFIX).and_then(KeyDigest::from_hex);
        digest.map_or_else(|| Self::Text(text.into()), Self::Digest)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

impl Serialize for ApiKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Text(text) => serializer.serialize_str(text),
            Self::Digest(digest) if serializer.is_human_readable() => {
                serializer.collect_str(&format_args!("{DIGEST_PREFIX}{digest}"))
            }
            Self::Digest(digest) => serializer.serialize_bytes(&digest.0),
        }
    }
}

impl<'de> Deserialize<'de> for ApiKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(KeyVisitor)
    }
}

struct KeyVisitor;

/// The error for a key of another type. The default error would contain the value.
fn not_a_text<E: Error>() -> E {
    E::custom("a key is a text")
}

impl Visitor<'_> for KeyVisitor {
    type Value = ApiKey;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<ApiKey, E> {
        Ok(ApiKey::from(text))
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<ApiKey, E> {
        let digest = bytes.try_into().map_err(|_| E::custom("a digest has 16 bytes"))?;
        Ok(ApiKey::Digest(KeyDigest(digest)))
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<ApiKey, E> {
        Err(not_a_text())
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<ApiKey, E> {
        Err(not_a_text())
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<ApiKey, E> {
        Err(not_a_text())
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<ApiKey, E> {
        Err(not_a_text())
    }
}

/// Deserializes a list of keys. The default error for a single text would contain it.
pub(super) fn deserialize_keys<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<ApiKey>, D::Error> {
    struct ListVisitor;

    impl<'de> Visitor<'de> for ListVisitor {
        type Value = Vec<ApiKey>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a list of keys")
        }

        fn visit_seq<A: serde::de::SeqAccess<'de>>(
            self,
            mut list: A,
        ) -> Result<Vec<ApiKey>, A::Error> {
            let mut keys = Vec::with_capacity(list.size_hint().unwrap_or(0).min(1_024));
            while let Some(key) = list.next_element()? {
                keys.push(key);
            }
            keys.shrink_to_fit();
            Ok(keys)
        }

        fn visit_str<E: Error>(self, _: &str) -> Result<Vec<ApiKey>, E> {
            Err(E::custom("the keys are a list of texts"))
        }

        fn visit_u64<E: Error>(self, _: u64) -> Result<Vec<ApiKey>, E> {
            Err(E::custom("the keys are a list of texts"))
        }

        fn visit_i64<E: Error>(self, _: i64) -> Result<Vec<ApiKey>, E> {
            Err(E::custom("the keys are a list of texts"))
        }

        fn visit_f64<E: Error>(self, _: f64) -> Result<Vec<ApiKey>, E> {
            Err(E::custom("the keys are a list of texts"))
        }
    }

    deserializer.deserialize_any(ListVisitor)
}

/// Whether a text has the form of RFC 9110 `token68`: characters of `A-Z a-z 0-9 - . _ ~ + /`,
/// at least one, then any number of `=`.
pub fn is_token68(text: &str) -> bool {
    let characters = text.trim_end_matches('=');
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~+/".contains(&b);
    !characters.is_empty() && characters.bytes().all(is_allowed)
}
