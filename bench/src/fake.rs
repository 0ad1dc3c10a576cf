//! Fakes for experiments in simulated time: an event queue and engines.

pub mod engine;
pub mod events;
