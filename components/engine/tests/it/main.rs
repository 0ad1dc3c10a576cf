//! Tests of the client against stand-ins for engines and plain services.

mod attempts;
mod broken_heads;
mod calls;
mod early;
mod endless;
mod event_loop;
mod interim;
mod raw;
