//! Membership of daemons and the facts they share.
//!
//! No daemon is special. Each probes one other a second, by turns; one that answers
//! neither directly nor through others is suspected, and down unless it refutes that
//! in time. A daemon that was only paused refutes with its own incarnation; one that
//! was restarted comes with a higher one. News travels on probes, acknowledgements and
//! a few pushes a second, within a budget of bytes that does not grow with the fleet;
//! a rotating digest repairs what was lost. A region that was cut off is found again
//! because the dead are remembered for a while and probed now and then.
//!
//! On top of it daemons share facts: small values under a topic and a key, of which
//! each daemon sees the latest of every other. When the fleet or the changes grow,
//! facts come later; the bytes stay the same.
//!
//! Nothing here reads a clock, a socket or a random source of its own: [`Membership`]
//! is given the time and the random numbers and returns what to send.

mod config;
mod fact;
mod member;
mod membership;
mod message;
mod origin;
mod probe;
mod repair;
mod rumor;

pub use config::{Budget, Config, Timing};
pub use fact::{Fact, MAX_KEY_BYTES, MAX_VALUE_BYTES, PublishError, Topic};
pub use member::{Member, Stamp, State};
pub use membership::{Counters, Event, Fill, Membership, Outcome};
pub use message::{
    Digest, DigestEntry, Envelope, FactGroup, MAX_ATTACHMENT_BYTES, MemberNews, MemberRecord,
    Message, News, OriginFacts, Sender, SharedFact,
};
pub use origin::{OriginId, OriginTag};
