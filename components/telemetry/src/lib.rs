//! Metrics and logs.
