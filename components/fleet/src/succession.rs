//! Which daemons watch the store, and in which order the other daemons take over.
//!
//! Two watchers are enough, and every call of every watch is counted. The watch order is the same
//! at all daemons, and the first two watch. A daemon that hears of fewer than two watchers ahead of
//! it takes over in its turn: the first standbys at once, the rest of the fleet a few at a time, so
//! that neither a start nor an outage brings all of them to the store.

use types::prelude::*;

use crate::gossip;
use crate::watcher::Mode;

/// Daemons that watch the store: two, so that the loss of one leaves no gap.
const WATCHERS: usize = 2;
/// Delay per rank before a standby takes over, so that few do.
const STANDBY_DELAY: Span = Span::from_millis(60);
/// Standbys that take over one after the other and keep watching; only if all of them are lost at
/// one moment do the rounds behind them matter.
const STANDBYS: usize = 8;
/// Daemons that try in one round. If the store refuses a third of the fleet, one of sixteen almost
/// always gets an answer. If a failure domain is cut off from the rest, one of its daemons is among
/// those sixteen after a second round.
const ROUND_SIZE: usize = 16;
/// Time after its start at which a daemon knows most of a large fleet, and so its rank.
pub const MEMBERSHIP_SETTLED_AFTER: Span = Span::from_secs(3);
/// Duration of a round: a watch is answered within a second, and a slow store adds some hundred ms.
const ROUND_DURATION: Span = Span::from_millis(1_500);

/// What a daemon knows when it decides whether to watch.
#[derive(Debug, Clone, Copy)]
pub struct SuccessionInput {
    /// Daemons ahead of this one in the watch order whose watch works, by valid reports.
    pub before: usize,
    /// This daemon's rank in the watch order.
    pub rank: usize,
    /// Daemons in the fleet.
    pub fleet: usize,
    /// Whether a heartbeat of any other daemon is valid.
    pub hears_peers: bool,
    /// Whether this daemon's own watch works.
    pub own_watch_works: bool,
    /// Longest time that a report on a watch takes to reach every daemon.
    pub report_ttl: Span,
    /// Whether the own mirror was last validated too long ago, while the store answers some
    /// daemons.
    pub is_stale: bool,
}

/// Decides when this daemon watches the store.
#[derive(Debug)]
pub struct Succession {
    /// Whether other daemons join through this one.
    is_seed: bool,
    /// Until this time a daemon that is not a seed only listens.
    listens_until: Time,
    /// Since when fewer than two daemons ahead have been watching.
    unwatched_since: Option<Time>,
}

impl Succession {
    /// Creates the state of a daemon that just started. The other daemons join through the seeds,
    /// so seeds watch from the start; the others listen for `listens_for` first.
    ///
    /// When a whole fleet starts or restarts, no daemon has heard of a watcher or knows its rank.
    /// Without the delay, each would begin to watch, at the cost of some calls each.
    #[must_use]
    pub fn new(is_seed: bool, listens_for: Span) -> Self {
        Self {
            is_seed,
            listens_until: Time::ZERO + listens_for,
            unwatched_since: None,
        }
    }

    /// Decides whether this daemon watches the store.
    ///
    /// When watchers crash or are cut off, their reports stop and the next daemons in the order
    /// take over, whatever the membership shows. A daemon that hears from no peer watches at once,
    /// since nobody would send it changes.
    ///
    /// So does a daemon whose mirror has not been validated for long, whoever else watches. It may
    /// hear of watchers and still get no changes: where messages arrive in one direction only,
    /// where it can reach no peer, or where the watchers themselves lag behind. Without this rule
    /// it would use an old copy for as long as that lasts.
    #[must_use]
    pub fn decide(&mut self, now: Time, input: SuccessionInput) -> Mode {
        if input.is_stale && now.since(Time::ZERO) >= MEMBERSHIP_SETTLED_AFTER {
            return Mode::Watch;
        }
        if input.before >= WATCHERS {
            self.unwatched_since = None;
            return Mode::Rest;
        }
        if !self.is_seed && self.is_listening(now, input) {
            return Mode::Rest;
        }
        let since = *self.unwatched_since.get_or_insert(now);
        let is_needed = input.own_watch_works || !input.hears_peers;
        match is_needed || is_turn(now.since(since), input) {
            true => Mode::Watch,
            false => Mode::Rest,
        }
    }

    /// Whether this daemon is too new to act: it may not have heard of the watchers yet, and in a
    /// large fleet it does not know its rank.
    fn is_listening(&self, now: Time, input: SuccessionInput) -> bool {
        let is_new = now.since(Time::ZERO) < MEMBERSHIP_SETTLED_AFTER;
        let knows_peers = input.hears_peers && !gossip::is_small(input.fleet);
        now < self.listens_until || is_new && knows_peers
    }
}

/// Whether it is the turn of a daemon of this rank after too few daemons have watched for `waited`.
fn is_turn(waited: Span, input: SuccessionInput) -> bool {
    if input.rank < STANDBYS {
        return waited >= STANDBY_DELAY.times(input.rank as u64);
    }
    // The standbys' reports must arrive before further daemons try.
    if waited < input.report_ttl {
        return false;
    }
    let behind = input.fleet.max(input.rank + 1) - STANDBYS;
    let rounds = behind.div_ceil(ROUND_SIZE) as u64;
    let round = (waited - input.report_ttl).0 / ROUND_DURATION.0 % rounds;
    ((input.rank - STANDBYS) / ROUND_SIZE) as u64 == round
}
