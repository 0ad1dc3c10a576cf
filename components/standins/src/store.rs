//! Stand-in of the platform's key-value service.
//!
//! [`Table`] is the service's state as a pure table, driven by [`keyvalue::Request`]
//! with the time as an argument: tests of other crates use it without any socket.
//! [`StoreServer`] serves such a table by the published JSON gateway of etcd v3, with
//! faults on demand.

mod faults;
mod json;
mod server;
mod state;
mod table;

pub use faults::{StoreCounters, StoreFaults};
pub use server::{StoreConfig, StoreServer};
pub use table::{Change, Compaction, Item, RawCompare, RawOp, RawReply, RawTxn, Table, Target};
