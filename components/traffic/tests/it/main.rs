//! Tests of the event loop between callers and scripted upstreams.

mod harness;

mod answers;
mod bounds;
mod crashes;
mod limits;
mod quarantine;
mod shutdown;
mod streams;
mod tunnels;
