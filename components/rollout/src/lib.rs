//! Roll-out steps, gates and orders.
//!
//! A roll-out's steps live in its model's entry of the catalogue. [`edit`] holds what
//! operators may do to them.

pub mod edit;
