//! A copy of the store's keys that daemons pass on to each other.
//!
//! A [`Mirror`] holds every key as of one revision of the store. It is fed by a watch of
//! the store, by a listing, or by another daemon's mirror: the three differ only in who
//! says it. Two mirrors compare by one number, so a daemon that the store turns away gets
//! exactly what it lacks from any peer that is ahead, and nothing ever goes back: whatever
//! is not newer than what is held is passed over.

mod message;
mod mirror;

pub use message::{MAX_ANSWER_BYTES, MessageError, SyncReply, SyncRequest};
pub use mirror::{Change, GapError, Listing, Mirror, Revision};
