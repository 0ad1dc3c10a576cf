//! One module an experiment.

pub mod bad_version;
pub mod cascade;
