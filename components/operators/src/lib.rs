//! Operators' HTTP API.
//!
//! rouille serves the API with a thread per request, behind a [`gate`] that limits the resources
//! which slow or numerous connections can hold. Each request becomes a [`command::Command`] to
//! the control thread, which owns the tables and answers. Metrics and health are answered without
//! the control thread, so that its overload or hang remains visible.

pub mod auth;
pub mod command;
mod gate;
pub mod health;
mod reply;
mod routes;
mod server;

pub use gate::Bounds;
pub use server::{Config, Handle, StartError, start};
