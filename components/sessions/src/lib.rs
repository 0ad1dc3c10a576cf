//! Pins of sessions to versions.
