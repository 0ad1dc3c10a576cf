//! Which daemons watch the store.
//!
//! Two are enough, and every call of every watch is counted. The order is the same at all
//! daemons, so the first two watch. Whoever hears of fewer than two watchers before it takes
//! over by its turn: the first few at once, the rest of a fleet a few at a time, so that
//! neither a start nor an outage brings all of them to the store.

use types::prelude::*;

use crate::gossip;
use crate::watcher::Mode;

/// Daemons that watch the store. Two, so that the loss of one leaves no gap.
const WATCHERS: usize = 2;
/// The first in the order take over one after the other by this, so that few do.
const TURN: Span = Span::from_millis(60);
/// Daemons that take over by turns and stay at it: only the loss of all of them at one
/// moment leaves the store to the rounds behind them.
const STANDBYS: usize = 8;
/// Daemons of one round. Where the store turns a third of the fleet away one of sixteen is
/// served nearly always; where a failure domain is cut off from the others one of its daemons
/// is among them after a second round.
const ROUND_SIZE: usize = 16;
/// A daemon knows most of a large fleet, and its place in it, so long after its start.
pub const MEMBERSHIP_SETTLED_AFTER: Span = Span::from_secs(3);
/// A round has this long: a watch is answered within a second, and a slow store adds some
/// hundred ms.
const ROUND_DURATION: Span = Span::from_millis(1_500);

/// What a daemon knows when it decides.
#[derive(Debug, Clone, Copy)]
pub struct SuccessionInput {
    /// Daemons before this one in the order whose watch works, by fresh word.
    pub before: usize,
    /// This one's place in the order.
    pub rank: usize,
    /// Daemons in the fleet.
    pub fleet: usize,
    /// Whether any other daemon spoke lately.
    pub hears_peers: bool,
    /// Whether its own watch works.
    pub own_watch_works: bool,
    /// Word of a watch takes so long at most to get around.
    pub report_ttl: Span,
    /// Whether its own copy was last proven current too long ago, while the store answers some.
    pub is_stale: bool,
}

/// Whose turn it is.
#[derive(Debug)]
pub struct Succession {
    /// Others join by this daemon.
    is_seed: bool,
    /// Until then another daemon only listens.
    joining_until: Time,
    /// Since when the store is watched by too few.
    unwatched_since: Option<Time>,
}

impl Succession {
    /// A daemon just started. Others join by the seeds, so those watch from the start on; the
    /// rest listen first.
    ///
    /// Guards against a fleet that starts or was killed: nobody has heard of any watcher then, or
    /// knows its place, and each daemon would begin to watch, for some calls each.
    #[must_use]
    pub fn new(is_seed: bool, joins_for: Span) -> Self {
        Self {
            is_seed,
            joining_until: Time::ZERO + joins_for,
            unwatched_since: None,
        }
    }

    /// Decides whether this daemon is to watch.
    ///
    /// Guards against watchers that die or are cut off: their word fails to come, and then the
    /// next ones in the order watch, whatever the membership says. A daemon that hears nobody
    /// watches at once: nobody would tell it of a change.
    ///
    /// So does one whose copy was not proven current for long, whoever watches: it hears of watchers
    /// and is not told of changes where word crosses one way only, where it may ask nobody, or where
    /// the watchers are behind themselves. It would go by an old copy for as long as that lasts.
    #[must_use]
    pub fn decide(&mut self, now: Time, input: SuccessionInput) -> Mode {
        if input.is_stale && now.since(Time::ZERO) >= MEMBERSHIP_SETTLED_AFTER {
            return Mode::Watch;
        }
        if input.before >= WATCHERS {
            self.unwatched_since = None;
            return Mode::Rest;
        }
        if !self.is_seed && self.is_joining(now, input) {
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
    /// large fleet it does not know its place.
    fn is_joining(&self, now: Time, input: SuccessionInput) -> bool {
        let is_new = now.since(Time::ZERO) < MEMBERSHIP_SETTLED_AFTER;
        let has_met_some = input.hears_peers && !gossip::is_small(input.fleet);
        now < self.joining_until || is_new && has_met_some
    }
}

/// Whether a daemon of this place tries, so long after too few watched.
fn is_turn(waited: Span, input: SuccessionInput) -> bool {
    if input.rank < STANDBYS {
        return waited >= TURN.times(input.rank as u64);
    }
    // Word of the first ones gets around before others try.
    if waited < input.report_ttl {
        return false;
    }
    let behind = input.fleet.max(input.rank + 1) - STANDBYS;
    let rounds = behind.div_ceil(ROUND_SIZE) as u64;
    let round = (waited - input.report_ttl).0 / ROUND_DURATION.0 % rounds;
    ((input.rank - STANDBYS) / ROUND_SIZE) as u64 == round
}
