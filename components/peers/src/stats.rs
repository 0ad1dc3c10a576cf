//! Counters of the traffic between daemons.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::seal::Refusal;

/// A counter or gauge that several threads update.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    pub(crate) fn add(&self, more: u64) {
        self.0.fetch_add(more, Ordering::Relaxed);
    }

    pub(crate) fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Live counters behind [`Stats`].
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

/// Traffic counts since the start; gauges are marked as such.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Stats {
    /// Bytes read from sockets.
    pub bytes_in: u64,
    /// Bytes written to sockets.
    pub bytes_out: u64,
    /// Messages and queries received and accepted.
    pub received: u64,
    /// Messages that a peer acknowledged and queries that it answered.
    pub sent: u64,
    /// Messages and queries dropped: the queue was full, there was no connection, or no answer
    /// came in time.
    pub dropped: u64,
    /// Handshakes refused: another cluster or address.
    pub refused_cluster: u64,
    /// Messages refused: the key is unknown or the authentication tag is wrong.
    pub refused_key: u64,
    /// Messages refused: received before.
    pub refused_replay: u64,
    /// Messages refused: undecodable, or a handshake missing or repeated.
    pub refused_malformed: u64,
    /// Messages refused: the queue to the other threads is full, or a query was not answered.
    pub refused_overload: u64,
    /// Messages, queries and handshakes of this daemon that a peer refused.
    pub refused_by_peer: u64,
    /// Oversized or undecodable frames; each ends its connection.
    pub bad_frames: u64,
    /// Outgoing connections established.
    pub connects: u64,
    /// Outgoing connections that failed to be established.
    pub connect_failures: u64,
    /// Open incoming connections (gauge).
    pub connections_in: u64,
    /// Open outgoing connections (gauge).
    pub connections_out: u64,
    /// Incoming connections refused because too many were open.
    pub connections_refused: u64,
    /// Peers that currently do not answer (gauge).
    pub silent: u64,
}

impl Counts {
    pub(crate) fn refuse(&self, refusal: Refusal) {
        let count = match refusal {
            Refusal::Cluster | Refusal::Address => &self.refused_cluster,
            Refusal::Key | Refusal::Tag => &self.refused_key,
            Refusal::Replay => &self.refused_replay,
            Refusal::Handshake | Refusal::Malformed => &self.refused_malformed,
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
