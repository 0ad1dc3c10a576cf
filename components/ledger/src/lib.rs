//! Bills: one for each answered request, kept through crashes and store outages.
//!
//! A daemon has no disk. A bill becomes safe in three steps: it is recorded in the
//! [`Ledger`] of the daemon that served the request, held by a second daemon in
//! another failure domain (custody), and sealed into the store in a batch. The end of
//! an answer is released to its caller after the second step, so that a whole answer
//! implies a bill that outlives its host.
//!
//! In the store a roll-up turns batches into totals by hour, customer and version. It
//! keeps the fingerprints of recent bills, so that a request that was billed by two
//! daemons counts once. [`Export`] reads the totals, [`Drain`] deletes what was read.
//!
//! Everything here is pure: time comes in, [`Effect`]s come out.

mod accounts;
mod bill;
mod codec;
mod custody;
mod drain;
mod export;
mod journal;
mod keys;
mod ledger;
mod message;
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
