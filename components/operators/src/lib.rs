//! Operators' HTTP API.
//!
//! rouille serves the API with a thread per request, behind a [`proxy`] that limits the resources
//! which slow or numerous connections can hold. Each request becomes a [`command::Command`] to
//! the control thread, which owns the tables and answers. Metrics and health are answered without
//! the control thread, so that its overload or hang remains visible.

pub mod auth;
pub mod command;
pub mod health;
mod proxy;
mod reply;
mod routes;
mod server;

pub use proxy::Bounds;
pub use server::{Config, Handle, StartError, start};
