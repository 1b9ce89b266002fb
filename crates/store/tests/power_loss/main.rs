//! A data folder keeps what was reported as synced through kills, losses of power, and
//! writes and syncs that fail.

mod cases;
mod fixture;
mod model;
mod random;
mod simulated_disk;
