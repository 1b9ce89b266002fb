//! Hash maps and sets with a fast hasher.
//!
//! The order of iteration must not influence any decision. If order matters, use
//! a `BTreeMap` or sort first.

/// Hash map with a fast, fixed-seed hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::FixedState>;

/// Hash set with a fast, fixed-seed hasher.
pub type HashSet<K> = std::collections::HashSet<K, foldhash::fast::FixedState>;
