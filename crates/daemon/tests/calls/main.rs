//! Calls through real sockets: whole answers, cancellation, resets and stops.

mod answers;
mod fixture;
mod resets;
mod stops;
