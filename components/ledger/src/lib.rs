//! Bills: one for each answered request, durable through crashes and store outages.
//!
//! Daemons have no disk, so a bill becomes durable in three steps. It is recorded in the
//! [`Ledger`] of the daemon that served the request, replicated to a second daemon in
//! another failure domain, and written to the store in a sealed batch. The end of an
//! answer is released to its caller only after the second step, so a complete answer
//! implies a bill that survives the loss of its host.
//!
//! In the store, a roll-up aggregates batches into totals by hour, customer and version.
//! It keeps the fingerprints of recent bills so that a request billed by two daemons
//! counts once. [`Export`] reads the totals and [`Drain`] deletes what was exported.
//!
//! This crate does no I/O: callers pass in the time and carry out the returned
//! [`Effect`]s.

mod accounts;
mod bill;
mod codec;
mod drain;
mod export;
mod journal;
mod keys;
mod ledger;
mod message;
mod replication;
mod rollup;
mod seal;
mod sweep;
mod totals;

pub use crate::bill::{Account, Bill, BillId, Charge, Fingerprint, Item};
pub use crate::codec::{CodecError, MAX_BATCH_BYTES};
pub use crate::drain::Drain;
pub use crate::export::{Export, ExportError, Row, Statement, Step};
pub use crate::journal::Origin;
pub use crate::ledger::{CallId, Config, Effect, Fill, Ledger, Peer, Receipt};
pub use crate::message::Message;
pub use crate::rollup::MAX_BATCHES_PER_ROLLUP;
pub use crate::totals::{Hour, Sum};
