//! Tests of the public interface.

mod fleet;
mod reports;
mod shares;
mod simulation;
