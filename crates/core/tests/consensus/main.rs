//! Tests of control replicas over a simulated network and simulated disks, with fixed seeds.

mod cases;
mod cluster;
mod disk;
mod random;
mod starts;
