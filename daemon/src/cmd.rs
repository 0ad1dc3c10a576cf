//! The daemon's commands, one module each.

pub mod check;
pub mod dev;
pub mod platform;
pub mod run;
mod serve;
