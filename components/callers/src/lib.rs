//! Callers' HTTP API.
