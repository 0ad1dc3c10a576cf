//! One module an experiment.

pub mod overhead;
pub mod report;
