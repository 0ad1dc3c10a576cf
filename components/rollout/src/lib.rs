//! Canary roll-outs: what operators may do to them, and the daemon that drives them.
//!
//! A roll-out's steps are part of its model's entry in the catalogue; [`edit`] holds the actions on
//! them. One daemon at a time drives a model's roll-out. It holds a [`lease`] in the store,
//! compares the observed state with what the entry asks for, and returns [`effect::Effect`]s:
//! orders to engines, edits of the entry, calls of the store. It keeps no state that it could not
//! read again, so a successor continues from what it observes.
//!
//! A driver may be paused beyond its lease and act when it wakes, and some engines do not reject
//! its old fencing token. Three rules keep that harmless. Orders state the wanted result rather
//! than a change, and each follows a report that was read just before. At most one order that
//! removes capacity is in flight. And capacity is removed only where the demand would still fit if
//! one more engine lost it.

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
