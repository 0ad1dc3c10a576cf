//! The control thread of a stateless daemon.
//!
//! All durable state lives in the store; state that the daemons share is gossiped between them.
//! This thread keeps a mirror of the store's keys, fed by a watch and by peers, and builds from it
//! the plan that the event loop routes by. It also runs the membership protocol, judges roll-outs
//! on evidence from the whole fleet and writes their outcome to the store.
//!
//! The names of keys and the encoding of values are defined by a [`Codec`].

mod clocks;
mod codec;
mod control;
mod entry;
mod entry_warnings;
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
mod sharing;
mod snapshot;
mod start;
mod succession;
mod tunnel_offers;
mod watcher;

pub use codec::{Codec, DecodeError, HistoryRecord, StateRecord};
pub use entry::{DaemonEntry, DaemonEntryError};
pub use entry_warnings::EntryWarnings;
pub use error::FleetError;
pub use freshness::{Claim, Claims, Freshness, WireClaim};
pub use gossip::{GossipKind, GossipView, Peer, is_small};
pub use heartbeat::{Heartbeat, HeartbeatError, PeerStates, SentAt, StoreReport};
pub use peering::shares_rate_limits;
pub use quarantine::{QuarantineCrash, QuarantineEntry, QuarantineEntryError};
pub use settings::Settings;
pub use sharing::sharing_daemons;
pub use snapshot::{DownloadStep, SnapshotDownload, SnapshotServer};
pub use start::{Running, start};
pub use succession::{Succession, SuccessionInput};
pub use watcher::Mode;
