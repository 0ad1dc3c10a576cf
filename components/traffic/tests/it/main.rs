//! The event loop between callers and scripted upstreams.

mod harness;

mod answers;
mod bounds;
mod ends;
mod leaving;
mod limits;
mod poison;
mod streams;
