//! Requests that end the upstreams which run them.
//!
//! A caller's request may crash each upstream that begins to run it. Sent again, by this daemon
//! or by the caller, it takes the next one with it, and everything else that ran there. Nothing
//! in an attempt's id tells such a request: it is the same [`Content`] each time. [`Runs`] keeps
//! what was under way at each upstream, so that an upstream's end can be put down to contents.
//!
//! Everything here is a value that is given the time, and touches no socket, clock or thread.

mod content;
mod runs;

pub use content::{Content, ContentError};
pub use runs::{Run, RunEnd, Runs, Under};
