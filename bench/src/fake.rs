//! Fakes for experiments in fast time: an event queue and engines.

pub mod engine;
pub mod events;
