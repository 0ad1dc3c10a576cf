//! Tests of the client against stand-ins for engines and plain services.

mod attempts;
mod calls;
mod event_loop;
