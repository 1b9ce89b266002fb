//! Translation of announced addresses before connecting.

use std::net::SocketAddr;

use fireflylug_core::collections::HashMap;

/// Replaces addresses announced by other processes before this process connects to them,
/// for example with network address translation between regions.
#[derive(Clone, Debug, Default)]
pub struct Translation {
    replacements: HashMap<SocketAddr, SocketAddr>,
}

impl Translation {
    /// Creates a translation without replacements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a replacement for an announced address.
    pub fn with(mut self, announced: SocketAddr, replacement: SocketAddr) -> Self {
        self.replacements.insert(announced, replacement);
        self
    }

    /// Returns the address to connect to.
    pub fn apply(&self, announced: SocketAddr) -> SocketAddr {
        self.replacements.get(&announced).copied().unwrap_or(announced)
    }
}
