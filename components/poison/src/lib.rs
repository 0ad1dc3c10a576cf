//! Detection and quarantine of request contents that crash upstreams.
//!
//! A caller's request may crash each upstream that starts to process it. Retried by this daemon or
//! by the caller, it crashes the next one as well, and breaks all other requests in flight there.
//! An attempt's id does not identify such a request, but its [`Content`] is the same each time, or
//! a part of its prompt is, which other requests carry as well.
//! [`Attempts`] tracks the attempts in flight at each upstream, so that a crash can be attributed
//! to contents.
//!
//! [`Suspects`] combines the crash reports of all daemons and decides which contents are
//! quarantined: those whose crashes chance does not explain. Nothing in this crate uses a socket,
//! clock or thread; the time is an argument.

mod attempts;
mod content;
mod policy;
mod shared;
mod suspects;
mod updates;

pub use attempts::{AttemptEnd, AttemptId, Attempts, CrashedAttempt};
pub use content::{Content, ContentError, Contents};
pub use policy::PoisonPolicy;
pub use shared::SharedSuspects;
pub use suspects::{Admission, Change, Quarantine, Suspects};
pub use updates::{ContentEvent, ContentUpdate, ContentUpdates, UpdatesError, UpstreamInstance};
