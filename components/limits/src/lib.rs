//! Customers' limits, queues and overload.
