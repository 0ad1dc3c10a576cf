//! One module a command.

pub mod dev;
pub mod platform;
pub mod run;
mod serve;
