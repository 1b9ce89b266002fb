//! Measurements of the call path.

pub mod added_latency;
pub mod chain;
pub mod load;
pub mod mesh;
pub mod overload;
pub mod payments;
pub mod reducer_cost;
pub mod rolling;
pub mod selection;
pub mod stall;
