//! The client of engines and plain services, against stand-ins.

mod attempts;
mod calls;
mod event_loop;
