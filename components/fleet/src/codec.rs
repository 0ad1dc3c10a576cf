//! The interface to the names of keys and the encoding of values in the store.

use bytes::Bytes;
use dispatch::VersionHistory;
use routes::{RolloutOrder, RolloutState, RouteTable, Upstream};
use types::prelude::*;

/// A value of the store cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct DecodeError {
    /// Key of the value.
    pub key: String,
    /// What is wrong with the value.
    pub problem: String,
}

/// State of a roll-out as written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateRecord {
    /// The version that the roll-out leads to.
    pub to: String,
    /// How far the roll-out has got.
    pub state: RolloutState,
}

/// What was known of a service's versions when an order came, as written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryRecord {
    /// The store's revision of the order.
    pub order: u64,
    /// The version that the order leads to.
    pub to: String,
    /// What the roll-outs before the order left.
    pub history: VersionHistory,
}

/// Names of the store's keys and encoding of their values.
pub trait Codec: Send + 'static {
    /// Key of the configuration.
    fn table_key(&self) -> &str;
    /// Prefix of upstreams' keys, followed by the upstream's id.
    fn upstream_prefix(&self) -> &str;
    /// Prefix of roll-out orders' keys, followed by the service.
    fn order_prefix(&self) -> &str;
    /// Prefix of evacuation orders' keys, followed by the failure domain.
    fn evacuation_prefix(&self) -> &str;
    /// Key of the state of a service's roll-out.
    fn state_key(&self, service: &str) -> String;
    /// Key of the history of a service's versions.
    fn history_key(&self, service: &str) -> String;
    /// Prefix of daemons' keys, followed by the daemon's name.
    fn daemon_prefix(&self) -> &str;
    /// Prefix of quarantine entries' keys, followed by the request content.
    fn quarantine_prefix(&self) -> &str;

    /// Decodes the configuration.
    ///
    /// # Errors
    /// When the value is invalid.
    fn table(&self, value: &Bytes) -> Result<RouteTable, DecodeError>;

    /// Decodes an upstream.
    ///
    /// # Errors
    /// When the value is invalid.
    fn upstream(&self, id: &str, value: &Bytes) -> Result<Upstream, DecodeError>;

    /// The state that an upstream's entry names, if it is an unknown one. Such an upstream gets no
    /// new requests.
    fn unknown_state(&self, _value: &Bytes) -> Option<String> {
        None
    }

    /// Decodes a roll-out order; `revision` is the store's revision of the key.
    ///
    /// # Errors
    /// When the value is invalid.
    fn order(&self, key: &str, value: &Bytes, revision: u64) -> Result<RolloutOrder, DecodeError>;

    /// Decodes the order to evacuate the failure domain with this name.
    ///
    /// # Errors
    /// When no failure domain can have the name.
    fn evacuation(&self, name: &str, value: &Bytes) -> Result<FailureDomain, DecodeError>;

    /// Decodes the state of a roll-out.
    ///
    /// # Errors
    /// When the value is invalid.
    fn state(&self, key: &str, value: &Bytes) -> Result<StateRecord, DecodeError>;

    /// Encodes the state of a roll-out.
    fn encode_state(&self, order: &RolloutOrder, state: RolloutState) -> Bytes;

    /// Decodes the history of a service's versions.
    ///
    /// # Errors
    /// When the value is invalid.
    fn history(&self, key: &str, value: &Bytes) -> Result<HistoryRecord, DecodeError>;

    /// Encodes the history of a service's versions.
    fn encode_history(&self, record: &HistoryRecord) -> Bytes;
}
