//! One daemon: binds, recovers, wires the edges and stops gracefully.

use fireflylug_core::context::Addresses;
use fireflylug_settings::Settings;

/// A running daemon. Several may run in one program.
pub struct Daemon {
    addresses: Addresses,
}

impl Daemon {
    /// Binds the listeners, reads the data folder and starts every edge.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        Ok(Self { addresses: settings.listen })
    }

    /// Where the daemon listens, with the ports that the system chose.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops gracefully: takes no new work, finishes what is in flight.
    pub async fn stop(self) {}

    /// Ends at once as a crash would: closes every connection, finishes nothing.
    /// What was synced stays on disk.
    pub fn kill(self) {}
}
