//! Roll-outs: what operators may do to them, and the daemon that drives them.
//!
//! A roll-out's steps live in its model's entry of the catalogue; [`edit`] holds what may be
//! done to them. One daemon at a time drives a model's roll-out: it holds a [`lease`] in the
//! store, compares what is with what the entry asks for, and gives [`effect::Effect`]s: orders to
//! engines, edits, calls of the store. It remembers nothing that it could not read again, so
//! a successor goes on from what is.
//!
//! A driver may be paused beyond its lease and act when it wakes, and some engines do not
//! refuse its old fencing number. Three rules make that harmless. Orders say what shall be,
//! not what to change, and each follows a report read just before. At most one order that
//! removes capacity is under way. And capacity is removed only where the demand would still
//! fit if one more engine lost it.

pub mod driver;
pub mod edit;
pub mod effect;
pub mod goal;
pub mod lease;
pub mod observed;
pub mod waiting;

mod capacity;
mod loads;

pub use driver::{Config, Driver};
pub use effect::{Effect, Order, OrderKind};
