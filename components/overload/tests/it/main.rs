//! Tests of the public interface.

mod decisions;
mod fleet;
mod reports;
mod shares;
mod simulation;
