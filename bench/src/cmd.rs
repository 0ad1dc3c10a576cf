//! One module an experiment.

pub mod bad_version;
pub mod cascade;
pub mod overhead;
pub mod report;
pub mod balance;
pub mod burst;
pub mod decide;
