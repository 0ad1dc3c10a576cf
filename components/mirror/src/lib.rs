//! A copy of the store's keys that daemons synchronise with each other.
//!
//! A [`Mirror`] holds every key as of one revision of the store. It is updated from a watch of the
//! store, from a listing, or from another daemon's mirror, all in the same way. Two mirrors are
//! compared by their revisions. A daemon that gets no answer from the store therefore gets exactly
//! the changes it lacks from any peer that is ahead. A key never goes back to an older state: a
//! change that is not newer than the mirror's state is ignored.

mod message;
mod mirror;

pub use message::{MAX_REPLY_BYTES, MessageError, SyncReply, SyncRequest};
pub use mirror::{Change, GapError, Listing, Mirror, Revision};
