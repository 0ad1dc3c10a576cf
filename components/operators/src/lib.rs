//! Operators' HTTP API.
//!
//! rouille serves it, a thread for each request, behind a [`gate`] that bounds what slow
//! or many connections can hold. What a request asks goes to the control thread as a
//! [`command::Command`]; the control thread owns the tables and answers. Metrics and
//! health are answered here, so that a busy control thread does not hide itself.

pub mod auth;
pub mod command;
mod gate;
pub mod health;
mod reply;
mod routes;
mod server;

pub use gate::Bounds;
pub use server::{Config, Handle, StartError, start};
