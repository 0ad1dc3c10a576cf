//! One module an experiment.

pub mod rollout;
