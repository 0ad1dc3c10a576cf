//! Fleet membership by gossip, and the facts that daemons share.
//!
//! All daemons are equal. Each probes one other per second in turn. A daemon that answers neither
//! directly nor through others is suspected, and declared down unless it refutes the suspicion in
//! time. A daemon that was only paused refutes with its current incarnation; a restarted one has a
//! higher incarnation. Gossip travels on probes, acknowledgements and a few pushes per second,
//! within a byte budget that does not grow with the fleet. A rotating digest repairs lost updates.
//! After a partition heals, the two sides find each other again because members that are down are
//! remembered for a while and probed now and then.
//!
//! Daemons also share facts: small values under a topic and a key. Each daemon sees the latest
//! facts of every other daemon. When the fleet grows or facts change more often, facts arrive
//! later, but the bandwidth stays the same.
//!
//! This crate reads no clock, socket or random source of its own: [`Membership`] is given the time
//! and random numbers and returns the messages to send.

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
pub use member::{Member, ReportVersion, State};
pub use membership::{Counters, Event, Fill, Membership, Outcome};
pub use message::{
    Digest, DigestEntry, Envelope, FactGroup, Gossip, MAX_ATTACHMENT_BYTES, MemberRecord,
    MemberUpdate, Message, OriginFacts, Sender, SharedFact,
};
pub use origin::{OriginId, OriginTag};
