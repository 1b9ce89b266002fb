//! Calls through real sockets: complete responses, cancellation, resets and graceful shutdown.

mod answers;
mod capacity;
mod closes;
mod crashes;
mod endless;
mod fixture;
mod framing;
mod organisations;
mod pipelining;
mod resets;
mod restarts;
mod statuses;
mod stops;
