//! A fault-injecting TCP proxy and a target stand-in for tests and measurements.
