//! Addresses replaced before connecting.

use std::net::SocketAddr;

use fireflylug_core::collections::HashMap;

/// Replaces addresses that other processes announce before this process
/// connects to them, as behind address translation between regions.
#[derive(Clone, Debug, Default)]
pub struct Translation {
    replacements: HashMap<SocketAddr, SocketAddr>,
}

impl Translation {
    /// Makes a translation that changes nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Connects to `replacement` wherever `announced` is meant.
    pub fn with(mut self, announced: SocketAddr, replacement: SocketAddr) -> Self {
        self.replacements.insert(announced, replacement);
        self
    }

    /// The address to connect to.
    pub fn apply(&self, announced: SocketAddr) -> SocketAddr {
        self.replacements.get(&announced).copied().unwrap_or(announced)
    }
}
