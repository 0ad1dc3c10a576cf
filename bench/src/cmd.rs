//! The experiments, one module each.

pub mod bad_version;
pub mod balance;
pub mod burst;
pub mod cascade;
pub mod claims;
pub mod config;
pub mod decide;
pub mod faults;
pub mod ledger;
pub mod membership;
pub mod outage;
pub mod overhead;
pub mod report;
pub mod rollout;
pub mod spread;
