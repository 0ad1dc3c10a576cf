//! Counts of the traffic between daemons.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::seal::Refusal;

/// A count that several threads add to.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    pub(crate) fn add(&self, more: u64) {
        self.0.fetch_add(more, Ordering::Relaxed);
    }

    pub(crate) fn less(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counts themselves.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) bytes_in: Count,
    pub(crate) bytes_out: Count,
    pub(crate) received: Count,
    pub(crate) sent: Count,
    pub(crate) dropped: Count,
    pub(crate) refused_cluster: Count,
    pub(crate) refused_key: Count,
    pub(crate) refused_replay: Count,
    pub(crate) refused_malformed: Count,
    pub(crate) refused_overload: Count,
    pub(crate) refused_by_peer: Count,
    pub(crate) bad_frames: Count,
    pub(crate) connects: Count,
    pub(crate) connect_failures: Count,
    pub(crate) connections_in: Count,
    pub(crate) connections_out: Count,
    pub(crate) connections_refused: Count,
    pub(crate) silent: Count,
}

/// Counts since the start, and gauges where said so.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Stats {
    /// Bytes read from sockets.
    pub bytes_in: u64,
    /// Bytes written to sockets.
    pub bytes_out: u64,
    /// Messages taken.
    pub received: u64,
    /// Messages that a peer took.
    pub sent: u64,
    /// Messages given up: a full queue, no connection, no answer in time.
    pub dropped: u64,
    /// Refused: another cluster or address.
    pub refused_cluster: u64,
    /// Refused: an unknown key or a wrong code.
    pub refused_key: u64,
    /// Refused: received before.
    pub refused_replay: u64,
    /// Refused: unreadable or out of order.
    pub refused_malformed: u64,
    /// Refused: no room in the queue to the other threads.
    pub refused_overload: u64,
    /// Messages of ours that a peer refused.
    pub refused_by_peer: u64,
    /// Frames too long or unreadable; each ends its connection.
    pub bad_frames: u64,
    /// Connections made.
    pub connects: u64,
    /// Connections that could not be made.
    pub connect_failures: u64,
    /// Connections from peers at this moment.
    pub connections_in: u64,
    /// Connections to peers at this moment.
    pub connections_out: u64,
    /// Connections from peers that were over the bound.
    pub connections_refused: u64,
    /// Peers that do not answer at this moment.
    pub silent: u64,
}

impl Counts {
    pub(crate) fn refuse(&self, refusal: Refusal) {
        let count = match refusal {
            Refusal::Cluster | Refusal::Address => &self.refused_cluster,
            Refusal::Key | Refusal::Code => &self.refused_key,
            Refusal::Replay => &self.refused_replay,
            Refusal::Greeting | Refusal::Malformed => &self.refused_malformed,
            Refusal::Overloaded => &self.refused_overload,
        };
        count.add(1);
    }

    pub(crate) fn stats(&self) -> Stats {
        Stats {
            bytes_in: self.bytes_in.get(),
            bytes_out: self.bytes_out.get(),
            received: self.received.get(),
            sent: self.sent.get(),
            dropped: self.dropped.get(),
            refused_cluster: self.refused_cluster.get(),
            refused_key: self.refused_key.get(),
            refused_replay: self.refused_replay.get(),
            refused_malformed: self.refused_malformed.get(),
            refused_overload: self.refused_overload.get(),
            refused_by_peer: self.refused_by_peer.get(),
            bad_frames: self.bad_frames.get(),
            connects: self.connects.get(),
            connect_failures: self.connect_failures.get(),
            connections_in: self.connections_in.get(),
            connections_out: self.connections_out.get(),
            connections_refused: self.connections_refused.get(),
            silent: self.silent.get(),
        }
    }
}
