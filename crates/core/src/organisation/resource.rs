//! The resource that declares an organisation.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::key::{ApiKey, deserialize_keys};
use crate::ids::Name;

/// An organisation: its keys, its priority and its quota.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// Keys that identify its callers, in the order of the operator. Empty if all were revoked.
    #[serde(deserialize_with = "deserialize_keys")]
    pub keys: Vec<ApiKey>,
    /// Priority of its calls, in place of the priority of their policy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Calls per second over all hosts. Absent and 0 mean no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<Decimal>,
    /// Calls that may exceed the rate at once, over all hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<Decimal>,
}

impl Organisation {
    /// Creates an organisation without a limit.
    pub fn new(name: Name, keys: Vec<ApiKey>) -> Self {
        Self { name, keys, priority: None, rate_per_s: None, burst: None }
    }

    /// Sets the priority of its calls.
    pub fn with_priority(mut self, priority: u8) -> Self {
        self.priority = Some(priority);
        self
    }

    /// Sets the calls per second, and those that may exceed the rate at once.
    pub fn with_quota(mut self, rate_per_s: Decimal, burst: Decimal) -> Self {
        self.rate_per_s = Some(rate_per_s);
        self.burst = Some(burst);
        self
    }
}

/// A number that is written as it was read: an integer stays an integer.
#[derive(Clone, Copy, Debug)]
pub enum Decimal {
    /// An integer of at least 0.
    Integer(u64),
    /// A negative integer. Validation refuses it with its place.
    Negative(i64),
    /// A number with a decimal point or an exponent.
    Fraction(f64),
}

impl Decimal {
    /// The number.
    pub fn value(self) -> f64 {
        match self {
            Self::Integer(value) => value as f64,
            Self::Negative(value) => value as f64,
            Self::Fraction(value) => value,
        }
    }
}

impl PartialEq for Decimal {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Integer(a), Self::Integer(b)) => a == b,
            (Self::Negative(a), Self::Negative(b)) => a == b,
            (Self::Fraction(a), Self::Fraction(b)) => a.to_bits() == b.to_bits(),
            _ => false,
        }
    }
}

impl Eq for Decimal {}

impl Serialize for Decimal {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Integer(value) => serializer.serialize_u64(*value),
            Self::Negative(value) => serializer.serialize_i64(*value),
            Self::Fraction(value) => serializer.serialize_f64(*value),
        }
    }
}

impl<'de> Deserialize<'de> for Decimal {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct DecimalVisitor;

        impl Visitor<'_> for DecimalVisitor {
            type Value = Decimal;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a number")
            }

            fn visit_u64<E: Error>(self, value: u64) -> Result<Decimal, E> {
                Ok(Decimal::Integer(value))
            }

            fn visit_i64<E: Error>(self, value: i64) -> Result<Decimal, E> {
                Ok(u64::try_from(value).map_or(Decimal::Negative(value), Decimal::Integer))
            }

            fn visit_f64<E: Error>(self, value: f64) -> Result<Decimal, E> {
                Ok(Decimal::Fraction(value))
            }
        }

        deserializer.deserialize_any(DecimalVisitor)
    }
}
