//! Daemon settings: load and check.
