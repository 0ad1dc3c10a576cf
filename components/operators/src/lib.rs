//! Operators' HTTP API.
