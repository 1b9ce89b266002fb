//! Thin binary.
fn main() {}
