//! Stand-in for the platform's key-value store.
//!
//! [`Table`] is the store's state without I/O. It takes [`keyvalue::Request`]s and the time
//! as arguments, so that tests of other crates use it without a socket. [`StoreServer`]
//! serves a table over the public JSON gateway of etcd v3, with fault injection.

mod faults;
mod json;
mod server;
mod state;
mod table;

pub use faults::{StoreCounters, StoreFaults};
pub use server::{StoreConfig, StoreServer};
pub use table::{Change, Compaction, Item, RawCompare, RawOp, RawReply, RawTxn, Table, Target};
