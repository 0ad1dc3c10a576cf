//! Replication of unsealed charges to a second daemon, the holder.
//!
//! The holder is chosen in another failure domain if there is one. Charges are sent to it
//! in order, in pages, and its acknowledgements are cumulative. A holder that is lost, full
//! or unresponsive is replaced, and the new one receives all unsealed charges. A daemon
//! that holds the last charge therefore holds all unsealed charges before it.

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::codec;
use crate::journal::{Journal, Origin};
use crate::ledger::{Config, Peer};
use crate::message::Message;

/// Maximum number of charges in one message; with the longest possible names they take
/// 160 KiB.
const PAGE_CHARGES: usize = 256;
/// Maximum number of charges in flight to a holder.
const WINDOW_CHARGES: u64 = 8192;
/// Retries towards an unresponsive holder before another one is chosen.
const MAX_TRIES: u8 = 2;

/// The copy of a journal on its holder, as far as it is known here.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) peer: DaemonId,
    /// Last known incarnation of the holder.
    pub(crate) incarnation: Incarnation,
    pub(crate) acked: u64,
    sent: u64,
    /// Highest sealed number that the holder was sent.
    sent_sealed: u64,
    /// When the outstanding acknowledgement is overdue.
    deadline: Time,
    tries: u8,
    next_send: Time,
    refresh_at: Time,
    /// The previous holder, which is asked to drop its copy once this one has acknowledged the
    /// charge with this number.
    previous: Option<(DaemonId, u64)>,
}

impl Replica {
    fn new(peer: &Peer, sealed: u64, previous: Option<(DaemonId, u64)>) -> Self {
        Self {
            peer: peer.id.clone(),
            incarnation: peer.incarnation,
            acked: sealed,
            sent: sealed,
            sent_sealed: sealed,
            deadline: Time::NEVER,
            tries: 0,
            next_send: Time::ZERO,
            refresh_at: Time::ZERO,
            previous,
        }
    }

    /// Whether the holder has left all retries unanswered.
    pub(crate) fn has_failed(&self, now: Time) -> bool {
        self.tries >= MAX_TRIES && now.has_reached(self.deadline)
    }

    /// Returns when to send or retry next if no message arrives before.
    pub(crate) fn next_deadline(&self, end: u64) -> Time {
        let may_send = self.sent < end && !self.is_window_full();
        let send = if may_send {
            self.next_send
        } else {
            Time::NEVER
        };
        self.deadline.min(send)
    }

    fn is_window_full(&self) -> bool {
        self.sent - self.acked >= WINDOW_CHARGES
    }
}

/// Chooses a holder: preferably in another failure domain, then in the same region, then by
/// a hash that spreads the load.
pub(crate) fn choose<'a>(
    me: &Peer,
    origin: &Origin,
    candidates: impl Iterator<Item = &'a Peer>,
) -> Option<&'a Peer> {
    candidates.min_by_key(|peer| {
        let same_domain = peer.failure_domain == me.failure_domain;
        let far = peer.region != me.region;
        let text = format!("{}\n{}\n{}", origin.daemon, me.id, peer.id);
        (same_domain, far, xxh3_64(text.as_bytes()))
    })
}

/// Assigns a new holder to a journal.
pub(crate) fn assign(journal: &mut Journal, peer: &Peer) {
    let previous = journal.replica.take();
    let previous = previous.map(|replica| (replica.peer, journal.end()));
    let previous = previous.filter(|(id, _)| *id != peer.id);
    journal.replica = Some(Replica::new(peer, journal.sealed(), previous));
}

/// Returns the messages to send to the holder now.
pub(crate) fn flush(
    origin: &Origin,
    journal: &mut Journal,
    now: Time,
    cfg: &Config,
) -> Vec<Message> {
    let Some(mut replica) = journal.replica.take() else {
        return Vec::new();
    };
    replica.acked = replica.acked.max(journal.sealed());
    replica.sent = replica.sent.max(replica.acked);
    retry(&mut replica, now, cfg);
    let mut out = Vec::new();
    while may_send(&replica, journal, now) {
        out.push(page(origin, journal, &mut replica, cfg.me.incarnation));
        replica.deadline = replica.deadline.min(now + cfg.ack_timeout);
    }
    if !out.is_empty() {
        replica.next_send = now + cfg.replication_interval;
    }
    if out.is_empty() && is_refresh_due(&replica, journal, now) {
        out.push(page(origin, journal, &mut replica, cfg.me.incarnation));
    }
    if !out.is_empty() {
        replica.refresh_at = now + cfg.refresh_interval;
    }
    journal.replica = Some(replica);
    out
}

/// Resends everything unacknowledged if the acknowledgement is overdue: a page may be lost.
fn retry(replica: &mut Replica, now: Time, cfg: &Config) {
    if replica.acked == replica.sent {
        replica.deadline = Time::NEVER;
        replica.tries = 0;
    } else if now.has_reached(replica.deadline) {
        replica.sent = replica.acked;
        replica.tries += 1;
        replica.next_send = now;
        replica.deadline = now + cfg.ack_timeout;
    }
}

fn may_send(replica: &Replica, journal: &Journal, now: Time) -> bool {
    let waiting = journal.end() - replica.sent.min(journal.end());
    let has_page = waiting >= PAGE_CHARGES as u64;
    let has_some = waiting > 0 && now.has_reached(replica.next_send);
    (has_page || has_some) && !replica.is_window_full()
}

/// Whether a page without charges is due: it lists what is sealed, so that the holder can drop it,
/// and shows that the sender is alive.
fn is_refresh_due(replica: &Replica, journal: &Journal, now: Time) -> bool {
    let is_due = now.has_reached(replica.refresh_at);
    is_due && (!journal.is_empty() || replica.sent_sealed < journal.sealed())
}

fn page(
    origin: &Origin,
    journal: &Journal,
    replica: &mut Replica,
    incarnation: Incarnation,
) -> Message {
    let charges = journal.after(replica.sent, PAGE_CHARGES);
    let first = replica.sent + 1;
    replica.sent += charges.clone().count() as u64;
    replica.sent_sealed = journal.sealed();
    Message::Replicate {
        origin: origin.clone(),
        sealed: journal.sealed(),
        first,
        charges: codec::pack(charges),
        incarnation,
    }
}

/// Processes an acknowledgement; returns the previous holder once it may drop its copy.
pub(crate) fn on_acknowledge(
    replica: &mut Replica,
    now: Time,
    upto: u64,
    incarnation: Incarnation,
    cfg: &Config,
) -> Option<DaemonId> {
    if incarnation < replica.incarnation {
        return None;
    }
    if incarnation == replica.incarnation {
        replica.acked = replica.acked.max(upto.min(replica.sent));
    } else {
        // A restarted holder has lost everything; `upto` is where its copy starts again. Without
        // resuming from there, it would never acknowledge later charges, and charges held only here
        // would count as replicated.
        replica.acked = upto;
        replica.sent = upto;
        replica.next_send = now;
    }
    replica.incarnation = incarnation;
    replica.tries = 0;
    let is_waiting = replica.acked < replica.sent;
    replica.deadline = if is_waiting {
        now + cfg.ack_timeout
    } else {
        Time::NEVER
    };
    let acked = replica.acked;
    replica
        .previous
        .take_if(|(_, end)| acked >= *end)
        .map(|(id, _)| id)
}
