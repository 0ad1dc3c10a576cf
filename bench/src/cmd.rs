//! One module an experiment.
