//! The Malabar deployment on loopback inside one process.

fn main() {}
