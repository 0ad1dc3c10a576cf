//! The control thread of a daemon that keeps nothing of its own.
//!
//! What must last lives in the store; what the daemons know together rides between them.
//! This thread keeps a mirror of the store's keys, fed by a watch and by peers, and makes
//! of it the plan that the event loop serves by; it carries the membership; and it judges
//! roll-outs on the fleet's evidence and writes down how they ended.
//!
//! Names of keys and forms of values belong to a [`Codec`].

mod asking;
mod audience;
mod backlog;
mod bars;
mod clocks;
mod codec;
mod control;
mod copying;
mod entry;
mod error;
mod event;
mod freshness;
mod listing;
mod peering;
mod planner;
mod presence;
mod rollouts;
mod settings;
mod standing;
mod start;
mod turns;
mod watching;

pub use audience::{Audience, Peer, Word, is_small};
pub use bars::{BarEnd, BarEntry, BarEntryError};
pub use codec::{Codec, DecodeError, StateRecord};
pub use copying::{Handing, Taken, Taking};
pub use entry::{DaemonEntry, DaemonEntryError};
pub use error::FleetError;
pub use freshness::{Claim, Claims, DatedClaim, Freshness};
pub use peering::shares_rate_limits;
pub use settings::Settings;
pub use standing::{SentAt, Standing, StandingError, Standings, Vouched};
pub use start::{Running, start};
pub use turns::{Around, Turns};
pub use watching::Mode;
