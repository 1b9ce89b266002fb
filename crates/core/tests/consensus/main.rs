//! Control replicas over a fake network and fake disks, with fixed seeds.

mod cases;
mod cluster;
mod disk;
mod random;
mod starts;
