//! The store's keys and values, free of their names.

use bytes::Bytes;
use routes::{RolloutOrder, RolloutState, RouteTable, Upstream};

/// Why a value cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct DecodeError {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

/// How a roll-out stands, as a daemon wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateRecord {
    /// The version that it is to.
    pub to: String,
    /// How far it is.
    pub state: RolloutState,
}

/// Names of keys and forms of values.
pub trait Codec: Send + 'static {
    /// Key of the configuration.
    fn table_key(&self) -> &str;
    /// Begins the keys of upstreams; the rest is their id.
    fn upstream_prefix(&self) -> &str;
    /// Begins the keys of roll-outs' orders; the rest is the service.
    fn order_prefix(&self) -> &str;
    /// Key of a roll-out's state.
    fn state_key(&self, service: &str) -> String;
    /// Begins the keys of daemons; the rest is their name.
    fn daemon_prefix(&self) -> &str;
    /// Begins the keys of bars; the rest is the content.
    fn bar_prefix(&self) -> &str;

    /// Reads the configuration.
    ///
    /// # Errors
    /// Says what is wrong with it.
    fn table(&self, value: &Bytes) -> Result<RouteTable, DecodeError>;

    /// Reads an upstream.
    ///
    /// # Errors
    /// Says what is wrong with it.
    fn upstream(&self, id: &str, value: &Bytes) -> Result<Upstream, DecodeError>;

    /// Reads a roll-out's order; the revision is the store's of the key.
    ///
    /// # Errors
    /// Says what is wrong with it.
    fn order(&self, key: &str, value: &Bytes, revision: u64) -> Result<RolloutOrder, DecodeError>;

    /// Reads a roll-out's state.
    ///
    /// # Errors
    /// Says what is wrong with it.
    fn state(&self, key: &str, value: &Bytes) -> Result<StateRecord, DecodeError>;

    /// Writes a roll-out's state.
    fn encode_state(&self, order: &RolloutOrder, state: RolloutState) -> Bytes;
}
