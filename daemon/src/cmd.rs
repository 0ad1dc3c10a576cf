//! One module a command.

pub mod dev;
pub mod run;
mod serve;
