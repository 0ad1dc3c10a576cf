//! One module an experiment.

pub mod balance;
pub mod burst;
pub mod decide;
