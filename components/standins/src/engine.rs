//! Stand-in of a model engine: OpenAI's chat API, orders, load reports, cache events.
//!
//! It batches continuously: a bounded number of requests runs at once, all of them get a
//! token each step, and a step takes longer the more of them run. Answers are a pure
//! function of version, prompt and length (see [`text`]), so that a test can tell a whole
//! answer from a cut or crossed one, and any engine can resume another's answer.

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
