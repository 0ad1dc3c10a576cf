//! Roll-out steps, gates and orders.
