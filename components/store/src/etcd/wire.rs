//! JSON types of the gateway: keys and values are in base64, 64-bit numbers are strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer};

/// A 64-bit integer, encoded as a string or a number; 0 if absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Int(pub(crate) i64);

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Plain(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
            Form::Plain(number) => Ok(Self(number)),
        }
    }
}

/// Bytes encoded in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Base64(pub(crate) Vec<u8>);

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Self(bytes))
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireKeyValue {
    pub(crate) key: Base64,
    pub(crate) value: Base64,
    pub(crate) mod_revision: Int,
    pub(crate) lease: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeReply {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<WireKeyValue>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireTxnReply {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<WireOpReply>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireOpReply {
    pub(crate) response_put: Option<serde::de::IgnoredAny>,
    pub(crate) response_range: Option<RangeReply>,
    pub(crate) response_delete_range: Option<DeleteReply>,
    pub(crate) response_txn: Option<WireTxnReply>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct DeleteReply {
    pub(crate) deleted: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseReply {
    pub(crate) header: Header,
    #[serde(rename = "ID")]
    pub(crate) id: Int,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
    pub(crate) error: String,
}

/// One object of a streaming reply.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Streamed<T> {
    pub(crate) result: Option<T>,
    pub(crate) error: Option<ErrorReply>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ErrorReply {
    #[serde(alias = "grpc_code")]
    pub(crate) code: i32,
    pub(crate) message: String,
    pub(crate) error: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchReply {
    pub(crate) header: Header,
    pub(crate) canceled: bool,
    pub(crate) cancel_reason: String,
    pub(crate) compact_revision: Int,
    pub(crate) events: Vec<WireEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireEvent {
    #[serde(rename = "type")]
    pub(crate) kind: EventKind,
    pub(crate) kv: WireKeyValue,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    #[default]
    Put,
    Delete,
}
