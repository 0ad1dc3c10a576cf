//! Metrics and logs.
//!
//! Both are set up once by a program and then used by every part. Logs go through
//! `tracing`, so parts need only its macros. Metrics are typed fields of
//! [`metrics::Metrics`], which is shared by all threads.

pub mod labels;
pub mod logs;
pub mod metrics;
