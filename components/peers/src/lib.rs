//! Connections between daemons.
