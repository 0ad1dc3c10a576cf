//! Stand-in model engine: OpenAI's chat API, load and unload orders, load reports and
//! prefix cache events.
//!
//! The engine uses continuous batching: a bounded number of requests runs at once, each of
//! them gets one token per step, and a step takes longer the more requests run. An answer
//! is a pure function of model version, prompt and length (see [`text`]), so that a test
//! can tell a complete answer from a truncated one or from another request's, and any
//! engine can resume an answer that another engine began.

mod batch;
mod cache;
mod config;
mod job;
mod orders;
mod server;
mod state;
pub mod text;
mod wire;

pub use config::{EngineConfig, EngineCounters, EngineFault, EngineFaults, RunRecord};
pub use server::Engine;
