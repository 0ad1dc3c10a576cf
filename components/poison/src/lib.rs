//! Requests that end the upstreams which run them.
//!
//! A caller's request may crash each upstream that begins to run it. Sent again, by this daemon
//! or by the caller, it takes the next one with it, and everything else that ran there. Nothing
//! in an attempt's id tells such a request: it is the same [`Content`] each time. [`Runs`] keeps
//! what was under way at each upstream, so that an upstream's end can be put down to contents.
//!
//! [`Suspects`] adds up what all daemons tell of it, and says which contents are barred: those
//! whose ends chance does not explain. Everything here is a value that is given the time, and
//! touches no socket, clock or thread.

mod content;
mod policy;
mod runs;
mod shared;
mod suspects;
mod updates;

pub use content::{Content, ContentError};
pub use policy::PoisonPolicy;
pub use runs::{Run, RunEnd, Runs, Under};
pub use shared::SharedSuspects;
pub use suspects::{Admission, Barred, Change, Suspects};
pub use updates::{Fate, UpstreamRun, Word, Words, WordsError};
