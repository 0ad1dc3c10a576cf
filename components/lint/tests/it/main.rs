//! Tests of the findings in a configuration and of the differences between two.

mod diff;
mod findings;
mod unreachable;
mod world;
