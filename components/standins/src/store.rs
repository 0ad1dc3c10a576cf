//! Stand-in of the platform's key-value service.
//!
//! [`Table`] is the service's state as a pure table, driven by [`keyvalue::Request`]
//! with the time as an argument: tests of other crates use it without any socket.
//! [`StoreServer`] serves such a table by the published JSON gateway of etcd v3, with
//! faults on demand.

mod json;
mod server;
mod table;

pub use server::{StoreConfig, StoreCounters, StoreFaults, StoreServer};
pub use table::{Change, Compaction, Item, RawCompare, RawOp, RawReply, RawTxn, Table, Target};
