//! Custody: a second daemon holds the charges that are not sealed yet.
//!
//! The holder is chosen in another failure domain where there is one. Pages of charges
//! go to it in order and its acknowledgement is cumulative. A holder that is lost, full
//! or silent is replaced, and the new one is given everything that is not sealed: so
//! whoever holds the last charge holds all before it.

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::codec;
use crate::journal::{Journal, Origin};
use crate::ledger::{Config, Peer};
use crate::message::Message;

/// Charges in one message: with the longest names there are they take 160 KiB.
const PAGE_CHARGES: usize = 256;
/// Charges sent and not yet acknowledged.
const WINDOW_CHARGES: u64 = 8192;
/// A holder that says nothing is asked so often before another is chosen.
const MAX_TRIES: u8 = 2;

/// The second holder of a journal.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) peer: DaemonId,
    /// Its run, as far as is known.
    pub(crate) run: Incarnation,
    pub(crate) acked: u64,
    sent: u64,
    /// How far the holder was told that charges are sealed.
    told: u64,
    /// An acknowledgement is due.
    deadline: Time,
    tries: u8,
    next_send: Time,
    refresh_at: Time,
    /// The holder before this one, let go once this one has the charge of that number.
    former: Option<(DaemonId, u64)>,
}

impl Replica {
    fn new(peer: &Peer, sealed: u64, former: Option<(DaemonId, u64)>) -> Self {
        Self {
            peer: peer.id.clone(),
            run: peer.incarnation,
            acked: sealed,
            sent: sealed,
            told: sealed,
            deadline: Time::NEVER,
            tries: 0,
            next_send: Time::ZERO,
            refresh_at: Time::ZERO,
            former,
        }
    }

    /// True when the holder has kept silent for too long.
    pub(crate) fn has_failed(&self, now: Time) -> bool {
        self.tries >= MAX_TRIES && now.has_reached(self.deadline)
    }

    /// When something is to be done without a message having come.
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

/// Chooses a holder: near but in another failure domain first, spread by hash.
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

/// Gives a journal a new holder.
pub(crate) fn assign(journal: &mut Journal, peer: &Peer) {
    let former = journal.replica.take();
    let former = former.map(|replica| (replica.peer, journal.end()));
    let former = former.filter(|(id, _)| *id != peer.id);
    journal.replica = Some(Replica::new(peer, journal.sealed(), former));
}

/// What is to be sent to the holder now.
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
        replica.next_send = now + cfg.hold_interval;
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

/// Goes back to what was acknowledged when the acknowledgement is late: a page may be lost.
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

/// The holder drops what is sealed, and learns that the sender still lives.
fn is_refresh_due(replica: &Replica, journal: &Journal, now: Time) -> bool {
    let is_due = now.has_reached(replica.refresh_at);
    is_due && (!journal.is_empty() || replica.told < journal.sealed())
}

fn page(origin: &Origin, journal: &Journal, replica: &mut Replica, by: Incarnation) -> Message {
    let charges = journal.after(replica.sent, PAGE_CHARGES);
    let first = replica.sent + 1;
    replica.sent += charges.clone().count() as u64;
    replica.told = journal.sealed();
    Message::Hold {
        origin: origin.clone(),
        sealed: journal.sealed(),
        first,
        charges: codec::pack(charges),
        by,
    }
}

/// Takes an acknowledgement; gives a holder that can be let go.
pub(crate) fn on_held(
    replica: &mut Replica,
    now: Time,
    upto: u64,
    by: Incarnation,
    cfg: &Config,
) -> Option<DaemonId> {
    if by < replica.run {
        return None;
    }
    if by == replica.run {
        replica.acked = replica.acked.max(upto.min(replica.sent));
    } else {
        // A holder that restarted has lost everything: the mark it names is where it
        // begins anew. Without going back its next acknowledgements would never come,
        // and charges held here alone would count as held twice.
        replica.acked = upto;
        replica.sent = upto;
        replica.next_send = now;
    }
    replica.run = by;
    replica.tries = 0;
    let is_waiting = replica.acked < replica.sent;
    replica.deadline = if is_waiting {
        now + cfg.ack_timeout
    } else {
        Time::NEVER
    };
    let acked = replica.acked;
    replica
        .former
        .take_if(|(_, until)| acked >= *until)
        .map(|(id, _)| id)
}
