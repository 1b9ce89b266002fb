//! Decisions of the call path, each with the failure that it is meant for.

mod bench;
mod choice;
mod limits;
mod links;
mod regions;
mod retries;
mod slow_link;
mod transit;
