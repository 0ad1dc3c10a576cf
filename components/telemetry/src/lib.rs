//! Metrics and logs.
//!
//! A program sets both up once, and all components use them. Components log with the macros of
//! `tracing`. Metrics are methods and fields of [`metrics::Metrics`], which all threads share.

pub mod labels;
pub mod logs;
pub mod metrics;
