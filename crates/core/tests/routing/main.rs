//! Tests of routing decisions, each with the failure that it guards against.

mod capacity;
mod choice;
mod fair_shares;
mod harness;
mod ingress_shares;
mod limits;
mod links;
mod nested_model;
mod nested_overload;
mod organisations;
mod quarantine;
mod quotas;
mod rate_limits;
mod regions;
mod repeated;
mod retries;
mod returns;
mod slow_link;
mod spread;
mod transit;
