//! Calls through real sockets: whole answers, cancellation, resets and stops.

mod answers;
mod endless;
mod fixture;
mod resets;
mod stops;
