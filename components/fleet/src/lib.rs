//! The control thread of a daemon that keeps nothing of its own.
//!
//! What must last lives in the store; what the daemons know together rides between them.
//! This thread keeps a mirror of the store's keys, fed by a watch and by peers, and makes
//! of it the plan that the event loop serves by; it carries the membership; and it judges
//! roll-outs on the fleet's evidence and writes down how they ended.
//!
//! Names of keys and forms of values belong to a [`Codec`].

mod clocks;
mod codec;
mod control;
mod entry;
mod error;
mod event;
mod freshness;
mod gossip;
mod heartbeat;
mod listing;
mod peer_sync;
mod peering;
mod planner;
mod presence;
mod quarantine;
mod queue_delay;
mod rollouts;
mod settings;
mod snapshot;
mod start;
mod succession;
mod watcher;

pub use codec::{Codec, DecodeError, StateRecord};
pub use entry::{DaemonEntry, DaemonEntryError};
pub use error::FleetError;
pub use freshness::{Claim, Claims, Freshness, WireClaim};
pub use gossip::{GossipKind, GossipView, Peer, is_small};
pub use heartbeat::{Heartbeat, HeartbeatError, PeerStates, SentAt, StoreReport};
pub use peering::shares_rate_limits;
pub use quarantine::{QuarantineCrash, QuarantineEntry, QuarantineEntryError};
pub use settings::Settings;
pub use snapshot::{DownloadStep, SnapshotDownload, SnapshotServer};
pub use start::{Running, start};
pub use succession::{Succession, SuccessionInput};
pub use watcher::Mode;
