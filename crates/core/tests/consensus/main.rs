//! Tests of control replicas over a simulated network and simulated disks, with fixed seeds.

mod cases;
mod cluster;
mod confirmation;
mod disk;
mod failed_disk;
mod full_disks;
mod random;
mod starts;
