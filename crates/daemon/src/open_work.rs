//! What a process is still doing, for the log line of a stop that reaches its time limit.

use std::fmt;

use fireflylug_core::routing::StageCounts;

use crate::calls::ConnectionCounts;

/// Calls, connections and requests that are open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenWork {
    /// Calls by progress, including forwarded ones.
    pub calls: StageCounts,
    /// Connections of callers.
    pub callers: ConnectionCounts,
    /// Connections of other proxies.
    pub proxies: ConnectionCounts,
    /// Requests at the resource API, except watches.
    pub api_requests: u64,
}

impl fmt::Display for OpenWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StageCounts { choosing, queued, running, cancelling, relaying } = self.calls;
        write!(
            f,
            "calls: {choosing} choosing, {queued} queued, {running} running, \
             {cancelling} cancelling, {relaying} relaying; connections of callers: {}; \
             connections of proxies: {}; {} requests at the resource API",
            self.callers, self.proxies, self.api_requests
        )
    }
}
