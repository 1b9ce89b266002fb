//! Tests of control replicas over a simulated network and simulated disks, with fixed seeds.

mod cases;
mod cluster;
mod confirmation;
mod disk;
mod failed_disk;
mod first_set;
mod fixtures;
mod full_disks;
mod random;
mod reads;
mod repairs;
mod replacements;
mod starts;
mod storages;
